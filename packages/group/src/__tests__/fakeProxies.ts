import {expect} from 'chai';
import {type DatabaseGroupSpec, type GroupView, type LogPosition} from '@crocusloom/model';
import {GroupMonitor} from '../groupMonitor.js';
import {type Mechanisms} from '../mechanisms.js';
import {Promoter} from '../promoter.js';
import {
	FakeClock, Gate, pausableClock, seededRandom,
} from './fakeClock.js';
import {FakeGroup, type LogRecord} from './fakeGroup.js';

type Acknowledged = {readonly value: string; readonly term: number; readonly database: string; readonly startedAtMs: number; readonly atMs: number};
type Read = {readonly log: readonly LogRecord[]; readonly required: readonly string[]; readonly kind: 'strict' | 'bounded'};

/** A proxy with a monitor and a promoter, whose process can be paused. */
export class FakeProxy {
	readonly gate = new Gate();
	readonly monitor: GroupMonitor;

	constructor(readonly name: string, rank: number, fleet: Fleet, mechanisms?: Mechanisms) {
		const clock = pausableClock(fleet.clock, this.gate);
		this.monitor = new GroupMonitor({
			group: 'g', host: name, clock, controls: fleet.group.databases.map(database => fleet.group.control(name, database.name, this.gate)),
			spec: () => fleet.spec, mechanisms,
		});
		this.monitor.start();
		const promoter = new Promoter({
			monitor: this.monitor, random: fleet.random, owner: name, rank: () => rank, isSeenElsewhere: () => false, onRecord() {
				fleet.attempts++;
			},
		});
		if (rank >= 0) {
			void promoter.run();
		}
	}

	get view(): GroupView {
		return this.monitor;
	}
}

export type FleetOptions = {
	readonly seed?: number;
	/** Rank of each proxy in promotions; -1 for a proxy that never promotes. */
	readonly ranks?: readonly number[];
	readonly mechanisms?: Mechanisms;
	readonly promoteChecks?: boolean;
	/** False for a group where no database leads. */
	readonly hasLeader?: boolean;
};

/** Proxies on one fake group, their callers, and the record of what the callers saw. */
export class Fleet {
	readonly clock = new FakeClock();
	readonly random: {next: () => number};
	readonly group: FakeGroup;
	readonly proxies: readonly FakeProxy[];
	readonly acknowledged: Acknowledged[] = [];
	readonly reads: Read[] = [];
	attempts = 0;
	spec: DatabaseGroupSpec;
	private written = 0;

	constructor(options: FleetOptions = {}) {
		this.random = seededRandom(options.seed ?? 1);
		this.group = new FakeGroup({clock: this.clock, random: this.random, promoteChecks: options.promoteChecks});
		this.spec = {
			databases: this.group.databases.map(({name}) => ({
				name, address: name, port: 1, failureDomain: name, leaving: false,
			})),
			slotsPerDatabase: 3, connectionsPerDatabase: 20, acknowledgement: 'majority',
		};
		if (options.hasLeader !== false) {
			this.group.lead('a');
		}

		void this.group.replicate();
		this.proxies = (options.ranks ?? [0, 1]).map((rank, index) => new FakeProxy(`p${index}`, rank, this, options.mechanisms));
	}

	get leaders(): string[] {
		const terms = this.group.databases.filter(({leads}) => leads).toSorted((a, b) => b.fencedTerm - a.fencedTerm);
		return terms.map(({name}) => name);
	}

	/** Tells whether the database that was promoted last still leads in that term. */
	isNewestPromotionLeading(): boolean {
		const newest = this.group.promotions.toSorted((a, b) => b.term - a.term)[0]!;
		const {leads, fencedTerm} = this.group.get(newest.database);
		return leads && fencedTerm === newest.term;
	}

	async run(durationMs: number, isDone?: () => boolean): Promise<void> {
		await this.clock.runUntil(this.clock.nowMs() + durationMs, isDone);
	}

	/** Cuts a database and one proxy off from all others. */
	isolate(database: string, proxy: string): void {
		for (const {name} of this.group.databases.filter(other => other.name !== database)) {
			this.group.cut(database, name);
			this.group.cut(proxy, name);
		}

		for (const {name} of this.proxies.filter(other => other.name !== proxy)) {
			this.group.cut(database, name);
		}
	}

	/** Marks one database as leaving. */
	leave(database: string): void {
		this.spec = {...this.spec, databases: this.spec.databases.map(spec => ({...spec, leaving: spec.name === database}))};
	}

	/** Runs calls that callers make while time goes on, and tells whether they were served. */
	async served(work: Promise<boolean>, limitMs = 1500): Promise<boolean> {
		let isServed: boolean | undefined;
		const settle = async () => {
			try {
				isServed = await work;
			} catch {
				isServed = false;
			}
		};

		void settle();
		await this.run(limitMs, () => isServed !== undefined);
		return isServed ?? false;
	}

	/** Writes at what a proxy takes for the primary, again and again until one write is acknowledged. */
	async servedWithin(proxy: FakeProxy, limitMs: number): Promise<boolean> {
		const endMs = this.clock.nowMs() + limitMs;
		let isServed = false;
		while (!isServed && this.clock.nowMs() < endMs) {
			isServed = await this.served(this.write(proxy, proxy.view.state().primary ?? 'a'), 350);
			await this.run(isServed ? 0 : 20);
		}

		return isServed;
	}

	/** Writes at a database through a proxy and acknowledges when a majority holds it. */
	async write(proxy: FakeProxy, database: string): Promise<boolean> {
		const value = `w${this.written++}`;
		const startedAtMs = this.clock.nowMs();
		const position = await this.group.call<LogPosition | undefined>({
			proxy: proxy.name, database, kind: 'work', signal: proxy.monitor.signal,
		}, target => {
			if (!target.leads) {
				return undefined;
			}

			target.log = [...target.log, {term: target.fencedTerm, value}];
			return target.position;
		});
		await proxy.gate.pass();
		if (!position || await proxy.view.waitForMajority(position, waitLimitMs, proxy.monitor.signal) !== 'reached') {
			return false;
		}

		this.acknowledged.push({
			value, term: position.term, database, startedAtMs, atMs: this.clock.nowMs(),
		});
		return true;
	}

	/** Reads without a token: at or past the commit position. */
	async readStrict(proxy: FakeProxy, database: string): Promise<boolean> {
		const required = this.acknowledged.map(({value}) => value);
		const position = await proxy.view.commitPosition(proxy.monitor.signal);
		if (!await proxy.view.waitForDatabase(database, position, waitLimitMs, proxy.monitor.signal)) {
			return false;
		}

		return this.read(proxy, database, {required, kind: 'strict'});
	}

	/** Reads if the age of the database's data is proven to be within the limit. */
	async readBounded(proxy: FakeProxy, database: string, maxAgeMs: number): Promise<boolean> {
		const oldestMs = this.clock.nowMs() - maxAgeMs;
		if (proxy.view.provenAgeMs(database) > maxAgeMs) {
			return false;
		}

		const required = this.acknowledged.filter(({atMs}) => atMs < oldestMs).map(({value}) => value);
		return this.read(proxy, database, {required, kind: 'bounded'});
	}

	/**
	 * Compares everything that callers saw with the one log that a naive database would have.
	 * @returns what is wrong, in words; empty when nothing is
	 */
	violations(): string[] {
		const newest = this.group.promotions.toSorted((a, b) => b.term - a.term)[0]!;
		const final = this.group.get(newest.database).log;
		const values = final.map(({value}) => value);
		const lost = this.acknowledged.filter(({value}) => values.filter(other => other === value).length !== 1);
		const shared = this.acknowledged.filter(write => this.acknowledged.some(({term, database}) => term === write.term && database !== write.database));
		const replaced = this.acknowledged.filter(write => this.group.promotions.some(({term, atMs}) => term > write.term && atMs < write.startedAtMs));
		const stale = this.reads.filter(({log, required}) => !containsAll(log, required));
		const discarded = this.reads.filter(({log}) => log.some((record, index) => final[index] !== record));
		const promotedTerms = this.group.promotions.map(({term}) => term);
		return [
			...lost.map(({value, term}) => `lost: ${value} of term ${term}`),
			...shared.map(({term}) => `two primaries acknowledged in term ${term}`),
			...replaced.map(({value, term}) => `replaced primary of term ${term} acknowledged ${value}`),
			...stale.map(({kind}) => `stale: ${kind} read`),
			...discarded.map(({kind}) => `discarded: ${kind} read saw writes that did not stay`),
			...(new Set(promotedTerms).size === promotedTerms.length ? [] : ['two promotions in one term']),
		];
	}

	stop(): void {
		this.group.stop();
		for (const {monitor} of this.proxies) {
			monitor.close();
		}
	}

	private async read(proxy: FakeProxy, database: string, read: Omit<Read, 'log'>): Promise<boolean> {
		const {log, position} = await this.group.call({
			proxy: proxy.name, database, kind: 'work', signal: proxy.monitor.signal,
		}, target => {
			if (target.isEmpty) {
				throw new Error(`${database} has not rebuilt its state`);
			}

			return {log: target.log, position: target.position};
		});
		if (await proxy.view.waitForMajority(position, waitLimitMs, proxy.monitor.signal) !== 'reached') {
			return false;
		}

		this.reads.push({log, ...read});
		return true;
	}
}

/** Acknowledges a write that only a and c hold, restarts c without its state, and ends a. */
export async function loseReplica(fleet: Fleet): Promise<void> {
	fleet.group.get('b').rate = 0;
	expect(await fleet.served(fleet.write(fleet.proxies[0]!, 'a'))).to.equal(true);
	const [a, c] = [fleet.group.get('a'), fleet.group.get('c')];
	a.isDown = true;
	c.isDown = true;
	// Nothing may tell c to follow a once it is back, so the monitors must have noticed the end of a.
	await fleet.run(700);
	c.loseState();
	c.isDown = false;
	await fleet.run(3000);
}

function containsAll(log: readonly LogRecord[], required: readonly string[]): boolean {
	const values = new Set(log.map(({value}) => value));
	return required.every(value => values.has(value));
}

/** Longest wait of a caller's work for a position. */
const waitLimitMs = 300;
