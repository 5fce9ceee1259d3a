import {expect} from 'chai';
import fc from 'fast-check';
import {Fleet, type FakeProxy} from './fakeProxies.js';

const scheduleCount = Number(process.env.CROCUSLOOM_SCHEDULES ?? 300);
const seed = Number(process.env.CROCUSLOOM_SEED ?? 20_251);
const loadMs = 3000;
/** Bound of design section 7 for a change of primary. */
const recoveryLimitMs = 13_000;
const databases = ['a', 'b', 'c'] as const;

/** `leader` stands for whatever database leads when the fault begins. */
const database = fc.constantFrom(...databases, 'leader' as const);
const proxy = fc.nat({max: 2});
const fault = fc.oneof(
	fc.record({kind: fc.constant('kill' as const), database}),
	fc.record({kind: fc.constant('restart' as const), database}),
	fc.record({kind: fc.constant('restartEmpty' as const), database}),
	fc.record({kind: fc.constant('freeze' as const), database}),
	fc.record({kind: fc.constant('thaw' as const), database}),
	fc.record({kind: fc.constant('lag' as const), database}),
	fc.record({kind: fc.constant('cutProxy' as const), database, proxy}),
	fc.record({kind: fc.constant('cutDatabase' as const), database, other: database}),
	fc.record({kind: fc.constant('isolate' as const), database, proxy}),
	fc.record({kind: fc.constant('pause' as const), proxy}),
	fc.record({kind: fc.constant('resume' as const), proxy}),
	fc.record({kind: fc.constant('lose' as const), database, call: fc.constantFrom('fence' as const, 'promote' as const, 'follow' as const, 'status' as const)}),
	fc.record({kind: fc.constant('cutReplication' as const), database}),
	fc.record({kind: fc.constant('leave' as const), database}),
	fc.record({kind: fc.constant('heal' as const)}),
);
type Fault = typeof fault extends fc.Arbitrary<infer F> ? F : never;

const inject: {readonly [K in Fault['kind']]: (fleet: Fleet, fault: Extract<Fault, {kind: K}>) => void} = {
	kill(fleet, {database: name}) {
		fleet.group.get(name).isDown = true;
	},
	restart(fleet, {database: name}) {
		fleet.group.get(name).isDown = false;
	},
	restartEmpty(fleet, {database: name}) {
		// At most a minority of three lacks its state at a time.
		if (fleet.group.databases.every(other => other.name === name || !other.isEmpty)) {
			fleet.group.get(name).isDown = false;
			fleet.group.get(name).loseState();
		}
	},
	freeze(fleet, {database: name}) {
		fleet.group.get(name).gate.shut();
	},
	thaw(fleet, {database: name}) {
		fleet.group.get(name).gate.open();
	},
	lag(fleet, {database: name}) {
		fleet.group.get(name).rate = 0;
	},
	cutProxy(fleet, {database: name, proxy: index}) {
		fleet.group.cut(`p${index}`, name);
	},
	cutDatabase(fleet, {database: name, other}) {
		fleet.group.cut(name, other);
	},
	isolate(fleet, {database: name, proxy: index}) {
		fleet.isolate(name, `p${index}`);
	},
	pause(fleet, {proxy: index}) {
		fleet.proxies[index]?.gate.shut();
	},
	resume(fleet, {proxy: index}) {
		fleet.proxies[index]?.gate.open();
	},
	lose(fleet, {database: name, call}) {
		fleet.group.lostAnswers.push({database: name, call});
	},
	cutReplication(fleet, {database: name}) {
		for (const other of databases) {
			fleet.group.cut(name, other);
		}
	},
	leave(fleet, {database: name}) {
		fleet.leave(name);
	},
	heal(fleet) {
		fleet.group.heal();
	},
};

async function ignoreFailure(work: Promise<unknown>): Promise<void> {
	try {
		await work;
	} catch {
		// A refused or lost call is an outcome that callers see, and no violation.
	}
}

/** Callers of one proxy: writes at whatever leads, and reads of both kinds, one after the other started at random times. */
async function runCallers(fleet: Fleet, caller: FakeProxy): Promise<void> {
	while (fleet.clock.nowMs() < loadMs) {
		const pick = databases[Math.floor(fleet.random.next() * databases.length)]!;
		const primary = caller.view.state().primary ?? pick;
		void ignoreFailure(fleet.write(caller, fleet.random.next() < 0.8 ? primary : pick));
		void ignoreFailure(fleet.random.next() < 0.5 ? fleet.readStrict(caller, pick) : fleet.readBounded(caller, pick, 50 + (fleet.random.next() * 1000)));
		await fleet.clock.sleep(60 + (fleet.random.next() * 100));
	}
}

async function runFaults(fleet: Fleet, faults: ReadonlyArray<{readonly afterMs: number; readonly fault: Fault}>): Promise<void> {
	for (const {afterMs, fault: current} of faults) {
		await fleet.clock.sleep(afterMs);
		if (fleet.clock.nowMs() >= loadMs) {
			return;
		}

		const named = 'database' in current && current.database === 'leader' ? {...current, database: fleet.leaders[0] ?? 'a'} : current;
		(inject[current.kind] as (fleet: Fleet, fault: unknown) => void)(fleet, named);
	}
}

async function recover(fleet: Fleet): Promise<boolean> {
	fleet.group.heal();
	for (const {gate} of fleet.proxies) {
		gate.open();
	}

	const servedBefore = fleet.acknowledged.length;
	// A primary that restarted empty has no log to compare with until another is promoted.
	const isServing = () => fleet.isNewestPromotionLeading() && fleet.acknowledged.length > servedBefore;
	const endMs = fleet.clock.nowMs() + recoveryLimitMs;
	const [caller] = fleet.proxies;
	while (!isServing() && fleet.clock.nowMs() < endMs) {
		void ignoreFailure(fleet.write(caller!, caller!.view.state().primary ?? 'a'));
		await fleet.run(100, isServing);
	}

	return isServing();
}

function describeFleet({group, proxies}: Fleet): string {
	return JSON.stringify([group.databases.map(each => each.status()), proxies.map(({view}) => [view.state().primary, view.promotions().slice(-2)])]);
}

describe('random schedules of faults', function () {
	this.timeout(0);

	it(`keep every guarantee in ${scheduleCount} schedules (guards against lost writes, two primaries and stale reads)`, async () => {
		const totals = {writes: 0, reads: 0, promotions: 0};
		const faults = fc.array(fc.record({afterMs: fc.nat({max: 600}), fault}), {minLength: 1, maxLength: 8});
		await fc.assert(fc.asyncProperty(fc.nat(), fc.constantFrom(2, 3), faults, async (runSeed, proxyCount, schedule) => {
			const fleet = new Fleet({seed: runSeed, ranks: [0, 1, 2].slice(0, proxyCount)});
			try {
				for (const caller of fleet.proxies) {
					void runCallers(fleet, caller);
				}

				void runFaults(fleet, schedule);
				await fleet.run(loadMs);
				const isServing = await recover(fleet);
				expect(fleet.violations()).to.deep.equal([]);
				expect(isServing, `a write is served within the bound after the faults end: ${describeFleet(fleet)}`).to.equal(true);
				totals.writes += fleet.acknowledged.length;
				totals.reads += fleet.reads.length;
				totals.promotions += fleet.group.promotions.length - 1;
			} finally {
				fleet.stop();
			}
		}), {
			seed, numRuns: scheduleCount, path: process.env.CROCUSLOOM_PATH, endOnFailure: process.env.CROCUSLOOM_SHRINK === undefined,
		});
		console.log(`      ${totals.writes} writes acknowledged, ${totals.reads} reads answered, ${totals.promotions} promotions`);
		expect(Math.min(totals.writes, totals.reads, totals.promotions)).to.be.greaterThan(0);
	});
});
