/**
 * In-process adapters that need no network, so that one process can monitor hundreds of groups.
 */
import {
	type BackendConnection, type BackendDialer, type KeyValueEntry, type KeyValueStore, type Member, type Membership, type PeerRpc,
} from '@crocusloom/model';
import {
	commandComplete, dataRow, readyForQuery, rowDescription,
} from '@crocusloom/wire';

const localMember: Member = {
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

/** A membership whose only host holds all databases. */
export const singleHostMembership: Membership = {
	self: localMember,
	members: () => [localMember],
	holderOf: () => localMember,
	reportUnreachable() {
		// There is no peer.
	},
	onChange() {
		// The only member never changes.
	},
};

/** Peer RPC of a host without peers: calls fail and notifications are dropped. */
export const peerRpcWithoutPeers: PeerRpc = {
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

/** Creates store entries for the given number of groups of three databases. */
export function createGroupEntries(prefix: string, groupCount: number): readonly KeyValueEntry[] {
	return Array.from({length: groupCount}, (_, group) => {
		const databases = Array.from({length: databasesPerGroup}, (_, database) => ({
			name: `capacity-${group}-${database}`, address: '127.0.0.1', port: 5432 + database, failureDomain: `domain-${database + 1}`,
		}));
		const value = JSON.stringify({changeId: `change-${group}`, spec: {databases, slotsPerDatabase: 3, connectionsPerDatabase: 20}});
		return {key: `${prefix}databaseGroups/capacity-${group}`, value, modRevision: group + 1};
	});
}

/** Creates a store whose entries never change. */
export function createImmutableStore(entries: readonly KeyValueEntry[]): KeyValueStore {
	const revision = entries.length;
	return {
		list: async () => ({revision, entries}),
		get: async () => ({revision}),
		compareAndSwap: async () => ({succeeded: false, revision}),
		async * watch(_prefix, _fromRevision, signal) {
			yield {revision, events: []};
			await waitForAbort(signal);
		},
	};
}

async function waitForAbort(signal: AbortSignal): Promise<void> {
	await new Promise<void>(resolve => {
		signal.addEventListener('abort', () => {
			resolve();
		}, {once: true});
	});
}

/** Bytes and status queries on monitor connections. */
export type MonitorTraffic = {sentBytes: number; receivedBytes: number; statusQueries: number};

/** Connects to fake databases that answer every query with their status. The first database of each group is the primary. */
export class FakeDatabaseDialer implements BackendDialer {
	readonly traffic: MonitorTraffic = {sentBytes: 0, receivedBytes: 0, statusQueries: 0};

	async dial(database: string): Promise<BackendConnection> {
		return new FakeDatabaseConnection(createStatusResponse(database.endsWith('-0')), this.traffic);
	}
}

function createStatusResponse(isPrimary: boolean): Buffer {
	const columns = ['role', 'fenced_term', 'log_term', 'log_offset', 'follows_term', 'fence_owner'];
	return Buffer.concat([
		rowDescription(columns.map(name => ({name}))),
		dataRow([isPrimary ? 'primary' : 'replica', '1', '1', '1048576', '1', 'initial']),
		commandComplete('SELECT 1'),
		readyForQuery('I'),
	]);
}

class FakeDatabaseConnection implements BackendConnection {
	readonly preparedStatements = new Set<string>();
	private readonly closeController = new AbortController();
	private pendingResponses: Buffer[] = [];
	private wakeReader?: () => void;

	constructor(private readonly statusResponse: Buffer, private readonly traffic: MonitorTraffic) {}

	get closed(): AbortSignal {
		return this.closeController.signal;
	}

	write(frames: Buffer): void {
		this.traffic.statusQueries++;
		this.traffic.sentBytes += frames.length;
		this.traffic.receivedBytes += this.statusResponse.length;
		this.pendingResponses.push(this.statusResponse);
		this.wakeReader?.();
	}

	async * read(): AsyncIterable<Buffer> {
		while (!this.closed.aborted) {
			const {pendingResponses} = this;
			this.pendingResponses = [];
			yield * pendingResponses;
			if (this.pendingResponses.length === 0) {
				await new Promise<void>(resolve => {
					this.wakeReader = resolve;
				});
			}
		}
	}

	cancel(): void {
		// Status queries are never canceled.
	}

	close(): void {
		this.closeController.abort();
		this.wakeReader?.();
	}
}
