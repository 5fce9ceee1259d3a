import {setMaxListeners} from 'node:events';

/** A signal that aborts when one of its parents aborts or when `abort` is called. */
export type ChildSignal = {
	readonly signal: AbortSignal;
	/** Aborts the signal. */
	readonly abort: (reason?: unknown) => void;
	/** Removes the listeners from the parents. Must be called when the signal is no longer used. */
	readonly release: () => void;
};

/**
 * Creates a signal that aborts with any of its long-lived parents. `AbortSignal.any` in Node.js 20 retains about 75 bytes
 * on the long-lived signal per call, which is more than 10 MB a day at two calls a second.
 * @param parents - signals whose abort is passed on
 */
export function childSignal(...parents: readonly AbortSignal[]): ChildSignal {
	const controller = new AbortController();
	const abortWithParent = (event: Event) => {
		controller.abort((event.target as AbortSignal).reason);
	};

	// Each concurrent call adds a listener to the same parents, which would exceed the default limit and print a warning.
	setMaxListeners(0, ...parents);
	for (const parent of parents) {
		parent.addEventListener('abort', abortWithParent, {once: true});
	}

	const abortedParent = parents.find(parent => parent.aborted);
	if (abortedParent) {
		controller.abort(abortedParent.reason);
	}

	return {
		signal: controller.signal,
		abort(reason) {
			controller.abort(reason);
		},
		release() {
			for (const parent of parents) {
				parent.removeEventListener('abort', abortWithParent);
			}
		},
	};
}
