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
const held: HolderStats = {
	group: 'g', database: 'db1', openConnections: 9, connectionLimit: 10, busySlots: 1, slotLimit: 3, ranks: [],
};

type Answer = {readonly code: number; readonly body: Readonly<Record<string, unknown>>; readonly headers: Headers};

describe('startResourceApi', () => {
	let deployment: FakeDeployment;
	let host: FakeHost;
	let url: string;
	let abort: AbortController;

	beforeEach(async () => {
		deployment = new FakeDeployment();
		host = deployment.start('a');
		await deployment.clock.until(host.started);
		abort = new AbortController();
		const peers = deployment.network.peersOf('api');
		const {port} = await startResourceApi({
			address: '127.0.0.1',
			port: 0,
			store: host.store,
			membership: deployment.membershipOf('a'),
			directory,
			dispatcher: {holderStats: () => [held]},
			peers,
			clock: systemClock,
			log: noopLogger,
			explain: request => ({reason: 'test', request}),
			metrics: async () => ({contentType: 'text/plain', body: 'requests 1\n'}),
		}, abort.signal);
		url = `http://127.0.0.1:${port}`;
	});

	afterEach(() => {
		abort.abort();
		deployment.stopAll();
	});

	async function request(method: string, path: string, body?: unknown, headers: Readonly<Record<string, string>> = {}): Promise<Answer> {
		const contentType: Readonly<Record<string, string>> = body === undefined ? {} : {'content-type': 'application/json'};
		const response = await deployment.clock.until(fetch(url + path, {method, body: body === undefined ? undefined : JSON.stringify(body), headers: {...contentType, ...headers}}));
		const text = await response.text();
		const isJson = response.headers.get('content-type')?.startsWith('application/json');
		return {code: response.status, body: isJson ? JSON.parse(text) as Answer['body'] : {text}, headers: response.headers};
	}

	type Step = {
		readonly method: string;
		readonly path: string;
		readonly body?: unknown;
		readonly headers?: Readonly<Record<string, string>>;
		readonly code: number;
		readonly has?: Readonly<Record<string, unknown>>;
	};
	const path = '/v1/ranks/first';
	const create: Step = {
		method: 'PUT', path, body: {spec}, code: 201,
	};
	const cases: ReadonlyArray<{readonly name: string; readonly steps: readonly Step[]}> = [
		{
			name: 'creates, reads and lists', steps: [
				create,
				{
					method: 'GET', path, code: 200, has: {revision: 1, 'spec.floorShare': 0.1, 'status.conditions': []},
				},
				{
					method: 'GET', path: '/v1/ranks', code: 200, has: {revision: 1, 'items[0].name': 'first'},
				},
			],
		},
		{
			name: 'creates once by POST', steps: [
				{
					method: 'POST', path: '/v1/ranks', body: {name: 'first', spec}, code: 201,
				},
				{
					method: 'POST', path: '/v1/ranks', body: {name: 'first', spec}, code: 409, has: {'current.revision': 1},
				},
			],
		},
		{
			name: 'replaces by revision, and a stale one gets the current resource', steps: [
				create,
				{
					method: 'PUT', path, body: {spec: {...spec, floorShare: 0.2}}, headers: {'if-match': '"1"'}, code: 200, has: {revision: 2},
				},
				{
					method: 'PUT', path, body: {spec}, headers: {'if-match': '1'}, code: 409, has: {currentRevision: 2, 'current.spec.floorShare': 0.2},
				},
			],
		},
		{
			name: 'deletes by revision only', steps: [
				create,
				{
					method: 'DELETE', path, code: 400, has: {'problems[0].path': 'If-Match'},
				},
				{
					method: 'DELETE', path, headers: {'if-match': '1'}, code: 200, has: {deleted: true, revision: 2},
				},
				{method: 'GET', path, code: 404},
			],
		},
		{
			name: 'applies a repeated change id once', steps: [
				{...create, headers: {'change-id': 'c1'}},
				{...create, headers: {'change-id': 'c1'}, has: {acceptedRevision: 1}},
			],
		},
		{
			name: 'names each invalid field', steps: [
				{
					method: 'PUT', path, body: {spec: {...spec, order: 0, other: 1}}, code: 400, has: {'problems[0].path': 'spec.order'},
				},
				{
					method: 'PUT', path, body: {name: 'second', spec}, code: 400, has: {'problems[0].path': 'name'},
				},
				{
					method: 'GET', path: '/v1/explain?database=app', code: 400, has: {'problems[0].path': 'statement'},
				},
				{
					method: 'GET', path: '/v1/watch?since=x', code: 400, has: {'problems[0].path': 'since'},
				},
				{method: 'GET', path: '/v1/unknown', code: 404},
			],
		},
		{
			name: 'answers reports', steps: [
				{
					method: 'GET', path: '/v1/status', code: 200, has: {
						host: 'a', ready: true, 'platform.reachable': true, 'conditions[0].type': 'ConnectionsNearLimit', 'holders[0].host': 'a',
					},
				},
				{
					method: 'GET', path: '/v1/promotions', code: 200, has: {'items[0].term': 2},
				},
				{
					method: 'GET', path: '/v1/explain?database=app&statement=select%201&user=u', code: 200, has: {'request.statement': 'select 1', 'request.user': 'u'},
				},
				{
					method: 'GET', path: '/metrics', code: 200, has: {text: 'requests 1\n'},
				},
			],
		},
	];
	for (const {name, steps} of cases) {
		it(name, async () => {
			await run(steps);
		});
	}

	async function run(steps: readonly Step[]): Promise<void> {
		for (const step of steps) {
			const answer = await request(step.method, step.path, step.body, step.headers);
			expect(answer.code, `${step.method} ${step.path} ${JSON.stringify(answer.body)}`).to.equal(step.code);
			for (const [property, value] of Object.entries(step.has ?? {})) {
				expect(answer.body).to.have.deep.nested.property(property, value);
			}
		}
	}

	it('refuses changes with 503 and the effect while the platform is down, and still answers reads', async () => {
		await run([create]);
		deployment.platform.setDown(true);
		await run([
			{
				method: 'PUT', path: '/v1/ranks/second', body: {spec}, code: 503, has: {effect: 'none'},
			},
			{method: 'GET', path, code: 200},
		]);
	});

	it('watches from a revision: the newest versions, then changes as they come', async () => {
		await run([create]);
		const response = await fetch(`${url}/v1/watch?since=0`, {signal: abort.signal});
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

		const seen = lines.map(({type, name, revision}) => name ? `${type} ${name} ${revision}` : `${type} ${revision}`);
		const first = ['put first 1', 'revision 1'];
		expect(seen.slice(0, 2)).to.deep.equal(first);
		expect(seen.filter(line => !line.startsWith('revision')).slice(1)).to.deep.equal(['invalid second 2', 'delete first 3']);
	});
});
