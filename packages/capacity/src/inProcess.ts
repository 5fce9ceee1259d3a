/**
 * Adapters without a network, so that hundreds of groups can be monitored in this process.
 */
import {
	type BackendConnection, type BackendDialer, type KeyValueEntry, type KeyValueStore, type Member, type Membership, type PeerRpc,
} from '@crocusloom/model';
import {
	commandComplete, dataRow, readyForQuery, rowDescription,
} from '@crocusloom/wire';

const self: Member = {
	host: 'capacity-host',
	incarnation: 1,
	failureDomain: 'domain-1',
	address: '127.0.0.1',
	peerPort: 1,
	workPort: 2,
	operatorPort: 3,
	state: 'alive',
	leaving: false,
	configurationRevision: 0,
	silentMs: 0,
};

/** A membership of one host, which holds all databases. */
export const singleMember: Membership = {
	self,
	members: () => [self],
	holderOf: () => self,
	reportUnreachable() {
		// There is no peer.
	},
	onChange() {
		// The only member does not change.
	},
};

export const noPeers: PeerRpc = {
	async call() {
		throw new Error('there is no peer');
	},
	notify() {
		// There is no peer.
	},
	handle() {
		// There is no peer.
	},
};

const databasesPerGroup = 3;

/** Entries of a store with groups of three databases. */
export function groupEntries(prefix: string, groups: number): readonly KeyValueEntry[] {
	return Array.from({length: groups}, (_, group) => {
		const databases = Array.from({length: databasesPerGroup}, (_, database) => ({
			name: `capacity-${group}-${database}`, address: '127.0.0.1', port: 5432 + database, failureDomain: `domain-${database + 1}`,
		}));
		const value = JSON.stringify({changeId: `change-${group}`, spec: {databases, slotsPerDatabase: 3, connectionsPerDatabase: 20}});
		return {key: `${prefix}databaseGroups/capacity-${group}`, value, modRevision: group + 1};
	});
}

/** A store that holds fixed entries and does not change. */
export function fixedStore(entries: readonly KeyValueEntry[]): KeyValueStore {
	const revision = entries.length;
	return {
		list: async () => ({revision, entries}),
		get: async () => ({revision}),
		compareAndSwap: async () => ({succeeded: false, revision}),
		async * watch(_prefix, _fromRevision, signal) {
			yield {revision, events: []};
			await untilAborted(signal);
		},
	};
}

async function untilAborted(signal: AbortSignal): Promise<void> {
	await new Promise<void>(resolve => {
		signal.addEventListener('abort', () => {
			resolve();
		}, {once: true});
	});
}

/** Bytes and calls on monitor connections. */
export type MonitorTraffic = {sentBytes: number; receivedBytes: number; questions: number};

/** A dialer whose databases answer each question with a status: the first of a group leads. */
export class StatusDialer implements BackendDialer {
	readonly traffic: MonitorTraffic = {sentBytes: 0, receivedBytes: 0, questions: 0};

	async dial(database: string): Promise<BackendConnection> {
		return new StatusConnection(statusAnswer(database.endsWith('-0')), this.traffic);
	}
}

function statusAnswer(isPrimary: boolean): Buffer {
	const columns = ['role', 'fenced_term', 'log_term', 'log_offset', 'follows_term', 'fence_owner'];
	return Buffer.concat([
		rowDescription(columns.map(name => ({name}))),
		dataRow([isPrimary ? 'primary' : 'replica', '1', '1', '1048576', '1', 'initial']),
		commandComplete('SELECT 1'),
		readyForQuery('I'),
	]);
}

class StatusConnection implements BackendConnection {
	readonly preparedStatements = new Set<string>();
	private readonly controller = new AbortController();
	private answers: Buffer[] = [];
	private wake?: () => void;

	constructor(private readonly answer: Buffer, private readonly traffic: MonitorTraffic) {}

	get closed(): AbortSignal {
		return this.controller.signal;
	}

	write(frames: Buffer): void {
		this.traffic.questions++;
		this.traffic.sentBytes += frames.length;
		this.traffic.receivedBytes += this.answer.length;
		this.answers.push(this.answer);
		this.wake?.();
	}

	async * read(): AsyncIterable<Buffer> {
		while (!this.closed.aborted) {
			const {answers} = this;
			this.answers = [];
			yield * answers;
			if (this.answers.length === 0) {
				await new Promise<void>(resolve => {
					this.wake = resolve;
				});
			}
		}
	}

	cancel(): void {
		// Status questions are not cancelled.
	}

	close(): void {
		this.controller.abort();
		this.wake?.();
	}
}
