import {
	type Clock, comparePositions, type DatabaseControl, type DatabaseStatus, type ControlResult, type DatabaseOrder, type LogPosition, type RandomSource, type WaitResult,
} from '@crocusloom/model';
import {Gate} from './gate.js';

export type LogRecord = {readonly term: number; readonly value: string};
export type ControlCall = 'status' | 'fence' | 'promote' | 'follow' | 'wait';

/** Connection of a proxy to a database. It leads to the start of the database at which its first call arrived. */
type FakeConnection = {readonly id: number; startCount?: number};

export type NetworkCall = {
	readonly proxy: string; readonly database: string; readonly kind: ControlCall | 'work'; readonly signal?: AbortSignal; readonly connection?: FakeConnection;
};

/** A database of the fake group, with its terms and its log. */
export class FakeDatabase {
	role: 'primary' | 'replica' = 'replica';
	fencedTerm = 0;
	fenceOwner = '';
	followsTerm = 0;
	followedDatabase?: string;
	log: LogRecord[] = [];
	/** Number of starts. The connections of one start end with it. */
	startCount = 1;
	/** Closed while the database is frozen. Calls that arrive meanwhile take effect when it opens. */
	readonly gate = new Gate();
	/** Number of log records received per replication step. 0 makes the replica fall behind. */
	recordsPerStep = 100;
	/** True from a start without state until the database is promoted or has rebuilt its state from a primary. */
	isEmpty = true;
	/** Length of the primary's log when the database began to follow it. The state is rebuilt when the log reaches this length. */
	rebuildLength?: number;
	private isStopped = false;

	constructor(readonly name: string) {}

	get isDown(): boolean {
		return this.isStopped;
	}

	set isDown(isDown: boolean) {
		this.startCount += isDown && !this.isStopped ? 1 : 0;
		this.isStopped = isDown;
	}

	get position(): LogPosition {
		return {term: this.log.at(-1)?.term ?? 0, offsetBytes: this.log.length};
	}

	get isCurrentPrimary(): boolean {
		return this.role === 'primary' && this.followsTerm === this.fencedTerm;
	}

	get isRebuilding(): boolean {
		return this.isEmpty && this.followsTerm > 0;
	}

	status(): Omit<DatabaseStatus, 'connectionId'> {
		const {name, role, followsTerm, position, fenceOwner} = this;
		const fencedTerm = this.isRebuilding ? 0 : this.fencedTerm;
		return {
			database: name, role, fencedTerm, followsTerm, position, fenceOwner,
		};
	}

	/** Simulates a restart that loses the log and the terms. */
	loseState(): void {
		this.startCount++;
		Object.assign(this, {
			role: 'replica', fencedTerm: 0, fenceOwner: '', followsTerm: 0, followedDatabase: undefined, log: [], isEmpty: true, rebuildLength: undefined,
		});
	}

	fence(term: number, owner: string): boolean {
		const isAccepted = !this.isRebuilding && (term > this.fencedTerm || (term === this.fencedTerm && owner === this.fenceOwner));
		if (isAccepted) {
			this.fencedTerm = term;
			this.fenceOwner = owner;
		}

		return isAccepted;
	}

	follow(term: number, primary: string): boolean {
		if (this.fencedTerm > term || this.name === primary) {
			return false;
		}

		this.role = 'replica';
		this.fencedTerm = term;
		this.followsTerm = term;
		this.followedDatabase = primary;
		this.rebuildLength = undefined;
		return true;
	}

	positionWaitResult(position: LogPosition): WaitResult {
		if (this.fencedTerm > position.term) {
			return 'superseded';
		}

		return !this.isEmpty && this.fencedTerm === this.position.term && comparePositions(this.position, position) >= 0 ? 'reached' : 'timeout';
	}
}

export type Promotion = {readonly database: string; readonly term: number; readonly log: readonly LogRecord[]; readonly atMs: number};

export type FakeGroupOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly names?: readonly string[];
	/** False to disable the compare-and-swap at `promote`, which shows the violations that it prevents. */
	readonly promoteChecks?: boolean;
	/** False to deliver an order whatever connection its sender names, which shows the violations that the connection prevents. */
	readonly connectionChecks?: boolean;
};

const replicationIntervalMs = 8;
const waitCheckIntervalMs = 8;

/** A database group with asynchronous replication, into which tests inject faults. */
export class FakeGroup {
	readonly databases: readonly FakeDatabase[];
	readonly promotions: Promotion[] = [];
	/** Interrupted network links, as `from>to`. */
	readonly interruptedLinks = new Set<string>();
	/** Calls whose response is lost after they have taken effect. Each entry applies to one call. */
	readonly lostResponses: Array<{readonly database: string; readonly call: ControlCall}> = [];
	/** Calls that travel for long and take effect then, whether or not their sender still waits. Each entry applies to one call. */
	readonly delayedCalls: Array<{readonly database: string; readonly call: ControlCall; readonly delayMs: number}> = [];
	private isStopped = false;

	constructor(readonly options: FakeGroupOptions) {
		this.databases = (options.names ?? ['a', 'b', 'c']).map(name => new FakeDatabase(name));
	}

	get(name: string): FakeDatabase {
		return this.databases.find(database => database.name === name)!;
	}

	/** Makes a database the primary of term 1 and the other members its replicas. */
	startWithPrimary(name: string, memberNames: readonly string[] = this.databases.map(database => database.name)): void {
		const members = memberNames.map(memberName => this.get(memberName));
		for (const database of members) {
			database.isEmpty = false;
			database.fence(1, 'start');
			database.follow(1, name);
		}

		this.promote(this.get(name), 1, 'start');
		for (const database of members) {
			database.log = [...this.get(name).log];
		}
	}

	cut(a: string, b: string): void {
		this.interruptedLinks.add(`${a}>${b}`).add(`${b}>${a}`);
	}

	heal(): void {
		this.interruptedLinks.clear();
		this.lostResponses.length = 0;
		this.delayedCalls.length = 0;
		for (const database of this.databases) {
			database.isDown = false;
			database.recordsPerStep = 100;
			database.gate.open();
		}
	}

	stop(): void {
		this.isStopped = true;
	}

	/** Replicates until the group is stopped. */
	async replicate(): Promise<void> {
		while (!this.isStopped) {
			for (const replica of this.databases) {
				this.replicateTo(replica);
			}

			await this.options.clock.sleep(replicationIntervalMs);
		}
	}

	/**
	 * Calls a database from a proxy over the simulated network, with delays, interrupted links, frozen databases and lost responses.
	 * @returns the result of the effect; does not resolve if the request or the response is lost
	 */
	async call<T>({proxy, database: name, kind, signal, connection}: NetworkCall, effect: (database: FakeDatabase) => Promise<T> | T): Promise<T> {
		const database = this.get(name);
		await this.traverseNetwork(proxy, name, signal);
		await this.options.clock.sleep(this.takeDelayMs(name, kind));
		await database.gate.waitUntilOpen();
		if (database.isDown) {
			throw new Error(`${name} refuses connections`);
		}

		if (connection && this.options.connectionChecks !== false && (connection.startCount ??= database.startCount) !== database.startCount) {
			throw new Error(`${name} has restarted and resets the connection`);
		}

		const result = await effect(database);
		await database.gate.waitUntilOpen();
		const lostIndex = this.lostResponses.findIndex(lostResponse => lostResponse.database === name && lostResponse.call === kind);
		if (lostIndex !== -1) {
			this.lostResponses.splice(lostIndex, 1);
			await waitForAbort(signal);
		}

		await this.traverseNetwork(proxy, name, signal);
		return result;
	}

	/** Creates the control with which a proxy calls a database. */
	control(proxy: string, name: string, gate: Gate): DatabaseControl {
		let connection: FakeConnection = {id: 1};
		/** Closes the connection of a call that fails. The call may take effect nevertheless, also after later ones. */
		const callOnConnection = async <T>(kind: ControlCall, signal: AbortSignal, effect: (database: FakeDatabase, connectionId: number) => Promise<T> | T) => {
			const usedConnection = connection;
			try {
				return await this.call({
					proxy, database: name, kind, signal, connection: usedConnection,
				}, async database => effect(database, usedConnection.id));
			} catch (error) {
				connection = connection === usedConnection ? {id: usedConnection.id + 1} : connection;
				throw error;
			}
		};

		const callDatabase = async <T>(kind: ControlCall, signal: AbortSignal, effect: (database: FakeDatabase, connectionId: number) => Promise<T> | T) => {
			await gate.waitUntilOpen();
			const result = await callOnConnection(kind, signal, effect);
			await gate.waitUntilOpen();
			return result;
		};

		const sendOrder = async (kind: ControlCall, order: DatabaseOrder, signal: AbortSignal, effect: (database: FakeDatabase) => boolean): Promise<ControlResult> => {
			await gate.waitUntilOpen();
			if (order.connectionId !== connection.id && this.options.connectionChecks !== false) {
				throw new Error(`the connection to ${name} has ended`);
			}

			return callDatabase(kind, signal, (database, connectionId) => ({accepted: effect(database), status: {...database.status(), connectionId}}));
		};

		return {
			database: name,
			status: async signal => callDatabase('status', signal, (database, connectionId) => ({...database.status(), connectionId})),
			fence: async (order, signal) => sendOrder('fence', order, signal, database => database.fence(order.term, order.owner)),
			promote: async (order, signal) => sendOrder('promote', order, signal, database => this.promote(database, order.term, order.owner)),
			follow: async (order, signal) => sendOrder('follow', order, signal, database => database.follow(order.term, order.primaryAddress.split(':')[0]!)),
			waitForPosition: async (position, timeoutMs, signal) => callDatabase('wait', signal, async database => this.waitForPosition(database, position, timeoutMs)),
			close() {
				gate.open();
			},
		};
	}

	private promote(database: FakeDatabase, term: number, owner: string): boolean {
		const isFenced = database.fencedTerm === term && database.fenceOwner === owner && !database.isRebuilding;
		if (!isFenced && this.options.promoteChecks !== false) {
			return false;
		}

		if (database.isCurrentPrimary && database.followsTerm === term) {
			return true;
		}

		Object.assign(database, {
			role: 'primary', fencedTerm: term, followsTerm: term, isEmpty: false,
		});
		database.log = [...database.log, {term, value: `start ${term}`}];
		this.promotions.push({
			database: database.name, term, log: [...database.log], atMs: this.options.clock.nowMs(),
		});
		return true;
	}

	private async waitForPosition(database: FakeDatabase, position: LogPosition, timeoutMs: number): Promise<WaitResult> {
		const {clock} = this.options;
		const endMs = clock.nowMs() + timeoutMs;
		while (database.positionWaitResult(position) === 'timeout' && clock.nowMs() < endMs) {
			await clock.sleep(waitCheckIntervalMs);
		}

		return database.positionWaitResult(position);
	}

	/**
	 * Runs one replication step. A replica receives log records only from the primary of its term, and none while it is fenced
	 * at a higher term. It discards its records after the common prefix of both logs.
	 */
	private replicateTo(replica: FakeDatabase): void {
		const primary = replica.followedDatabase === undefined ? undefined : this.get(replica.followedDatabase);
		const isReplicating = primary && replica.role === 'replica' && replica.fencedTerm === replica.followsTerm && primary.role === 'primary'
			&& primary.followsTerm === replica.followsTerm && !this.interruptedLinks.has(`${primary.name}>${replica.name}`)
			&& ![primary, replica].some(({isDown, gate}) => isDown || gate.isClosed);
		if (!isReplicating) {
			return;
		}

		replica.rebuildLength ??= primary.log.length;
		const divergenceIndex = replica.log.findIndex((record, index) => record !== primary.log[index]);
		const commonLength = divergenceIndex === -1 ? replica.log.length : divergenceIndex;
		replica.log = primary.log.slice(0, commonLength + replica.recordsPerStep);
		replica.isEmpty &&= replica.log.length < replica.rebuildLength;
	}

	private takeDelayMs(name: string, kind: NetworkCall['kind']): number {
		const index = this.delayedCalls.findIndex(({database, call}) => database === name && call === kind);
		return index === -1 ? 0 : this.delayedCalls.splice(index, 1)[0]!.delayMs;
	}

	private async traverseNetwork(proxy: string, name: string, signal?: AbortSignal): Promise<void> {
		const {clock, random} = this.options;
		await clock.sleep(1 + random.next());
		if (this.interruptedLinks.has(`${proxy}>${name}`)) {
			await waitForAbort(signal);
		}
	}
}

async function waitForAbort(signal?: AbortSignal): Promise<never> {
	return new Promise((_resolve, reject) => {
		signal?.addEventListener('abort', () => {
			reject(signal.reason as Error);
		}, {once: true});
	});
}
