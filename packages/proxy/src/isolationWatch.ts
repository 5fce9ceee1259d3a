import {type Clock, type Logger} from '@crocusloom/model';

/** Primaries that one failed check must have found out of reach before it counts alone; fewer need a second check. */
const certainPrimaries = 2;
const failedChecksUntilCutOff = 2;
/** Checks in a row that must pass before it takes callers again. */
const passedChecksUntilWell = 3;
/** Share of the primaries that cannot be reached from which on callers are better served elsewhere. */
const unreachableShare = 0.5;

/** What one check of the ways to the platform and to the databases found. */
export type ConnectivityCheck = {
	readonly storeAnswered: boolean;
	readonly primaries: number;
	readonly unreachablePrimaries: number;
};

/**
 * Decides whether this proxy is cut off from the store and from most primaries, so that callers are better served by
 * others. A failed primary or an outage of the store alone is no reason: other proxies would be no better off.
 */
export class IsolationWatch {
	private isolatedSinceMs: number | undefined;
	private failedChecks = 0;
	private passedChecks = 0;

	constructor(private readonly clock: Clock, private readonly log: Logger) {}

	/** Time for which the proxy has counted as cut off; undefined if it does not. */
	get isolatedForMs(): number | undefined {
		return this.isolatedSinceMs === undefined ? undefined : this.clock.nowMs() - this.isolatedSinceMs;
	}

	/** Takes the newest check into account. */
	update(check: ConnectivityCheck): void {
		const {storeAnswered, primaries, unreachablePrimaries} = check;
		const isFailed = !storeAnswered && unreachablePrimaries > 0 && unreachablePrimaries >= primaries * unreachableShare;
		this.failedChecks = isFailed ? this.failedChecks + 1 : 0;
		this.passedChecks = isFailed ? 0 : this.passedChecks + 1;
		const isCutOff = isFailed && (unreachablePrimaries >= certainPrimaries || this.failedChecks >= failedChecksUntilCutOff);
		if (this.isolatedSinceMs === undefined && isCutOff) {
			this.isolatedSinceMs = this.clock.nowMs();
			this.log.warn({...check, failedChecks: this.failedChecks}, 'this proxy is cut off; callers are sent elsewhere');
		} else if (this.isolatedSinceMs !== undefined && this.passedChecks >= passedChecksUntilWell) {
			this.log.info({...check, isolatedForMs: Math.round(this.clock.nowMs() - this.isolatedSinceMs)}, 'this proxy is no longer cut off');
			this.isolatedSinceMs = undefined;
		}
	}
}
