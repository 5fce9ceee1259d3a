import {type Clock, type Logger} from '@crocusloom/model';

/** Number of unreachable primaries from which on a single failed check is sufficient to count as isolated. */
const immediateIsolationPrimaries = 2;
/** Consecutive failed checks that are required if fewer primaries are unreachable. */
const failedChecksBeforeIsolation = 2;
/** Consecutive passed checks after which the proxy no longer counts as isolated. */
const passedChecksBeforeRecovery = 3;
/** Fraction of unreachable primaries from which on other proxies can serve callers better. */
const isolationThreshold = 0.5;

/** Result of one connectivity check of the store and the primaries. */
export type ConnectivityCheck = {
	readonly storeAnswered: boolean;
	readonly primaries: number;
	readonly unreachablePrimaries: number;
};

/**
 * Decides whether this proxy is isolated, that is, partitioned from the store and from at least half of the primaries, so
 * that other proxies can serve callers better. Failed primaries or an outage of the store alone do not count, because other
 * proxies are affected as well.
 */
export class IsolationDetector {
	private isolatedSinceMs: number | undefined;
	private failedChecks = 0;
	private passedChecks = 0;

	constructor(private readonly clock: Clock, private readonly log: Logger) {}

	/** Time for which the proxy has been isolated; undefined if it is not isolated. */
	get isolatedForMs(): number | undefined {
		return this.isolatedSinceMs === undefined ? undefined : this.clock.nowMs() - this.isolatedSinceMs;
	}

	/** Records the result of a check. */
	recordCheck(check: ConnectivityCheck): void {
		const {storeAnswered, primaries, unreachablePrimaries} = check;
		const isFailed = !storeAnswered && unreachablePrimaries > 0 && unreachablePrimaries >= primaries * isolationThreshold;
		this.failedChecks = isFailed ? this.failedChecks + 1 : 0;
		this.passedChecks = isFailed ? 0 : this.passedChecks + 1;
		const isIsolated = isFailed && (unreachablePrimaries >= immediateIsolationPrimaries || this.failedChecks >= failedChecksBeforeIsolation);
		if (this.isolatedSinceMs === undefined && isIsolated) {
			this.isolatedSinceMs = this.clock.nowMs();
			this.log.warn({...check, failedChecks: this.failedChecks}, 'this proxy is cut off; callers are sent elsewhere');
		} else if (this.isolatedSinceMs !== undefined && this.passedChecks >= passedChecksBeforeRecovery) {
			this.log.info({...check, isolatedForMs: Math.round(this.clock.nowMs() - this.isolatedSinceMs)}, 'this proxy is no longer cut off');
			this.isolatedSinceMs = undefined;
		}
	}
}
