import {
	compositeKey, FailureError, type Clock, type Failure, type WorkRequest,
} from '@crocusloom/model';

/** Maximum time for which a hint is followed. Far below the targets of the ranks, so that a queue does not run empty meanwhile. */
const maximumHintMs = 25;

/** Once this many hints are stored, expired ones are removed whenever a hint is added. */
const maximumHints = 1000;

/** Key of the work that was shed. Callers of one rank have separate hints, so that one caller cannot crowd out the others. */
type ShedKey = Pick<WorkRequest, 'database' | 'rank' | 'callerKey'>;

type Hint = {readonly expiresAtMs: number; readonly retryAfterMs: number};

/**
 * Hints from holders that shed work. For a short time the entry proxy itself sheds work with the same key, because under overload
 * the round trips of shed work alone kept the event loops of the holders busy.
 */
export class ShedHints {
	private readonly hints = new Map<string, Hint>();

	constructor(private readonly clock: Clock) {}

	/** Records work that a holder shed. Work that this proxy shed itself (step `route`) does not extend a hint. */
	record(key: ShedKey, {reason, step, retryAfterMs = 0}: Extract<Failure, {kind: 'notRun'}>): void {
		if (reason !== 'shed' || step === 'route') {
			return;
		}

		const expiresAtMs = this.clock.nowMs() + Math.min(retryAfterMs, maximumHintMs);
		this.evictExpired();
		this.hints.set(hintKey(key), {expiresAtMs, retryAfterMs});
	}

	/**
	 * Sheds work with the same key as work that its holder shed recently.
	 * @throws FailureError `notRun` with reason `shed`
	 */
	throwIfShed(key: ShedKey): void {
		const hint = this.hints.get(hintKey(key));
		if (hint && hint.expiresAtMs > this.clock.nowMs()) {
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

	private evictExpired(): void {
		const nowMs = this.clock.nowMs();
		for (const [key, {expiresAtMs}] of this.hints.size < maximumHints ? [] : this.hints) {
			if (expiresAtMs <= nowMs) {
				this.hints.delete(key);
			}
		}
	}
}

function hintKey({database, rank, callerKey}: ShedKey): string {
	return compositeKey([database, rank, callerKey]);
}
