import {expect} from 'chai';
import fc from 'fast-check';
import {FakeDeployment, type FakeProxy} from './fakeDeployment.js';

const scheduleCount = Number(process.env.CROCUSLOOM_SCHEDULES ?? 300);
const lateOrderScheduleCount = Number(process.env.CROCUSLOOM_SCHEDULES ?? 100);
/** The schedules with changes of the databases take five times as long. */
const changeScheduleCount = Number(process.env.CROCUSLOOM_SCHEDULES ?? 100);
const seed = Number(process.env.CROCUSLOOM_SEED ?? 20_251);
const loadDurationMs = 3000;
/** Load of the schedules with changes of the databases, each of which takes some time to be in force. */
const changeLoadDurationMs = 6000;
/** Upper bound for a change of primary, from section 7 of `docs/design.md`. */
const recoveryLimitMs = 13_000;
/** Longest travel time of a call, longer than its sender waits and than a promotion takes. */
const maximumDelayMs = 5000;
const databases = ['a', 'b', 'c'] as const;

/** `primary` stands for the database that is the primary when the fault is injected. */
const databaseArbitrary = fc.constantFrom(...databases, 'primary' as const);
const proxyArbitrary = fc.nat({max: 2});
const faultArbitrary = fc.oneof(
	fc.record({kind: fc.constant('kill' as const), database: databaseArbitrary}),
	fc.record({kind: fc.constant('restart' as const), database: databaseArbitrary}),
	fc.record({kind: fc.constant('restartEmpty' as const), database: databaseArbitrary}),
	fc.record({kind: fc.constant('freeze' as const), database: databaseArbitrary}),
	fc.record({kind: fc.constant('thaw' as const), database: databaseArbitrary}),
	fc.record({kind: fc.constant('lag' as const), database: databaseArbitrary}),
	fc.record({kind: fc.constant('cutProxy' as const), database: databaseArbitrary, proxy: proxyArbitrary}),
	fc.record({kind: fc.constant('cutDatabase' as const), database: databaseArbitrary, other: databaseArbitrary}),
	fc.record({kind: fc.constant('isolate' as const), database: databaseArbitrary, proxy: proxyArbitrary}),
	fc.record({kind: fc.constant('pause' as const), proxy: proxyArbitrary}),
	fc.record({kind: fc.constant('resume' as const), proxy: proxyArbitrary}),
	fc.record({kind: fc.constant('lose' as const), database: databaseArbitrary, call: fc.constantFrom('fence' as const, 'promote' as const, 'follow' as const, 'status' as const)}),
	fc.record({
		kind: fc.constant('delay' as const),
		database: databaseArbitrary,
		call: fc.constantFrom('fence' as const, 'promote' as const, 'follow' as const, 'status' as const, 'wait' as const),
		delayMs: fc.nat({max: maximumDelayMs}),
		callCount: fc.integer({min: 1, max: 3}),
	}),
	fc.record({kind: fc.constant('cutReplication' as const), database: databaseArbitrary}),
	fc.record({kind: fc.constant('leave' as const), database: databaseArbitrary}),
	fc.record({kind: fc.constant('heal' as const)}),
);
const allDatabases = [...databases, 'd', 'e'] as const;
const anyDatabaseArbitrary = fc.constantFrom(...allDatabases);
/** Faults of the schedules in which operators change the databases. */
const changeFaultArbitrary = fc.oneof(
	{weight: 2, arbitrary: faultArbitrary},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('addDatabase' as const), name: anyDatabaseArbitrary})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('removeDatabase' as const), name: anyDatabaseArbitrary})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('replaceDatabase' as const), name: anyDatabaseArbitrary, other: anyDatabaseArbitrary})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('cutStore' as const), proxy: proxyArbitrary})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('lagAny' as const), name: anyDatabaseArbitrary})},
);
/** Faults of the schedules in which orders travel for long, their senders are suspended, and databases lose their terms meanwhile. */
const lateOrderFaultArbitrary = fc.oneof(
	{weight: 1, arbitrary: faultArbitrary},
	{
		weight: 2,
		arbitrary: fc.record({
			kind: fc.constant('delay' as const),
			database: fc.constantFrom(...databases),
			call: fc.constantFrom('fence' as const, 'promote' as const, 'follow' as const),
			delayMs: fc.integer({min: 300, max: maximumDelayMs}),
			callCount: fc.integer({min: 1, max: 3}),
		}),
	},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('pause' as const), proxy: proxyArbitrary})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('resume' as const), proxy: proxyArbitrary})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('restartEmpty' as const), database: databaseArbitrary})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('isolate' as const), database: databaseArbitrary, proxy: proxyArbitrary})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('cutDatabase' as const), database: databaseArbitrary, other: databaseArbitrary})},
);
type FaultOf<A> = A extends fc.Arbitrary<infer F> ? F : never;
type Fault = FaultOf<typeof changeFaultArbitrary> | FaultOf<typeof lateOrderFaultArbitrary>;
type ScheduledFault = {readonly afterMs: number; readonly fault: Fault};

const faultInjectors: {readonly [K in Fault['kind']]: (deployment: FakeDeployment, fault: Extract<Fault, {kind: K}>) => void} = {
	kill(deployment, {database: name}) {
		deployment.group.get(name).isDown = true;
	},
	restart(deployment, {database: name}) {
		deployment.group.get(name).isDown = false;
	},
	restartEmpty(deployment, {database: name}) {
		// At most one database may be without its state, because only a minority of each list may lose it at a time.
		if (isMinorityOfEachList(deployment) && deployment.listedNames.every(other => other === name || !deployment.group.get(other).isEmpty)) {
			deployment.group.get(name).isDown = false;
			deployment.group.get(name).loseState();
		}
	},
	freeze(deployment, {database: name}) {
		deployment.group.get(name).gate.close();
	},
	thaw(deployment, {database: name}) {
		deployment.group.get(name).gate.open();
	},
	lag(deployment, {database: name}) {
		deployment.group.get(name).recordsPerStep = 0;
	},
	cutProxy(deployment, {database: name, proxy: index}) {
		deployment.group.cut(`p${index}`, name);
	},
	cutDatabase(deployment, {database: name, other}) {
		deployment.group.cut(name, other);
	},
	isolate(deployment, {database: name, proxy: index}) {
		deployment.isolate(name, `p${index}`);
	},
	pause(deployment, {proxy: index}) {
		deployment.proxies[index]?.gate.close();
	},
	resume(deployment, {proxy: index}) {
		deployment.proxies[index]?.gate.open();
	},
	lose(deployment, {database: name, call}) {
		deployment.group.lostResponses.push({database: name, call});
	},
	delay(deployment, {database: name, call, delayMs, callCount}) {
		deployment.group.delayedCalls.push(...Array.from({length: callCount}, () => ({database: name, call, delayMs})));
	},
	cutReplication(deployment, {database: name}) {
		for (const other of databases) {
			deployment.group.cut(name, other);
		}
	},
	leave(deployment, {database: name}) {
		deployment.markLeaving(name);
	},
	heal(deployment) {
		deployment.group.heal();
	},
	addDatabase(deployment, {name}) {
		deployment.changeDatabases([...new Set([...listedNamesOf(deployment), name])]);
	},
	removeDatabase(deployment, {name}) {
		changeIfAnyRemains(deployment, listedNamesOf(deployment).filter(other => other !== name));
	},
	replaceDatabase(deployment, {name, other}) {
		changeIfAnyRemains(deployment, [...new Set([...listedNamesOf(deployment).filter(listed => listed !== name), other])]);
	},
	cutStore(deployment, {proxy: index}) {
		const proxy = deployment.proxies[index];
		if (proxy) {
			proxy.isCutFromStore = true;
		}
	},
	lagAny(deployment, {name}) {
		deployment.group.get(name).recordsPerStep = 0;
	},
};

/** Checks whether one database is a minority of the list in the configuration, and of the one before it if that counts as well. */
function isMinorityOfEachList({list: {databases: listed, state: {previousDatabases}}}: FakeDeployment): boolean {
	return [listed, previousDatabases ?? listed].every(list => list.length > 2);
}

function listedNamesOf({list}: FakeDeployment): readonly string[] {
	return list.databases.map(({name}) => name);
}

function changeIfAnyRemains(deployment: FakeDeployment, names: readonly string[]): void {
	if (names.length > 0) {
		deployment.changeDatabases(names);
	}
}

async function ignoreFailure(call: Promise<unknown>): Promise<void> {
	try {
		await call;
	} catch {
		// A refused or lost call is a valid outcome for a caller and not a violation.
	}
}

/** Runs the callers of one proxy. They start writes, mostly at the primary, and strict and bounded reads at random times. */
async function runCallers(deployment: FakeDeployment, entryProxy: FakeProxy, durationMs: number): Promise<void> {
	while (deployment.clock.nowMs() < durationMs) {
		const {listedNames} = entryProxy;
		const randomDatabase = listedNames[Math.floor(deployment.random.next() * listedNames.length)]!;
		const primary = entryProxy.view.state().primary ?? randomDatabase;
		void ignoreFailure(deployment.write(entryProxy, deployment.random.next() < 0.8 ? primary : randomDatabase));
		void ignoreFailure(deployment.random.next() < 0.5
			? deployment.readStrict(entryProxy, randomDatabase)
			: deployment.readBounded(entryProxy, randomDatabase, 50 + (deployment.random.next() * 1000)));
		await deployment.clock.sleep(60 + (deployment.random.next() * 100));
	}
}

async function runFaults(deployment: FakeDeployment, faults: readonly ScheduledFault[], durationMs: number): Promise<void> {
	for (const {afterMs, fault: scheduledFault} of faults) {
		await deployment.clock.sleep(afterMs);
		if (deployment.clock.nowMs() >= durationMs) {
			return;
		}

		const resolvedFault = 'database' in scheduledFault && scheduledFault.database === 'primary' ? {...scheduledFault, database: deployment.primaries[0] ?? 'a'} : scheduledFault;
		(faultInjectors[scheduledFault.kind] as (deployment: FakeDeployment, fault: unknown) => void)(deployment, resolvedFault);
	}
}

async function waitForRecovery(deployment: FakeDeployment): Promise<boolean> {
	deployment.heal();
	const acknowledgedBefore = deployment.acknowledgedWrites.length;
	// A primary that restarted without its state has no log for the comparison until another database is promoted.
	const isRecovered = () => deployment.isNewestPromotionInEffect() && deployment.acknowledgedWrites.length > acknowledgedBefore;
	const endMs = deployment.clock.nowMs() + recoveryLimitMs;
	const [entryProxy] = deployment.proxies;
	while (!isRecovered() && deployment.clock.nowMs() < endMs) {
		void ignoreFailure(deployment.write(entryProxy!, entryProxy!.view.state().primary ?? 'a'));
		await deployment.run(100, isRecovered);
	}

	return isRecovered();
}

function describeDeployment({group, proxies}: FakeDeployment): string {
	return JSON.stringify([group.databases.map(database => database.status()), proxies.map(({view}) => [view.state().primary, view.promotions().slice(-2)])]);
}

type ScheduleTotals = {writes: number; reads: number; promotions: number; changes: number};

async function runSchedule(deployment: FakeDeployment, schedule: readonly ScheduledFault[], durationMs: number, totals: ScheduleTotals): Promise<void> {
	try {
		for (const entryProxy of deployment.proxies) {
			void runCallers(deployment, entryProxy, durationMs);
		}

		void runFaults(deployment, schedule, durationMs);
		await deployment.run(durationMs);
		const isRecovered = await waitForRecovery(deployment);
		expect(deployment.violations()).to.deep.equal([]);
		expect(isRecovered, `a write succeeds within the bound after the faults end: ${describeDeployment(deployment)}`).to.equal(true);
		totals.writes += deployment.acknowledgedWrites.length;
		totals.reads += deployment.completedReads.length;
		totals.promotions += deployment.group.promotions.length - 1;
		totals.changes += deployment.list.state.generation;
	} finally {
		deployment.stop();
	}
}

const runParameters = {
	seed, path: process.env.CROCUSLOOM_PATH, endOnFailure: process.env.CROCUSLOOM_SHRINK === undefined,
};

describe('random fault schedules', function () {
	this.timeout(0);

	it(`keep all guarantees in ${scheduleCount} schedules (guards against lost writes, two primaries and stale reads)`, async () => {
		const totals = {
			writes: 0, reads: 0, promotions: 0, changes: 0,
		};
		const faults = fc.array(fc.record({afterMs: fc.nat({max: 600}), fault: faultArbitrary}), {minLength: 1, maxLength: 8});
		await fc.assert(fc.asyncProperty(fc.nat(), fc.constantFrom(2, 3), faults, async (runSeed, proxyCount, schedule) => {
			const deployment = new FakeDeployment({seed: runSeed, promotionRanks: [0, 1, 2].slice(0, proxyCount)});
			await runSchedule(deployment, schedule, loadDurationMs, totals);
		}), {...runParameters, numRuns: scheduleCount});
		console.log(`      ${totals.writes} writes acknowledged, ${totals.reads} reads answered, ${totals.promotions} promotions`);
		expect(Math.min(totals.writes, totals.reads, totals.promotions)).to.be.greaterThan(0);
	});

	it(`keep all guarantees in ${lateOrderScheduleCount} schedules with late orders (guards against orders of an earlier term that take effect after a newer one)`, async () => {
		const totals = {
			writes: 0, reads: 0, promotions: 0, changes: 0,
		};
		const faults = fc.array(fc.record({afterMs: fc.nat({max: 900}), fault: lateOrderFaultArbitrary}), {minLength: 4, maxLength: 16});
		await fc.assert(fc.asyncProperty(fc.nat(), fc.constantFrom(2, 3), faults, async (runSeed, proxyCount, schedule) => {
			const deployment = new FakeDeployment({seed: runSeed, promotionRanks: [0, 1, 2].slice(0, proxyCount)});
			await runSchedule(deployment, schedule, changeLoadDurationMs, totals);
		}), {...runParameters, numRuns: lateOrderScheduleCount});
		console.log(`      ${totals.writes} writes acknowledged, ${totals.reads} reads answered, ${totals.promotions} promotions`);
		expect(Math.min(totals.writes, totals.reads, totals.promotions)).to.be.greaterThan(0);
	});

	it(`keep all guarantees in ${changeScheduleCount} schedules with changes of the databases (guards against majorities of two lists that do not intersect)`, async () => {
		const totals = {
			writes: 0, reads: 0, promotions: 0, changes: 0,
		};
		const faults = fc.array(fc.record({afterMs: fc.nat({max: 800}), fault: changeFaultArbitrary}), {minLength: 2, maxLength: 14});
		await fc.assert(fc.asyncProperty(fc.nat(), fc.constantFrom(2, 3), faults, async (runSeed, proxyCount, schedule) => {
			const deployment = new FakeDeployment({seed: runSeed, promotionRanks: [0, 1, 2].slice(0, proxyCount), spareNames: ['d', 'e']});
			await runSchedule(deployment, schedule, changeLoadDurationMs, totals);
		}), {...runParameters, numRuns: changeScheduleCount});
		console.log(`      ${totals.writes} writes acknowledged, ${totals.reads} reads answered, ${totals.promotions} promotions, ${totals.changes} changes of the databases`);
		expect(Math.min(totals.writes, totals.reads, totals.promotions, totals.changes)).to.be.greaterThan(0);
	});
});
