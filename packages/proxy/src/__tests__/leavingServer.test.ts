import {mock} from 'node:test';
import {noopLogger, noopMetrics, systemClock} from '@crocusloom/model';
import {RecordingLogger, waitUntil} from '@crocusloom/model/testing';
import {expect} from 'chai';
import {Backend} from '../servers/backend.js';
import {connectionShareFor} from '../connections/connectionShare.js';
import {type Route} from '../ports.js';
import {type ServiceView} from '../servers/serviceView.js';
import {isRefused, StatementRunner} from '../statements/statementRunner.js';
import {leavingPrimaryGraceMs} from '../statements/targetSearch.js';
import {MemoryService} from '../testing/index.js';
import {type DataWork, type WorkContext} from '../statements/work.js';
import {advanceTo, mockedClock} from './mockedTime.js';
import {
	errorOf, type Harness, run, startProxy,
} from './proxyHarness.js';

/** Duration of the statement that occupies the only slot while the grace time ends. */
const blockingStatementMs = 1500;
const route: Route = {
	database: 'ledger', service: 'ledger', freshness: {kind: 'primary'}, timeoutMs: 5000, targetMs: 4000, priority: 0,
};
const ranks = [{
	rank: 'priority-0', order: 0, targetMs: route.targetMs, floorShare: 0,
}];

type Case = {
	readonly title: string;
	/** Runs the work. Returns true if it was refused. */
	readonly isRefused: (runner: StatementRunner, context: WorkContext) => Promise<boolean>;
};

const cases: readonly Case[] = [
	{
		title: 'statement',
		async isRefused(runner, context) {
			const {answer} = await runner.runSingle(context, workOf(context.requestId));
			return answer.error?.kind === 'overloaded';
		},
	},
	{
		title: 'transaction',
		async isRefused(runner, context) {
			return isRefused(await runner.begin(context, false));
		},
	},
];

function workOf(id: string): DataWork {
	return {mode: 'write', command: {kind: 'data', id, text: 'WRITE x 1'}, prepared: undefined};
}

function contextOf(requestId: string, arrivedMs: number): WorkContext {
	return {
		requestId, route, callerKey: requestId, parameters: new Map(), sessionPosition: undefined, arrivedMs,
	};
}

type Removal = {readonly title: string; readonly remove: (harness: Harness) => void};

const removals: readonly Removal[] = [
	{
		title: 'a server whose entry is removed',
		remove({proxy, service}) {
			proxy.setServers(service.listings().filter(({id}) => id !== 'a'));
		},
	},
	{
		title: 'the servers of a service that is no longer configured',
		remove({proxy}) {
			proxy.routes.apply({
				version: 2, routes: new Map(), services: new Map(), transactionIdleMs: 3000,
			});
		},
	},
];

describe('removed server', () => {
	let harness: Harness;

	beforeEach(async () => {
		harness = await startProxy();
	});

	afterEach(() => {
		harness.stop();
	});

	async function expectWorkToFinish({remove}: Removal): Promise<void> {
		const {service, proxy} = harness;
		const transactionSession = proxy.openSession('strict', 'u1');
		await run(transactionSession, 'BEGIN');
		await run(transactionSession, 'WRITE x 1');
		service.server('a').statementDurationMs = 200;
		const write = run(proxy.openSession('strict', 'u2'), 'WRITE y 1');
		await systemClock.sleep(50);
		remove(harness);
		const {error} = await write;
		expect(error).to.equal(undefined);
		const commit = await run(transactionSession, 'COMMIT');
		expect(commit.error).to.equal(undefined);
		expect(service.acknowledged.length).to.equal(2);
		await waitUntil(() => service.server('a').openConnections === 0);
	}

	for (const removal of removals) {
		it(`lets ${removal.title} finish a statement and a transaction (guards against work that is given up because a server was silent towards the store)`, async () => expectWorkToFinish(removal));
	}

	it('sends no new work to a server whose entry is removed (guards against work at a server that is gone)', async () => {
		const {service, proxy} = harness;
		proxy.setServers(service.listings().filter(({id}) => id !== 'a'));
		const runsBefore = service.runs.length;
		expect(await errorOf(proxy.openSession('strict', 'u'), 'WRITE x 1')).to.equal('overloaded');
		expect(service.runs.slice(runsBefore).filter(({server, command}) => server === 'a' && 'id' in command)).to.deep.equal([]);
	});
});

describe('leaving server', () => {
	beforeEach(() => {
		mock.timers.enable({apis: ['setTimeout', 'setInterval']});
	});

	afterEach(() => {
		mock.timers.reset();
	});

	for (const {title, isRefused: isWorkRefused} of cases) {
		it(`gets no ${title} that has waited for a slot until the grace time was over (guards against work that is sent after the drain bound)`, async () => {
			const clock = mockedClock();
			const service = new MemoryService('ledger', ['a'], 0);
			const server = service.server('a');
			server.statementDurationMs = blockingStatementMs;
			const entry = {...server.listing(), slots: 1};
			const backend = new Backend(entry, {connections: connectionShareFor(service.maxConnections, 1), ranks}, {
				dialer: service, clock, random: {next: () => 0.5}, log: new RecordingLogger(),
			});
			const view = {
				currentPrimary: {backend, term: 1}, onChange: () => () => undefined, confirmCommit: async () => ({kind: 'confirmed', wasKnown: true}),
			} as unknown as ServiceView;
			const runner = new StatementRunner({
				clock, failureDomain: 'a', log: noopLogger, metrics: noopMetrics, viewOf: () => view,
			});
			backend.configure({...entry, isLeaving: true}, {connections: connectionShareFor(service.maxConnections, 1), ranks});

			await advanceTo(clock, leavingPrimaryGraceMs - 1000);
			const blocking = runner.runSingle(contextOf('blocking', clock.timeMs), workOf('blocking'));
			await advanceTo(clock, leavingPrimaryGraceMs - 500);
			const refused = isWorkRefused(runner, contextOf('waiting', clock.timeMs));
			await advanceTo(clock, leavingPrimaryGraceMs + route.timeoutMs);

			const {answer} = await blocking;
			expect(answer.error).to.equal(undefined);
			expect(await refused).to.equal(true);
			expect(service.runs.filter(({command}) => command.kind === 'begin' || command.kind === 'data').length).to.equal(1);
			backend.close();
		});
	}
});
