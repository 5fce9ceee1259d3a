import {
	FailureError, type Clock, type Failure, type WorkRequest,
} from '@crocusloom/model';

/** Longest time for which a hint is followed; far below the targets, so that a queue does not run dry meanwhile. */
const longestHintMs = 25;

/** Hints kept; older ones are dropped beyond this. */
const maximumHints = 1000;

/** Whose work was shed; callers of one rank are shed apart, so that one of them cannot crowd out the others. */
type ShedKey = Pick<WorkRequest, 'database' | 'rank' | 'callerKey'>;

type Hint = {readonly untilMs: number; readonly retryAfterMs: number};

/**
 * What holders said when they shed work. An entry proxy follows a hint for a moment and refuses like work itself, because
 * in a flood the round trips of refused work alone kept the holders' event loops busy.
 */
export class ShedHints {
	private readonly hints = new Map<string, Hint>();

	constructor(private readonly clock: Clock) {}

	/** Notes a refusal by a holder; a refusal of its own, of step `route`, does not prolong a hint. */
	note(key: ShedKey, {reason, step, retryAfterMs = 0}: Extract<Failure, {kind: 'notRun'}>): void {
		if (reason !== 'shed' || step === 'route') {
			return;
		}

		const untilMs = this.clock.nowMs() + Math.min(retryAfterMs, longestHintMs);
		this.forgetOld();
		this.hints.set(textOf(key), {untilMs, retryAfterMs});
	}

	/**
	 * Refuses work of a rank that the holder of a database shed a moment ago.
	 * @throws FailureError `notRun` with reason `shed`
	 */
	check(key: ShedKey): void {
		const hint = this.hints.get(textOf(key));
		if (hint && hint.untilMs > this.clock.nowMs()) {
			throw new FailureError({
				kind: 'notRun',
				reason: 'shed',
				step: 'route',
				peer: key.database,
				message: `the queue of rank ${key.rank} was full a moment ago`,
				retryAfterMs: hint.retryAfterMs,
			});
		}
	}

	private forgetOld(): void {
		const nowMs = this.clock.nowMs();
		for (const [key, {untilMs}] of this.hints.size < maximumHints ? [] : this.hints) {
			if (untilMs <= nowMs) {
				this.hints.delete(key);
			}
		}
	}
}

function textOf({database, rank, callerKey}: ShedKey): string {
	return `${database}/${rank}/${callerKey}`;
}
