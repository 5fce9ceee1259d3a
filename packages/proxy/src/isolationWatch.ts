import {type Clock, type Log} from '@crocusloom/model';

/** Time without the store and without primaries after which a proxy counts as cut off. */
const cutOffMs = 450;
/** Time without primaries after which the store is checked. */
const checkAfterMs = 300;
/** Time for which all must be well again before it takes callers. */
const recoveredMs = 500;
/** Share of the services without a primary from which on callers are better served elsewhere. */
const unservedShare = 0.5;

/** What the watch needs to know of the proxy. */
export type IsolationInputs = {
	/** Time for which calls to the platform's store have failed; 0 while it answers. */
	readonly storeUnreachableForMs: number;
	/** For each service, the time for which its primary could not be used. */
	readonly withoutPrimaryForMs: readonly number[];
};

/**
 * Decides whether this proxy is cut off from the store and from most primaries, so that callers are better served by
 * others. A failed primary or an outage of the store alone is no reason: other proxies would be no better off.
 */
export class IsolationWatch {
	private isolatedSinceMs: number | undefined;
	private wellSinceMs: number | undefined;

	constructor(private readonly clock: Clock, private readonly log: Log) {}

	/** Time for which the proxy has counted as cut off; undefined if it does not. */
	get isolatedForMs(): number | undefined {
		return this.isolatedSinceMs === undefined ? undefined : this.clock.nowMs() - this.isolatedSinceMs;
	}

	/** True if callers may be better served elsewhere, so that the store should be checked. */
	isStoreCheckNeeded(withoutPrimaryForMs: readonly number[]): boolean {
		const unserved = withoutPrimaryForMs.filter(forMs => forMs >= checkAfterMs).length;
		return unserved > 0 && unserved >= withoutPrimaryForMs.length * unservedShare;
	}

	/** Takes the newest inputs into account. */
	update({storeUnreachableForMs, withoutPrimaryForMs}: IsolationInputs): void {
		const nowMs = this.clock.nowMs();
		const unserved = withoutPrimaryForMs.filter(forMs => forMs >= cutOffMs).length;
		const isCutOff = storeUnreachableForMs >= cutOffMs && unserved > 0 && unserved >= withoutPrimaryForMs.length * unservedShare;
		if (isCutOff) {
			this.wellSinceMs = undefined;
			if (this.isolatedSinceMs === undefined) {
				this.isolatedSinceMs = nowMs;
				this.log.warn({storeUnreachableForMs: Math.round(storeUnreachableForMs), unserved, services: withoutPrimaryForMs.length}, 'this proxy is cut off; callers are sent elsewhere');
			}

			return;
		}

		this.wellSinceMs ??= nowMs;
		if (this.isolatedSinceMs !== undefined && nowMs - this.wellSinceMs >= recoveredMs) {
			this.log.info({isolatedForMs: Math.round(nowMs - this.isolatedSinceMs)}, 'this proxy is no longer cut off');
			this.isolatedSinceMs = undefined;
		}
	}
}
