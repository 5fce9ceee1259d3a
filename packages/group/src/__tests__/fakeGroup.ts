import {
	type Clock, comparePositions, type DatabaseControl, type DatabaseStatus, type ControlResult, type LogPosition, type RandomSource, type WaitResult,
} from '@crocusloom/model';
import {Gate} from './fakeClock.js';

export type LogRecord = {readonly term: number; readonly value: string};
export type ControlCall = 'status' | 'fence' | 'promote' | 'follow' | 'wait';

export type NetworkCall = {readonly proxy: string; readonly database: string; readonly kind: ControlCall | 'work'; readonly signal?: AbortSignal};

/** A database of the fake group. */
export class FakeDatabase {
	role: 'primary' | 'replica' = 'replica';
	fencedTerm = 0;
	fenceOwner = '';
	followsTerm = 0;
	followed?: string;
	log: LogRecord[] = [];
	isDown = false;
	/** Closed while the database is frozen; calls that arrive take effect when it thaws. */
	readonly gate = new Gate();
	/** Records taken in one replication step; 0 for a replica that falls behind. */
	rate = 100;
	/** True from a start without state until the database leads or has rebuilt its state from a primary. */
	isEmpty = true;
	/** Length of the primary's log when the database began to follow it without state. */
	rebuildLength?: number;

	constructor(readonly name: string) {}

	get position(): LogPosition {
		return {term: this.log.at(-1)?.term ?? 0, offsetBytes: this.log.length};
	}

	get leads(): boolean {
		return this.role === 'primary' && this.followsTerm === this.fencedTerm;
	}

	get isRebuilding(): boolean {
		return this.isEmpty && this.followsTerm > 0;
	}

	status(): DatabaseStatus {
		const {name, role, followsTerm, position, fenceOwner} = this;
		const fencedTerm = this.isRebuilding ? 0 : this.fencedTerm;
		return {
			database: name, role, fencedTerm, followsTerm, position, fenceOwner,
		};
	}

	/** Restarts without log and terms. */
	loseState(): void {
		Object.assign(this, {
			role: 'replica', fencedTerm: 0, fenceOwner: '', followsTerm: 0, followed: undefined, log: [], isEmpty: true, rebuildLength: undefined,
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
		this.followed = primary;
		this.rebuildLength = undefined;
		return true;
	}

	heldAnswer(position: LogPosition): WaitResult {
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
	/** False to show what the compare-and-swap at promote prevents. */
	readonly promoteChecks?: boolean;
};

const replicationIntervalMs = 8;
const waitCheckMs = 8;

/** A group with asynchronous replication, whose faults are set by the test. */
export class FakeGroup {
	readonly databases: readonly FakeDatabase[];
	readonly promotions: Promotion[] = [];
	/** Pairs that cannot talk, as `from>to`. */
	readonly cuts = new Set<string>();
	/** Answers to lose, by call, after the effect. */
	readonly lostAnswers: Array<{readonly database: string; readonly call: ControlCall}> = [];
	private isOver = false;

	constructor(readonly options: FakeGroupOptions) {
		this.databases = (options.names ?? ['a', 'b', 'c']).map(name => new FakeDatabase(name));
	}

	get(name: string): FakeDatabase {
		return this.databases.find(database => database.name === name)!;
	}

	/** Makes a database the primary of term 1 with the others following it. */
	lead(name: string): void {
		for (const database of this.databases) {
			database.isEmpty = false;
			database.fence(1, 'start');
			database.follow(1, name);
		}

		this.promote(this.get(name), 1, 'start');
		for (const database of this.databases) {
			database.log = [...this.get(name).log];
		}
	}

	cut(a: string, b: string): void {
		this.cuts.add(`${a}>${b}`).add(`${b}>${a}`);
	}

	heal(): void {
		this.cuts.clear();
		this.lostAnswers.length = 0;
		for (const database of this.databases) {
			database.isDown = false;
			database.rate = 100;
			database.gate.open();
		}
	}

	stop(): void {
		this.isOver = true;
	}

	/** Replicates until the group is stopped. */
	async replicate(): Promise<void> {
		while (!this.isOver) {
			for (const replica of this.databases) {
				this.replicateTo(replica);
			}

			await this.options.clock.sleep(replicationIntervalMs);
		}
	}

	/**
	 * Runs a call of a proxy at a database over the network, with delay, cuts, freezes and lost answers.
	 * @returns the effect's answer; never resolves when the answer is lost
	 */
	async call<T>({proxy, database: name, kind, signal}: NetworkCall, effect: (database: FakeDatabase) => Promise<T> | T): Promise<T> {
		const database = this.get(name);
		await this.travel(proxy, name, signal);
		await database.gate.pass();
		if (database.isDown) {
			throw new Error(`${name} refuses connections`);
		}

		const answer = await effect(database);
		await database.gate.pass();
		const lost = this.lostAnswers.findIndex(lose => lose.database === name && lose.call === kind);
		if (lost !== -1) {
			this.lostAnswers.splice(lost, 1);
			await never(signal);
		}

		await this.travel(proxy, name, signal);
		return answer;
	}

	/** The control of a database as a proxy has it. */
	control(proxy: string, name: string, gate: Gate): DatabaseControl {
		const run = async <T>(kind: ControlCall, signal: AbortSignal, effect: (database: FakeDatabase) => Promise<T> | T) => {
			await gate.pass();
			const answer = await this.call({
				proxy, database: name, kind, signal,
			}, effect);
			await gate.pass();
			return answer;
		};

		const change = async (kind: ControlCall, signal: AbortSignal, effect: (database: FakeDatabase) => boolean): Promise<ControlResult> =>
			run(kind, signal, database => ({accepted: effect(database), status: database.status()}));
		return {
			database: name,
			status: async signal => run('status', signal, database => database.status()),
			fence: async (term, owner, signal) => change('fence', signal, database => database.fence(term, owner)),
			promote: async (term, owner, signal) => change('promote', signal, database => this.promote(database, term, owner)),
			follow: async (term, address, signal) => change('follow', signal, database => database.follow(term, address.split(':')[0]!)),
			waitForPosition: async (position, timeoutMs, signal) => run('wait', signal, async database => this.waitAt(database, position, timeoutMs)),
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

		if (database.leads && database.followsTerm === term) {
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

	private async waitAt(database: FakeDatabase, position: LogPosition, timeoutMs: number): Promise<WaitResult> {
		const {clock} = this.options;
		const endMs = clock.nowMs() + timeoutMs;
		while (database.heldAnswer(position) === 'timeout' && clock.nowMs() < endMs) {
			await clock.sleep(waitCheckMs);
		}

		return database.heldAnswer(position);
	}

	/** A replica takes the log of the primary of its term only, and none while it is fenced above it. */
	private replicateTo(replica: FakeDatabase): void {
		const primary = replica.followed === undefined ? undefined : this.get(replica.followed);
		const isPossible = primary && replica.role === 'replica' && replica.fencedTerm === replica.followsTerm && primary.role === 'primary'
			&& primary.followsTerm === replica.followsTerm && !this.cuts.has(`${primary.name}>${replica.name}`)
			&& ![primary, replica].some(({isDown, gate}) => isDown || gate.closed);
		if (!isPossible) {
			return;
		}

		replica.rebuildLength ??= primary.log.length;
		const different = replica.log.findIndex((record, index) => record !== primary.log[index]);
		const common = different === -1 ? replica.log.length : different;
		replica.log = primary.log.slice(0, common + replica.rate);
		replica.isEmpty &&= replica.log.length < replica.rebuildLength;
	}

	private async travel(proxy: string, name: string, signal?: AbortSignal): Promise<void> {
		const {clock, random} = this.options;
		await clock.sleep(1 + random.next());
		if (this.cuts.has(`${proxy}>${name}`)) {
			await never(signal);
		}
	}
}

async function never(signal?: AbortSignal): Promise<never> {
	return new Promise((_resolve, reject) => {
		signal?.addEventListener('abort', () => {
			reject(signal.reason as Error);
		}, {once: true});
	});
}
