import {type Clock} from '@crocusloom/model';

/**
 * Checks whether a promise resolves to true within the timeout.
 * @param condition - promise to wait for
 * @param timeoutMs - longest wait in milliseconds
 * @param clock - clock that measures the timeout
 * @returns false if the promise resolves to false or the timeout passes first
 */
export async function isTrueWithin(condition: Promise<boolean>, timeoutMs: number, clock: Clock): Promise<boolean> {
	return Promise.race([condition, clock.sleep(timeoutMs).then(() => false)]);
}

/**
 * Waits until a promise is settled or the timeout has passed.
 * @param work - promise to wait for; the underlying work continues after the timeout
 * @param timeoutMs - longest wait in milliseconds
 * @throws the error of the promise if it is rejected within the timeout
 */
export async function settledWithin(work: Promise<void>, timeoutMs: number): Promise<void> {
	return new Promise((resolve, reject) => {
		const timer = setTimeout(resolve, timeoutMs);
		work.then(resolve, reject).finally(() => {
			clearTimeout(timer);
		});
	});
}

/**
 * Waits for a promise up to a timeout. The underlying work continues after the timeout.
 * @param work - promise to wait for
 * @param timeoutMs - longest wait in milliseconds
 * @param onTimeout - called when the timeout passes; returns the error to throw
 */
export async function withTimeout<T>(work: Promise<T>, timeoutMs: number, onTimeout: () => Error): Promise<T> {
	return new Promise((resolve, reject) => {
		const timer = setTimeout(() => {
			reject(onTimeout());
		}, timeoutMs);
		work.then(resolve, reject).finally(() => {
			clearTimeout(timer);
		});
	});
}
