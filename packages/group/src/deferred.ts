/** A promise with the functions that settle it. */
export type Deferred<T> = {
	readonly promise: Promise<T>;
	readonly resolve: (value: T) => void;
	readonly reject: (error: unknown) => void;
};

/** Makes a promise that is settled from outside; Node 20 lacks `Promise.withResolvers`. */
export function deferred<T>(): Deferred<T> {
	let settle!: Pick<Deferred<T>, 'resolve' | 'reject'>;
	const promise = new Promise<T>((resolve, reject) => {
		settle = {resolve, reject};
	});
	return {promise, ...settle};
}
