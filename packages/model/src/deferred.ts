/** A promise with the functions that settle it. */
export type Deferred<T> = {
	readonly promise: Promise<T>;
	readonly resolve: (value: T) => void;
	readonly reject: (reason: unknown) => void;
};

/** Creates a promise that its caller settles. Node.js 20 has no `Promise.withResolvers`. */
export function deferred<T>(): Deferred<T> {
	let settlers!: Pick<Deferred<T>, 'resolve' | 'reject'>;
	const promise = new Promise<T>((resolve, reject) => {
		settlers = {resolve, reject};
	});
	return {promise, ...settlers};
}
