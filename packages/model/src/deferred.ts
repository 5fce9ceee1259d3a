/** A promise that is settled from outside. */
export type Deferred<T> = {
	readonly promise: Promise<T>;
	readonly resolve: (value: T) => void;
	readonly reject: (reason: unknown) => void;
};

/** Creates a promise with its settling functions; Node.js 20 has no `Promise.withResolvers`. */
export function deferred<T>(): Deferred<T> {
	let settlers!: Pick<Deferred<T>, 'resolve' | 'reject'>;
	const promise = new Promise<T>((resolve, reject) => {
		settlers = {resolve, reject};
	});
	return {promise, ...settlers};
}
