import {type Clock, type GroupState, type KeyValueStore} from '@crocusloom/model';
import {peerFailure, withTimeout} from './timeout.js';

/** Value of the key `crocusloom/<deployment>/status/<group>`. It is informational; no decision is based on it. */
export type PublishedStatus = {
	readonly group: string;
	readonly term: number;
	readonly primary: string;
	readonly reportedBy: string;
	readonly atMs: number;
};

/** Timeout of one publication. It is not retried after that, because nothing depends on the platform. */
const publishTimeoutMs = 5000;
/** Maximum number of compare-and-swap attempts per publication, in case of concurrent writers. */
const maximumPublishAttempts = 4;

/** Publishes the primaries of groups to the platform. A published term is never replaced by a lower one. */
export class StatusPublisher {
	constructor(private readonly store: KeyValueStore, private readonly deployment: string, private readonly clock: Clock) {}

	/**
	 * Publishes the primary and term of a state.
	 * @returns true if the store now holds the term or a higher one, false if that is not known
	 */
	async publish(state: GroupState, signal: AbortSignal): Promise<boolean> {
		const failure = peerFailure('platform', 'platform', `no answer within ${publishTimeoutMs} ms`);
		const timeoutOptions = {
			clock: this.clock, timeoutMs: publishTimeoutMs, signal, failure,
		};
		try {
			return await withTimeout(timeoutOptions, async timeoutSignal => this.compareAndSwapStatus(state, timeoutSignal));
		} catch {
			return false;
		}
	}

	private async compareAndSwapStatus(state: GroupState, signal: AbortSignal): Promise<boolean> {
		const key = `crocusloom/${this.deployment}/status/${state.group}`;
		const status: PublishedStatus = {
			group: state.group, term: state.term, primary: state.primary ?? '', reportedBy: state.reportedBy, atMs: this.clock.wallMs(),
		};
		let {entry} = await this.store.get(key, signal);
		for (let attempt = 0; attempt < maximumPublishAttempts; attempt++) {
			if (entry && publishedTermOf(entry.value) >= state.term) {
				return true;
			}

			const result = await this.store.compareAndSwap(key, entry?.modRevision ?? 0, JSON.stringify(status), signal);
			if (result.succeeded) {
				return true;
			}

			entry = result.current;
		}

		return false;
	}
}

/** Returns the term of a published status, or -1 if the value is not a status and may be replaced. */
function publishedTermOf(value: string): number {
	try {
		const {term} = JSON.parse(value) as Partial<PublishedStatus>;
		return typeof term === 'number' ? term : -1;
	} catch {
		return -1;
	}
}
