import {noopMetrics, systemClock} from '@crocusloom/model';
import {RecordingLogger} from '@crocusloom/model/testing';
import {expect} from 'chai';
import {type Answer} from '../statements/statement.js';
import {newExecution, type StatementExecution} from '../statements/statementExecution.js';
import {type WorkContext} from '../statements/work.js';
import {WriteConfirmer} from '../statements/writeConfirmer.js';
import {type Harness, startProxy} from './proxyHarness.js';

const context: WorkContext = {
	requestId: 'q1',
	route: {
		database: 'strict', service: 'ledger', freshness: {kind: 'primary'}, timeoutMs: 600, targetMs: 400, priority: 0,
	},
	callerKey: 'u',
	parameters: new Map(),
	sessionPosition: undefined,
	arrivedMs: 0,
};
const answer: Answer = {
	rows: [], digest: 'd', state: 'idle', position: {term: 1, offsetBytes: 1},
};

type Case = {
	readonly title: string;
	readonly missing: Partial<StatementExecution>;
	readonly answer: Answer;
	readonly reason: string;
};

const cases: readonly Case[] = [
	{
		title: 'a position', missing: {}, answer: {...answer, position: undefined}, reason: 'the server gave no position',
	},
	{
		title: 'the server', missing: {target: undefined}, answer, reason: 'the server that acknowledged it is not known',
	},
	{
		title: 'the view of the service', missing: {view: undefined}, answer, reason: 'the servers of the service are not known',
	},
];

describe('confirmation of a write', () => {
	let harness: Harness;

	beforeEach(async () => {
		harness = await startProxy();
	});

	afterEach(() => {
		harness.stop();
	});

	async function expectReason({missing, answer: givenAnswer, reason}: Case): Promise<void> {
		const {view} = harness;
		const log = new RecordingLogger();
		const confirmer = new WriteConfirmer({clock: systemClock, log, metrics: noopMetrics});
		const target = {backend: view.currentPrimary!.backend, primary: undefined, minimumPosition: undefined};
		const execution = {
			...newExecution(context, systemClock.nowMs()), view, target, ...missing,
		};
		const {error} = await confirmer.confirm(execution, givenAnswer);
		expect(error).to.deep.equal({kind: 'inDoubt', message: `the commit may be lost in a promotion: ${reason}`});
		expect(log.lines.map(({fields}) => fields.reason)).to.deep.equal([reason]);
	}

	for (const testCase of cases) {
		it(`without ${testCase.title} says so (guards against a log line that blames the server for something else)`, async () => expectReason(testCase));
	}
});
