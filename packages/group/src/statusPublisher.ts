import {type Clock, type GroupState, type KeyValueStore} from '@crocusloom/model';
import {databaseFailure, withTimeLimit} from './timeLimit.js';

/** What `crocusloom/<deployment>/status/<group>` holds. A copy for readers; nothing decides by it. */
export type PublishedStatus = {
	readonly group: string;
	readonly term: number;
	readonly primary: string;
	readonly reportedBy: string;
	readonly atMs: number;
};

/** Time limit of one publication; the platform is not needed, so it is given up then. */
const publishLimitMs = 5000;
/** Tries of the compare-and-swap against other writers. */
const publishTries = 4;

/** Publishes the primaries of groups to the platform and never lowers a term. */
export class StatusPublisher {
	constructor(private readonly store: KeyValueStore, private readonly deployment: string, private readonly clock: Clock) {}

	/**
	 * Publishes a state that names a primary.
	 * @returns true if the store holds the term or a higher one afterwards; false if that is not known
	 */
	async publish(state: GroupState, signal: AbortSignal): Promise<boolean> {
		const failure = databaseFailure('platform', 'platform', `no answer within ${publishLimitMs} ms`);
		const limit = {
			clock: this.clock, limitMs: publishLimitMs, signal, failure,
		};
		try {
			return await withTimeLimit(limit, async limited => this.swap(state, limited));
		} catch {
			return false;
		}
	}

	private async swap(state: GroupState, signal: AbortSignal): Promise<boolean> {
		const key = `crocusloom/${this.deployment}/status/${state.group}`;
		const status: PublishedStatus = {
			group: state.group, term: state.term, primary: state.primary ?? '', reportedBy: state.reportedBy, atMs: this.clock.wallMs(),
		};
		let {entry} = await this.store.get(key, signal);
		for (let tried = 0; tried < publishTries; tried++) {
			if (entry && termOf(entry.value) >= state.term) {
				return true;
			}

			const answer = await this.store.compareAndSwap(key, entry?.modRevision ?? 0, JSON.stringify(status), signal);
			if (answer.succeeded) {
				return true;
			}

			entry = answer.current;
		}

		return false;
	}
}

/** Term of a published status; -1 for a value that is not one, which may be replaced. */
function termOf(value: string): number {
	try {
		const {term} = JSON.parse(value) as Partial<PublishedStatus>;
		return typeof term === 'number' ? term : -1;
	} catch {
		return -1;
	}
}
