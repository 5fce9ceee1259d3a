import {mock} from 'node:test';
import {RecordingLogger} from '@crocusloom/model/testing';
import {expect} from 'chai';
import {Backend} from '../backend.js';
import {connectionShareFor} from '../connectionShare.js';
import {type Route} from '../ports.js';
import {type ServiceView} from '../serviceView.js';
import {isRefused, StatementRunner} from '../statementRunner.js';
import {leavingPrimaryGraceMs} from '../targetSearch.js';
import {MemoryService} from '../testing/index.js';
import {type DataWork, type WorkContext} from '../work.js';
import {advanceTo, mockedClock} from './mockedTime.js';

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
			const view = {currentPrimary: {backend, term: 1}, onChange: () => () => undefined} as unknown as ServiceView;
			const runner = new StatementRunner({clock, failureDomain: 'a', viewOf: () => view});
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
