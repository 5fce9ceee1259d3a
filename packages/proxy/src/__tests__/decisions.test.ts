import {noopMetrics, noopLogger} from '@crocusloom/model';
import {RecordingLogger} from '@crocusloom/model/testing';
import {expect} from 'chai';
import {CommitSamples} from '../commits/commitSamples.js';
import {HostCount, connectionShareFor} from '../connections/connectionShare.js';
import {DecisionLog, type RequestDecision} from '../sessions/decisionLog.js';
import {type ConnectivityCheck, IsolationDetector} from '../connections/isolationDetector.js';
import {ranksOf, RouteTable} from '../sessions/routeTable.js';
import {parameterSyncCommands} from '../sessions/sessionParameters.js';
import {SlotLimit} from '../servers/slotLimit.js';
import {type ProxyConfiguration, type Route} from '../ports.js';
import {manualClock} from './proxyHarness.js';

describe('connection share', () => {
	const cases = [
		{
			name: 'four hosts of a small deployment', maxConnections: 22, hosts: 4, guaranteed: 4, maximum: 8, isScarce: false,
		},
		{
			name: 'more hosts than guaranteed connections', maxConnections: 46, hosts: 40, guaranteed: 1, maximum: 9, isScarce: true,
		},
		{
			name: 'a host that knows no other host', maxConnections: 22, hosts: 0, guaranteed: 17, maximum: 22, isScarce: false,
		},
	];
	for (const {name, maxConnections, hosts, guaranteed, maximum, isScarce} of cases) {
		it(`computes the share for ${name} (guards against a storm of refused connections)`, () => {
			expect(connectionShareFor(maxConnections, hosts)).to.deep.equal({
				guaranteed, maximum, isScarce, serverLimit: maxConnections,
			});
		});
	}

	it('still counts hosts that disappeared recently (guards against a limit that ignores open connections of dead hosts)', () => {
		const clock = manualClock();
		const hosts = new HostCount(clock);
		hosts.record(36);
		clock.timeMs = 5000;
		hosts.record(3);
		expect(hosts.recentMaximum).to.equal(36);
		clock.timeMs = 16_000;
		expect(hosts.recentMaximum).to.equal(3);
	});
});

describe('commit samples', () => {
	const samples = new CommitSamples();
	for (const takenMs of [100, 200, 300]) {
		samples.add(takenMs, {term: 1, offsetBytes: takenMs});
	}

	const cases = [
		{name: 'the oldest sample within the bound', sinceMs: 150, offsetBytes: 200},
		{name: 'the first sample for a wide bound', sinceMs: 0, offsetBytes: 100},
		{name: 'no sample if all samples are too old', sinceMs: 301, offsetBytes: undefined},
	];
	for (const {name, sinceMs, offsetBytes} of cases) {
		it(`returns ${name} (guards against reads that exceed their freshness bound)`, () => {
			expect(samples.oldestSampleSince(sinceMs)?.position.offsetBytes).to.equal(offsetBytes);
		});
	}

	it('drops samples of earlier terms (guards against waits for commits that a promotion discarded)', () => {
		const samplesOfOldTerm = new CommitSamples();
		samplesOfOldTerm.add(100, {term: 1, offsetBytes: 9});
		samplesOfOldTerm.dropTermsBefore(2);
		expect(samplesOfOldTerm.oldestSampleSince(0)).to.equal(undefined);
	});
});

describe('session parameters', () => {
	const cases = [
		{
			name: 'no command for equal parameters', connectionParameters: [['a', '1']], sessionParameters: [['a', '1']], commands: [],
		},
		{
			name: 'only the parameters that differ', connectionParameters: [['a', '1'], ['b', '2']], sessionParameters: [['a', '1'], ['b', '3']], commands: ['set b=3'],
		},
		{
			name: 'a reset if the connection has a parameter that the session lacks', connectionParameters: [['a', '1'], ['x', '9']], sessionParameters: [['a', '1']], commands: ['discard', 'set a=1'],
		},
	] as const;
	for (const {name, connectionParameters, sessionParameters, commands} of cases) {
		it(`sends ${name} (guards against parameters of another session)`, () => {
			const sentCommands = parameterSyncCommands(new Map(connectionParameters), new Map(sessionParameters))
				.map(command => command.kind === 'set' ? `set ${command.name}=${command.value}` : command.kind);
			expect(sentCommands).to.deep.equal(commands);
		});
	}
});

describe('slot limit', () => {
	it('halves when the server refuses work and grows again slowly (guards against hosts that keep the server\'s queue full)', () => {
		const limit = new SlotLimit(4);
		limit.recordOverload(1000);
		limit.recordOverload(1010);
		expect(limit.value).to.equal(2);
		limit.recordServed('read', 10, 1200);
		expect(limit.value).to.equal(2);
		limit.recordServed('read', 10, 1500);
		expect(limit.value).to.equal(3);
	});

	it('falls below one while statements take much longer than usual and recovers afterwards (guards against work that queues at the server)', () => {
		const limit = new SlotLimit(4);
		let nowMs = 0;
		const serve = (count: number, runMs: number) => {
			for (let index = 0; index < count; index++) {
				nowMs += 50;
				limit.recordServed('read', runMs, nowMs);
			}
		};

		serve(200, 10);
		expect(limit.value).to.equal(4);
		serve(60, 200);
		expect(limit.value).to.be.below(0.5);
		expect(limit.pauseMs(100)).to.be.above(100);
		serve(200, 10);
		expect(limit.value).to.equal(4);
		expect(limit.pauseMs(100)).to.equal(0);
	});
});

describe('isolation detector', () => {
	const failedCheck: ConnectivityCheck = {storeAnswered: false, primaries: 2, unreachablePrimaries: 1};
	const passedCheck: ConnectivityCheck = {storeAnswered: true, primaries: 2, unreachablePrimaries: 0};
	const cases: ReadonlyArray<{readonly name: string; readonly checks: readonly ConnectivityCheck[]; readonly isIsolated: boolean}> = [
		{name: 'two failed checks with the store and half of the primaries unreachable', checks: [failedCheck, failedCheck], isIsolated: true},
		{name: 'one failed check with the store and several primaries unreachable', checks: [{...failedCheck, primaries: 3, unreachablePrimaries: 2}], isIsolated: true},
		{name: 'single failed checks between passed ones', checks: [failedCheck, passedCheck, failedCheck, passedCheck], isIsolated: false},
		{name: 'an outage of the store alone', checks: Array.from({length: 9}, () => ({...failedCheck, unreachablePrimaries: 0})), isIsolated: false},
		{name: 'unreachable primaries while the store answers', checks: Array.from({length: 9}, () => ({...failedCheck, storeAnswered: true})), isIsolated: false},
		{name: 'one unreachable primary of three in an outage of the store', checks: Array.from({length: 9}, () => ({...failedCheck, primaries: 3})), isIsolated: false},
		{name: 'a partition with one passed check', checks: [failedCheck, failedCheck, passedCheck], isIsolated: true},
		{name: 'a partition that has ended', checks: [failedCheck, failedCheck, passedCheck, passedCheck, passedCheck], isIsolated: false},
	];
	for (const {name, checks, isIsolated} of cases) {
		it(`classifies ${name} (guards against hosts that keep callers they cannot serve, and against flapping)`, () => {
			const detector = new IsolationDetector(manualClock(), noopLogger);
			for (const check of checks) {
				detector.recordCheck(check);
			}

			expect(detector.isolatedForMs !== undefined).to.equal(isIsolated);
		});
	}
});

describe('route table', () => {
	const route = (priority: number): Route => ({
		database: `db-${priority}`, service: 's', freshness: {kind: 'primary'}, timeoutMs: 800, targetMs: 150, priority,
	});
	const configuration = (version: number): ProxyConfiguration => ({
		version, routes: new Map([['db-0', route(0)], ['db-1', route(1)]]), services: new Map(), transactionIdleMs: 3000,
	});

	it('keeps the newest version (guards against a return to an older configuration)', () => {
		const table = new RouteTable(noopLogger);
		table.apply(configuration(7));
		table.apply(configuration(5));
		expect(table.version).to.equal(7);
	});

	it('creates a rank per priority (guards against urgent work that waits behind other work)', () => {
		expect(ranksOf(configuration(1), 's').map(({order}) => order)).to.deep.equal([0, 1]);
	});
});

describe('decision log', () => {
	const decision: RequestDecision = {
		requestId: 'r', session: 's', database: 'd', operation: 'read', outcome: 'overloaded', configurationVersion: 1, configurationAgeMs: 0, attempts: 1, waitedMs: 0, tookMs: 1,
	};

	it('limits its lines and logs how many it suppressed (guards against a log volume that grows with the load)', () => {
		const clock = manualClock();
		const log = new RecordingLogger();
		const decisions = new DecisionLog(log, noopMetrics, clock);
		for (let index = 0; index < 500; index++) {
			decisions.record(decision, false);
		}

		clock.timeMs = 2000;
		decisions.record(decision, false);
		expect(log.withMessage('request').length).to.equal(41);
		expect(log.withMessage('lines about requests were left out')[0]?.fields.suppressed).to.equal(460);
	});
});
