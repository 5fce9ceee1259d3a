import {expect} from 'chai';
import {
	checkListChange, type DatabaseGroupSpec, type DatabaseList, type GroupView, type LogPosition, nextListState,
} from '@crocusloom/model';
import {FakeClock, seededRandom} from '@crocusloom/model/testing';
import {GroupMonitor} from '../groupMonitor.js';
import {type SafetyMechanisms} from '../safetyMechanisms.js';
import {ListChangeSettler} from '../listChangeSettler.js';
import {Promoter} from '../promoter.js';
import {Gate, pausableClock} from './gate.js';
import {FakeGroup, type LogRecord} from './fakeGroup.js';

type AcknowledgedWrite = {readonly value: string; readonly term: number; readonly database: string; readonly startedAtMs: number; readonly acknowledgedAtMs: number};
type CompletedRead = {readonly log: readonly LogRecord[]; readonly requiredValues: readonly string[]; readonly kind: 'strict' | 'bounded'};

/** The databases of the group in the configuration. */
export type ConfiguredList = DatabaseList & {readonly revision: number};

/** A proxy process with a monitor and a promoter, which can be paused. */
export class FakeProxy {
	readonly gate = new Gate();
	/** True while the proxy receives no changes of the configuration. */
	isCutFromStore = false;
	private list: ConfiguredList;
	private currentMonitor: GroupMonitor;

	constructor(readonly name: string, private readonly promotionRank: number, private readonly deployment: FakeDeployment) {
		this.list = deployment.list;
		this.currentMonitor = this.startMonitor();
	}

	get monitor(): GroupMonitor {
		return this.currentMonitor;
	}

	get view(): GroupView {
		return this.currentMonitor;
	}

	get listedNames(): readonly string[] {
		return [...this.list.databases, ...this.list.state.previousDatabases ?? []].map(({name}) => name);
	}

	get hasNewestList(): boolean {
		return this.list.revision === this.deployment.list.revision;
	}

	/** Replaces the monitor if the databases in the configuration have changed. */
	async learnDatabases(): Promise<void> {
		await this.gate.waitUntilOpen();
		if (this.isCutFromStore || this.hasNewestList) {
			return;
		}

		this.list = this.deployment.list;
		this.currentMonitor.close();
		this.currentMonitor = this.startMonitor();
	}

	private startMonitor(): GroupMonitor {
		const {deployment, gate, list, listedNames, name, promotionRank} = this;
		const {generation, previousDatabases} = list.state;
		const monitor = new GroupMonitor({
			group: 'g', host: name, clock: pausableClock(deployment.clock, gate), controls: [...new Set(listedNames)].map(database => deployment.group.control(name, database, gate)),
			spec: () => deployment.specOf(list), generation, previousDatabases, mechanisms: deployment.options.mechanisms,
		});
		monitor.start();
		const promoter = new Promoter({
			monitor, random: deployment.random, owner: `${name}.${list.revision}`, promotionRank: () => promotionRank, isReachableElsewhere: () => false, onRecord() {
				deployment.attemptCount++;
			},
		});
		if (promotionRank >= 0) {
			void promoter.run();
		}

		if (previousDatabases) {
			void new ListChangeSettler({monitor, settle: async settledGeneration => !this.isCutFromStore && deployment.settle(settledGeneration)}).run();
		}

		return monitor;
	}
}

export type FakeDeploymentOptions = {
	readonly seed?: number;
	/** Promotion rank of each proxy. -1 means that the proxy never promotes. */
	readonly promotionRanks?: readonly number[];
	readonly mechanisms?: SafetyMechanisms;
	readonly promoteChecks?: boolean;
	readonly connectionChecks?: boolean;
	/** False for a group that starts without a primary. */
	readonly hasPrimary?: boolean;
	/** Names of databases that run and are not in the configuration at first. */
	readonly spareNames?: readonly string[];
};

/** Several proxies with one fake group. Records what the callers of the proxies observe. */
export class FakeDeployment {
	readonly clock = new FakeClock();
	readonly random: {next: () => number};
	readonly group: FakeGroup;
	readonly proxies: readonly FakeProxy[];
	readonly acknowledgedWrites: AcknowledgedWrite[] = [];
	readonly completedReads: CompletedRead[] = [];
	attemptCount = 0;
	list: ConfiguredList = {revision: 1, databases: databasesNamed(initialNames), state: {generation: 0}};
	private leavingDatabase?: string;
	private writeCount = 0;

	constructor(readonly options: FakeDeploymentOptions = {}) {
		this.random = seededRandom(options.seed ?? 1);
		this.group = new FakeGroup({
			clock: this.clock, random: this.random, promoteChecks: options.promoteChecks, connectionChecks: options.connectionChecks, names: [...initialNames, ...options.spareNames ?? []],
		});
		if (options.hasPrimary !== false) {
			this.group.startWithPrimary('a', initialNames);
		}

		void this.group.replicate();
		this.proxies = (options.promotionRanks ?? [0, 1]).map((promotionRank, index) => new FakeProxy(`p${index}`, promotionRank, this));
	}

	/** Names of the databases that the configuration or a proxy lists. */
	get listedNames(): readonly string[] {
		return [...new Set([...this.list.databases.map(({name}) => name), ...this.proxies.flatMap(proxy => proxy.listedNames)])];
	}

	/** Returns the resource of the group with these databases. */
	specOf({databases}: DatabaseList): DatabaseGroupSpec {
		return {
			databases: databases.map(database => ({...database, leaving: database.name === this.leavingDatabase})),
			slotsPerDatabase: 3, connectionsPerDatabase: 20, acknowledgement: 'majority',
		};
	}

	/**
	 * Changes the databases in the configuration, as an operator does. The proxies learn of the change after a delay.
	 * @returns false if the change is refused
	 */
	changeDatabases(names: readonly string[]): boolean {
		const databases = databasesNamed(names);
		if (checkListChange(this.list, databases).length > 0) {
			return false;
		}

		const state = nextListState(this.list, databases) ?? this.list.state;
		if (state.generation === this.list.state.generation) {
			return true;
		}

		this.list = {revision: this.list.revision + 1, databases, state};
		this.announceList();
		return true;
	}

	/** Records that a change of the databases is in force. */
	settle(generation: number): boolean {
		if (this.list.state.generation === generation && this.list.state.previousDatabases) {
			this.list = {revision: this.list.revision + 1, databases: this.list.databases, state: {generation}};
			this.announceList();
		}

		return this.list.state.generation >= generation;
	}

	/** Repeats a change of the databases while it is refused, and returns whether it was accepted within the limit. */
	async changesDatabasesWithin(names: readonly string[], timeoutMs: number): Promise<boolean> {
		const endMs = this.clock.nowMs() + timeoutMs;
		let isAccepted = this.changeDatabases(names);
		while (!isAccepted && this.clock.nowMs() < endMs) {
			await this.run(100);
			isAccepted = this.changeDatabases(names);
		}

		return isAccepted;
	}

	/** Makes the list in the configuration known to all proxies that are connected to the store. */
	announceList(): void {
		for (const proxy of this.proxies.filter(({hasNewestList}) => !hasNewestList)) {
			void this.learnAfterDelay(proxy);
		}
	}

	get primaries(): string[] {
		const primaries = this.group.databases.filter(({isCurrentPrimary}) => isCurrentPrimary).toSorted((a, b) => b.fencedTerm - a.fencedTerm);
		return primaries.map(({name}) => name);
	}

	/** Checks whether the database that was promoted last is still the primary of that term. */
	isNewestPromotionInEffect(): boolean {
		const newestPromotion = this.group.promotions.toSorted((a, b) => b.term - a.term)[0]!;
		const {isCurrentPrimary, fencedTerm} = this.group.get(newestPromotion.database);
		return isCurrentPrimary && fencedTerm === newestPromotion.term;
	}

	async run(durationMs: number, isDone?: () => boolean): Promise<void> {
		await this.clock.runUntil(this.clock.nowMs() + durationMs, isDone);
	}

	/** Puts a database and one proxy into a network partition of their own. */
	isolate(database: string, proxy: string): void {
		for (const {name} of this.group.databases.filter(other => other.name !== database)) {
			this.group.cut(database, name);
			this.group.cut(proxy, name);
		}

		for (const {name} of this.proxies.filter(other => other.name !== proxy)) {
			this.group.cut(database, name);
		}
	}

	/** Marks one database as leaving, and all others as not leaving. */
	markLeaving(database: string): void {
		this.leavingDatabase = database;
	}

	/** Advances the clock until a call of a caller ends, and returns whether it succeeded within the limit. */
	async succeeds(call: Promise<boolean>, timeoutMs = 1500): Promise<boolean> {
		let isSuccessful: boolean | undefined;
		const recordOutcome = async () => {
			try {
				isSuccessful = await call;
			} catch {
				isSuccessful = false;
			}
		};

		void recordOutcome();
		await this.run(timeoutMs, () => isSuccessful !== undefined);
		return isSuccessful ?? false;
	}

	/** Repeats writes at the database that a proxy considers the primary, and returns whether one was acknowledged within the limit. */
	async writeSucceedsWithin(proxy: FakeProxy, timeoutMs: number): Promise<boolean> {
		const endMs = this.clock.nowMs() + timeoutMs;
		let isAcknowledged = false;
		while (!isAcknowledged && this.clock.nowMs() < endMs) {
			isAcknowledged = await this.succeeds(this.write(proxy, proxy.view.state().primary ?? 'a'), 350);
			await this.run(isAcknowledged ? 0 : 20);
		}

		return isAcknowledged;
	}

	/** Writes at a database through a proxy. The write is acknowledged when a majority holds it. */
	async write(proxy: FakeProxy, database: string): Promise<boolean> {
		const value = `w${this.writeCount++}`;
		const startedAtMs = this.clock.nowMs();
		const position = await this.group.call<LogPosition | undefined>({
			proxy: proxy.name, database, kind: 'work', signal: proxy.monitor.signal,
		}, target => {
			if (!target.isCurrentPrimary) {
				return undefined;
			}

			target.log = [...target.log, {term: target.fencedTerm, value}];
			return target.position;
		});
		await proxy.gate.waitUntilOpen();
		if (!position || await proxy.view.waitForMajority(position, waitLimitMs, proxy.monitor.signal) !== 'reached') {
			return false;
		}

		this.acknowledgedWrites.push({
			value, term: position.term, database, startedAtMs, acknowledgedAtMs: this.clock.nowMs(),
		});
		return true;
	}

	/** Reads at or past the commit position, as for a caller without a session token. */
	async readStrict(proxy: FakeProxy, database: string): Promise<boolean> {
		const requiredValues = this.acknowledgedWrites.map(({value}) => value);
		const position = await proxy.view.commitPosition(proxy.monitor.signal);
		if (!await proxy.view.waitForDatabase(database, position, waitLimitMs, proxy.monitor.signal)) {
			return false;
		}

		return this.runRead(proxy, database, {requiredValues, kind: 'strict'});
	}

	/** Reads if the proven age of the database's data is within the limit. */
	async readBounded(proxy: FakeProxy, database: string, maxAgeMs: number): Promise<boolean> {
		const oldestAcknowledgedAtMs = this.clock.nowMs() - maxAgeMs;
		if (proxy.view.provenAgeMs(database) > maxAgeMs) {
			return false;
		}

		const requiredValues = this.acknowledgedWrites.filter(({acknowledgedAtMs}) => acknowledgedAtMs < oldestAcknowledgedAtMs).map(({value}) => value);
		return this.runRead(proxy, database, {requiredValues, kind: 'bounded'});
	}

	/**
	 * Checks everything that callers observed against the final log of the newest primary, as if there were a single database.
	 * @returns descriptions of the violated guarantees; empty if there are none
	 */
	violations(): string[] {
		const newestPromotion = this.group.promotions.toSorted((a, b) => b.term - a.term)[0]!;
		const finalLog = this.group.get(newestPromotion.database).log;
		const finalValues = finalLog.map(({value}) => value);
		const lostWrites = this.acknowledgedWrites.filter(({value}) => finalValues.filter(other => other === value).length !== 1);
		const writesLostByPromotions = this.group.promotions.flatMap(({database, term, log}) => {
			const promotedValues = new Set(log.map(({value}) => value));
			return this.acknowledgedWrites.filter(write => write.term < term && !promotedValues.has(write.value)).map(write => ({...write, database, promotedTerm: term}));
		});
		const writesInSharedTerms = this.acknowledgedWrites.filter(write => this.acknowledgedWrites.some(({term, database}) => term === write.term && database !== write.database));
		const writesAtReplacedPrimaries = this.acknowledgedWrites.filter(write => this.group.promotions.some(({term, atMs}) => term > write.term && atMs < write.startedAtMs));
		const staleReads = this.completedReads.filter(({log, requiredValues}) => !containsAll(log, requiredValues));
		const readsOfDiscardedWrites = this.completedReads.filter(({log}) => log.some((record, index) => finalLog[index] !== record));
		const promotedTerms = this.group.promotions.map(({term}) => term);
		return [
			...lostWrites.map(({value, term}) => `lost: ${value} of term ${term}`),
			...writesLostByPromotions.map(({value, term, database, promotedTerm}) => `lost: ${value} of term ${term} by the promotion of ${database} in term ${promotedTerm}`),
			...writesInSharedTerms.map(({term}) => `two primaries acknowledged in term ${term}`),
			...writesAtReplacedPrimaries.map(({value, term}) => `replaced primary of term ${term} acknowledged ${value}`),
			...staleReads.map(({kind}) => `stale: ${kind} read`),
			...readsOfDiscardedWrites.map(({kind}) => `discarded: ${kind} read observed writes that were discarded`),
			...(new Set(promotedTerms).size === promotedTerms.length ? [] : ['two promotions in one term']),
		];
	}

	/** Ends all faults. */
	heal(): void {
		this.group.heal();
		for (const proxy of this.proxies) {
			proxy.gate.open();
			proxy.isCutFromStore = false;
		}

		this.announceList();
	}

	stop(): void {
		this.group.stop();
		for (const {monitor} of this.proxies) {
			monitor.close();
		}
	}

	private async learnAfterDelay(proxy: FakeProxy): Promise<void> {
		await this.clock.sleep(this.random.next() * maximumLearnDelayMs);
		await proxy.learnDatabases();
	}

	private async runRead(proxy: FakeProxy, database: string, read: Omit<CompletedRead, 'log'>): Promise<boolean> {
		const {log, position} = await this.group.call({
			proxy: proxy.name, database, kind: 'work', signal: proxy.monitor.signal,
		}, target => {
			if (target.isEmpty) {
				throw new Error(`${database} has not rebuilt its state yet`);
			}

			return {log: target.log, position: target.position};
		});
		if (await proxy.view.waitForMajority(position, waitLimitMs, proxy.monitor.signal) !== 'reached') {
			return false;
		}

		this.completedReads.push({log, ...read});
		return true;
	}
}

/** Acknowledges a write that only a and c hold, stops both, and restarts c without its state. */
export async function loseReplicaState(deployment: FakeDeployment): Promise<void> {
	deployment.group.get('b').recordsPerStep = 0;
	expect(await deployment.succeeds(deployment.write(deployment.proxies[0]!, 'a'))).to.equal(true);
	const [a, c] = [deployment.group.get('a'), deployment.group.get('c')];
	a.isDown = true;
	c.isDown = true;
	// The monitors must have detected that a is down before c restarts, so that none makes c follow a.
	await deployment.run(700);
	c.loseState();
	c.isDown = false;
	await deployment.run(3000);
}

/** Time in which a change of the databases that can be made safely is accepted and in force. */
export const changeLimitMs = 5000;

/** Separates a host with the databases of two changes ago, and the databases that only it may use, from the others, and writes on both sides. */
export async function writeWithListOfTwoChangesAgo(deployment: FakeDeployment): Promise<void> {
	const [oldProxy, newProxy] = deployment.proxies;
	oldProxy!.isCutFromStore = true;
	expect(await deployment.changesDatabasesWithin(['a', 'b', 'c', 'd'], changeLimitMs)).to.equal(true);
	await deployment.run(changeLimitMs);
	expect(await deployment.changesDatabasesWithin(['a', 'c', 'd'], changeLimitMs)).to.equal(true);
	await deployment.run(changeLimitMs);
	for (const [near, far] of [['a', 'c'], ['a', 'd'], ['b', 'c'], ['b', 'd'], ['p1', 'a'], ['p1', 'b'], ['p0', 'c'], ['p0', 'd']] as const) {
		deployment.group.cut(near, far);
	}

	await deployment.writeSucceedsWithin(newProxy!, changeLimitMs);
	await deployment.succeeds(deployment.write(oldProxy!, 'a'));
	await deployment.succeeds(deployment.write(oldProxy!, 'b'));
}

function containsAll(log: readonly LogRecord[], requiredValues: readonly string[]): boolean {
	const values = new Set(log.map(({value}) => value));
	return requiredValues.every(value => values.has(value));
}

function databasesNamed(names: readonly string[]): DatabaseGroupSpec['databases'] {
	return names.map(name => ({
		name, address: name, port: 1, failureDomain: name, leaving: false,
	}));
}

const initialNames: readonly string[] = ['a', 'b', 'c'];
/** Maximum time until a proxy that is connected to the store learns of a change of the databases. */
const maximumLearnDelayMs = 400;
/** Maximum time for which a read or write of a caller waits for a position. */
const waitLimitMs = 300;
