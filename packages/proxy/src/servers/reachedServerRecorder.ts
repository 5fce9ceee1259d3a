import {type Clock} from '@crocusloom/model';
import {type Backend} from './backend.js';
import {probeStatus} from './leadershipProver.js';
import {type ServiceRecord} from './serviceRecords.js';
import {type ServiceView} from './serviceView.js';

/** Minimum time between two records of a service, and the time for which servers that have answered wait for those that have not. */
const recordIntervalMs = 1000;
/** Number of servers that are no longer listed and are kept in a record, because hosts notice at different times that a server left. */
const maximumUnlistedCount = 16;

/**
 * Records which servers of a service the holder of the promotion lease has reached. Only these confirm commits at any host, so a
 * promotion that leaves out a server which no holder has reached cannot lose a commit that a host passed on because of it.
 */
export class ReachedServerRecorder {
	/** Servers that this process has tried to record. The record may be made later than it was tried. */
	private readonly triedIds = new Set<string>();
	private lastTryMs: number;
	private isRecording = false;

	/**
	 * @param view - view of the service
	 * @param clock - clock for the intervals
	 */
	constructor(private readonly view: ServiceView, private readonly clock: Clock) {
		this.lastTryMs = clock.nowMs();
	}

	/**
	 * Records servers that were reached and are not recorded yet, and tries to reach the others. Must not be called during a promotion of
	 * the service, which may have left out a server that is reached meanwhile.
	 * @param token - fencing token of the promotion lease; undefined if it is not held
	 */
	async check(token: number | undefined, signal: AbortSignal): Promise<void> {
		const recordedIds = new Set(this.view.record.reachedServers);
		const missing = this.view.listMembers().filter(({id}) => !recordedIds.has(id));
		const reached = missing.filter(({isConfirmed}) => isConfirmed);
		const isComplete = missing.length > 0 && reached.length === missing.length && !missing.every(({id}) => this.triedIds.has(id));
		const hasWork = missing.length > 0 || this.view.isRecordPartlyLost;
		const isDue = hasWork && this.clock.nowMs() - this.lastTryMs >= recordIntervalMs;
		if (token === undefined || this.isRecording || (!isComplete && !isDue)) {
			return;
		}

		this.lastTryMs = this.clock.nowMs();
		for (const backend of missing.filter(backend => !reached.includes(backend))) {
			void probeStatus(backend);
		}

		if (reached.length > 0 || this.view.isRecordPartlyLost) {
			await this.record(reached, token, signal);
		}
	}

	/**
	 * Finds servers that cannot confirm commits at any host, because no holder of the promotion lease has ever recorded them.
	 * @param backends - servers that are asked about
	 */
	async findNeverReached(backends: readonly Backend[], signal: AbortSignal): Promise<readonly Backend[]> {
		const record = backends.length > 0 ? await this.view.readRecord(signal) : undefined;
		return backends.filter(({id}) => record !== undefined && !record.reachedServers.includes(id) && !this.triedIds.has(id));
	}

	private async record(reached: readonly Backend[], token: number, signal: AbortSignal): Promise<void> {
		const ids = reached.map(({id}) => id);
		for (const id of ids) {
			this.triedIds.add(id);
		}

		const listedIds = new Set(this.view.listBackends().map(({id}) => id));
		this.isRecording = true;
		await this.view.changeRecord(record => addReached(record, ids, listedIds), token, signal).finally(() => {
			this.isRecording = false;
		});
	}
}

function addReached(record: ServiceRecord, ids: readonly string[], listedIds: ReadonlySet<string>): ServiceRecord {
	const reachedServers = [...new Set([...record.reachedServers, ...ids])];
	const unlisted = reachedServers.filter(id => !listedIds.has(id));
	return {...record, reachedServers: [...unlisted.slice(-maximumUnlistedCount), ...reachedServers.filter(id => listedIds.has(id))]};
}
