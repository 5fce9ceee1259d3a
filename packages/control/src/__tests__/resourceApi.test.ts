import {expect} from 'chai';
import {
	noopLogger, systemClock, type GroupDirectory, type HolderStats,
} from '@crocusloom/model';
import {startResourceApi} from '../resourceApi.js';
import {FakeDeployment, type FakeHost} from './fakes.js';

const spec = {order: 1, targetMs: 50, floorShare: 0.1};
const storedKey = 'crocusloom/test/ranks/first';
const directory: Pick<GroupDirectory, 'stateOf' | 'states' | 'promotions'> = {
	stateOf: () => undefined,
	states: () => [],
	promotions: () => [{
		group: 'g', term: 2, outcome: 'promoted', reason: 'test', startedAtMs: 1, tookMs: 2, steps: [],
	}],
};
const databaseStats: HolderStats = {
	group: 'g', database: 'db1', openConnections: 9, connectionLimit: 10, busySlots: 1, slotLimit: 3, ranks: [],
};

type HttpResult = {readonly code: number; readonly body: Readonly<Record<string, unknown>>; readonly headers: Headers};

describe('startResourceApi', () => {
	let deployment: FakeDeployment;
	let host: FakeHost;
	let url: string;
	let closeController: AbortController;

	beforeEach(async () => {
		deployment = new FakeDeployment();
		host = deployment.startHost('a');
		await deployment.clock.until(host.started);
		closeController = new AbortController();
		const peers = deployment.network.rpcOf('api');
		const {port} = await startResourceApi({
			address: '127.0.0.1',
			port: 0,
			store: host.store,
			membership: deployment.membershipOf('a'),
			directory,
			dispatcher: {holderStats: () => [databaseStats]},
			peers,
			clock: systemClock,
			log: noopLogger,
			explain: request => ({reason: 'test', request}),
			metrics: async () => ({contentType: 'text/plain', body: 'requests 1\n'}),
		}, closeController.signal);
		url = `http://127.0.0.1:${port}`;
	});

	afterEach(() => {
		closeController.abort();
		deployment.stopAllHosts();
	});

	async function request(method: string, path: string, body?: unknown, headers: Readonly<Record<string, string>> = {}): Promise<HttpResult> {
		const contentType: Readonly<Record<string, string>> = body === undefined ? {} : {'content-type': 'application/json'};
		const response = await deployment.clock.until(fetch(url + path, {method, body: body === undefined ? undefined : JSON.stringify(body), headers: {...contentType, ...headers}}));
		const text = await response.text();
		const isJson = response.headers.get('content-type')?.startsWith('application/json');
		return {code: response.status, body: isJson ? JSON.parse(text) as HttpResult['body'] : {text}, headers: response.headers};
	}

	type Step = {
		readonly method: string;
		readonly path: string;
		readonly body?: unknown;
		readonly headers?: Readonly<Record<string, string>>;
		readonly code: number;
		readonly expectedProperties?: Readonly<Record<string, unknown>>;
	};
	const path = '/v1/ranks/first';
	const createStep: Step = {
		method: 'PUT', path, body: {spec}, code: 201,
	};
	const cases: ReadonlyArray<{readonly name: string; readonly steps: readonly Step[]}> = [
		{
			name: 'creates, reads and lists a resource', steps: [
				createStep,
				{
					method: 'GET', path, code: 200, expectedProperties: {revision: 1, 'spec.floorShare': 0.1, 'status.conditions': []},
				},
				{
					method: 'GET', path: '/v1/ranks', code: 200, expectedProperties: {revision: 1, 'items[0].name': 'first'},
				},
			],
		},
		{
			name: 'creates a resource by POST only if it does not exist', steps: [
				{
					method: 'POST', path: '/v1/ranks', body: {name: 'first', spec}, code: 201,
				},
				{
					method: 'POST', path: '/v1/ranks', body: {name: 'first', spec}, code: 409, expectedProperties: {'current.revision': 1},
				},
			],
		},
		{
			name: 'replaces the expected revision only, and returns the current resource on a conflict', steps: [
				createStep,
				{
					method: 'PUT', path, body: {spec: {...spec, floorShare: 0.2}}, headers: {'if-match': '"1"'}, code: 200, expectedProperties: {revision: 2},
				},
				{
					method: 'PUT', path, body: {spec}, headers: {'if-match': '1'}, code: 409, expectedProperties: {currentRevision: 2, 'current.spec.floorShare': 0.2},
				},
			],
		},
		{
			name: 'requires the revision for a delete', steps: [
				createStep,
				{
					method: 'DELETE', path, code: 400, expectedProperties: {'problems[0].path': 'If-Match'},
				},
				{
					method: 'DELETE', path, headers: {'if-match': '1'}, code: 200, expectedProperties: {deleted: true, revision: 2},
				},
				{method: 'GET', path, code: 404},
			],
		},
		{
			name: 'applies a change with a repeated change id once', steps: [
				{...createStep, headers: {'change-id': 'c1'}},
				{...createStep, headers: {'change-id': 'c1'}, expectedProperties: {acceptedRevision: 1}},
			],
		},
		{
			name: 'reports the path of each invalid field', steps: [
				{
					method: 'PUT', path, body: {spec: {...spec, order: 0, other: 1}}, code: 400, expectedProperties: {'problems[0].path': 'spec.order'},
				},
				{
					method: 'PUT', path, body: {name: 'second', spec}, code: 400, expectedProperties: {'problems[0].path': 'name'},
				},
				{
					method: 'GET', path: '/v1/explain?database=app', code: 400, expectedProperties: {'problems[0].path': 'statement'},
				},
				{
					method: 'GET', path: '/v1/watch?since=x', code: 400, expectedProperties: {'problems[0].path': 'since'},
				},
				{method: 'GET', path: '/v1/unknown', code: 404},
			],
		},
		{
			name: 'serves the status, promotions, explanations and metrics', steps: [
				{
					method: 'GET', path: '/v1/status', code: 200, expectedProperties: {
						host: 'a', ready: true, 'platform.reachable': true, 'conditions[0].type': 'ConnectionsNearLimit', 'holders[0].host': 'a',
					},
				},
				{
					method: 'GET', path: '/v1/promotions', code: 200, expectedProperties: {'items[0].term': 2},
				},
				{
					method: 'GET', path: '/v1/explain?database=app&statement=select%201&user=u', code: 200, expectedProperties: {'request.statement': 'select 1', 'request.user': 'u'},
				},
				{
					method: 'GET', path: '/metrics', code: 200, expectedProperties: {text: 'requests 1\n'},
				},
			],
		},
	];
	for (const {name, steps} of cases) {
		it(name, async () => {
			await runSteps(steps);
		});
	}

	async function runSteps(steps: readonly Step[]): Promise<void> {
		for (const step of steps) {
			const result = await request(step.method, step.path, step.body, step.headers);
			expect(result.code, `${step.method} ${step.path} ${JSON.stringify(result.body)}`).to.equal(step.code);
			for (const [property, value] of Object.entries(step.expectedProperties ?? {})) {
				expect(result.body).to.have.deep.nested.property(property, value);
			}
		}
	}

	it('refuses changes with status 503 and their effect during a platform outage, and still serves reads', async () => {
		await runSteps([createStep]);
		deployment.platform.setDown(true);
		await runSteps([
			{
				method: 'PUT', path: '/v1/ranks/second', body: {spec}, code: 503, expectedProperties: {effect: 'none'},
			},
			{method: 'GET', path, code: 200},
		]);
	});

	it('watches from a revision: sends the newest versions, then each further change', async () => {
		await runSteps([createStep]);
		const response = await fetch(`${url}/v1/watch?since=0`, {signal: closeController.signal});
		deployment.platform.put('crocusloom/test/ranks/second', '{}');
		deployment.platform.put(storedKey, JSON.stringify({deleted: true}));
		await deployment.clock.advance(1000);
		type Line = {readonly type: string; readonly name?: string; readonly revision: number};
		const lines: Line[] = [];
		for await (const chunk of response.body!) {
			lines.push(...Buffer.from(chunk as Uint8Array).toString().trim().split('\n').map(line => JSON.parse(line) as Line));
			if (lines.some(({type, revision}) => type === 'revision' && revision === 3)) {
				break;
			}
		}

		const receivedLines = lines.map(({type, name, revision}) => name ? `${type} ${name} ${revision}` : `${type} ${revision}`);
		const initialLines = ['put first 1', 'revision 1'];
		expect(receivedLines.slice(0, 2)).to.deep.equal(initialLines);
		expect(receivedLines.filter(line => !line.startsWith('revision')).slice(1)).to.deep.equal(['invalid second 2', 'delete first 3']);
	});
});
