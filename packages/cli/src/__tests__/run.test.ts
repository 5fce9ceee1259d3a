import {expect} from 'chai';
import {systemClock} from '@crocusloom/model';
import {run} from '../run.js';

type Reply = {readonly code: number; readonly body: unknown} | 'lost';
type Case = {
	readonly guards: string;
	readonly args: readonly string[];
	readonly input?: unknown;
	readonly replies?: readonly Reply[];
	readonly exitCode: number;
	/** Expected requests as `METHOD path [If-Match]`. */
	readonly requests?: readonly string[];
	readonly output?: string;
	readonly error?: string;
};

const spec = {order: 1, targetMs: 50, floorShare: 0.1};
const rank = {
	kind: 'ranks', name: 'first', revision: 3, spec,
};
const route = {
	kind: 'routes', name: 'r', spec: {
		database: 'app', group: 'g', rank: 'first', freshness: 'session',
	},
};
const missing: Reply = {code: 404, body: {error: 'notFound', message: 'ranks/first does not exist'}};
const accepted: Reply = {code: 200, body: {...rank, acceptedRevision: 4}};
const status = {
	host: 'a', failureDomain: 'bryan', ready: true, revision: 4, platform: {reachable: false, sinceMs: 4200}, hosts: [], groups: [], holders: [], silentHosts: ['b'],
	conditions: [{
		type: 'ReplicaLag', severity: 'warning', resource: 'databaseGroups/g/db2', message: 'late', sinceMs: 900,
	}],
};

const cases: readonly Case[] = [
	{
		guards: 'a new resource that is sent with a revision', args: ['apply', '-f', 'x.json'], input: {...rank, revision: undefined}, replies: [missing, accepted], exitCode: 0,
		requests: ['GET /v1/ranks/first', 'PUT /v1/ranks/first'], output: 'ranks/first accepted at revision 4',
	},
	{
		guards: 'a change since the operator read the resource that is overwritten', args: ['apply', '-f', 'x.json'], input: {...rank, revision: 2, spec: {...spec, targetMs: 9}},
		replies: [{code: 200, body: rank}, {code: 409, body: {message: 'ranks/first is at revision 3'}}], exitCode: 1,
		requests: ['GET /v1/ranks/first', 'PUT /v1/ranks/first 2'], error: 'crocusloom: ranks/first: ranks/first is at revision 3',
	},
	{
		guards: 'a deletion since the operator read the resource that is undone', args: ['apply', '-f', 'x.json'], input: rank, replies: [missing, {code: 409, body: {message: 'gone'}}], exitCode: 1,
		requests: ['GET /v1/ranks/first', 'PUT /v1/ranks/first 3'], error: 'crocusloom: ranks/first: gone',
	},
	{
		guards: 'a replacement without the revision that was read', args: ['apply', '-f', '-'], input: {...rank, revision: undefined, spec: {...spec, targetMs: 9}},
		replies: [{code: 200, body: rank}, accepted], exitCode: 0,
		requests: ['GET /v1/ranks/first', 'PUT /v1/ranks/first 3'],
	},
	{
		guards: 'a write of what already stands', args: ['apply', '-f', 'x.json'], input: [rank], replies: [{code: 200, body: rank}], exitCode: 0, output: 'ranks/first unchanged at revision 3',
	},
	{
		guards: 'a route that is sent before what it needs', args: ['apply', '-f', 'x.json'], input: {items: [route, {...rank, revision: undefined}]},
		replies: [missing, accepted, missing, accepted], exitCode: 0,
		requests: ['GET /v1/ranks/first', 'PUT /v1/ranks/first', 'GET /v1/routes/r', 'PUT /v1/routes/r'],
	},
	{
		guards: 'a change that is applied twice after a lost answer', args: ['apply', '-f', 'x.json'], input: {...rank, revision: undefined},
		replies: [missing, 'lost', {code: 503, body: {message: 'lost', effect: 'unknown'}}, accepted], exitCode: 0,
		requests: ['GET /v1/ranks/first', 'PUT /v1/ranks/first', 'PUT /v1/ranks/first', 'PUT /v1/ranks/first'],
	},
	{
		guards: 'invalid fields that are not named', args: ['apply', '-f', 'x.json'], input: rank,
		replies: [missing, {code: 400, body: {problems: [{path: 'spec.order', message: 'too small'}]}}], exitCode: 1,
		error: 'crocusloom: ranks/first: spec.order: too small',
	},
	{
		guards: 'a bad file that reaches the server', args: ['apply', '-f', 'x.json'], input: {kind: 'x', name: 'first', spec}, exitCode: 1, requests: [],
		error: 'crocusloom: x.json: resource 1: kind: must be one of databaseGroups, routes, ranks, freshnessClasses',
	},
	{
		guards: 'a deletion without a revision', args: ['delete', 'ranks', 'first'], replies: [{code: 200, body: rank}, {code: 200, body: {revision: 5}}], exitCode: 0,
		requests: ['GET /v1/ranks/first', 'DELETE /v1/ranks/first 3'], output: 'ranks/first deleted at revision 5',
	},
	{
		guards: 'success for a resource that does not exist', args: ['get', 'ranks', 'first'], replies: [missing], exitCode: 1, error: 'crocusloom: ranks/first does not exist',
	},
	{
		guards: 'a list that a person can not read', args: ['get', 'ranks'], replies: [{code: 200, body: {items: [rank]}}],
		exitCode: 0, output: `NAME   REVISION  SPEC\nfirst  3         ${JSON.stringify(spec)}`,
	},
	{
		guards: 'an outage that looks like a refusal', args: ['promotions'], replies: ['lost'], exitCode: 2, error: 'crocusloom: http://127.0.0.1:1 does not answer: ECONNRESET',
	},
	{
		guards: 'conditions that are hidden', args: ['status'], replies: [{code: 200, body: status}], exitCode: 0, output: 'warning   ReplicaLag  databaseGroups/g/db2  900 ms  late',
	},
	{
		guards: 'JSON that is cut', args: ['status', '--output', 'json'], replies: [{code: 200, body: status}], exitCode: 0, output: JSON.stringify(status, undefined, '\t'),
	},
	{
		guards: 'a statement that is not encoded', args: ['explain', 'app', 'select 1 & 2', '--user', 'u'],
		replies: [{
			code: 200, body: {
				database: 'db1', holder: 'a', candidates: [], reason: 'near',
			},
		}], exitCode: 0,
		requests: ['GET /v1/explain?database=app&statement=select+1+%26+2&user=u'], output: 'Database db1, holder a: near',
	},
	{
		guards: 'a watch that ends without its revision', args: ['watch', '--since', '2'], replies: [{code: 200, body: {type: 'revision', revision: 7}}], exitCode: 2,
		requests: ['GET /v1/watch?since=2'], error: 'crocusloom: the watch ended; continue with --since 7',
	},
	{
		guards: 'an unknown command', args: ['remove'], exitCode: 1, error: 'crocusloom: Unknown argument: remove',
	},
	{
		guards: 'an unknown kind', args: ['get', 'things'], exitCode: 1, error: 'crocusloom: Invalid values: Argument: kind',
	},
	{
		guards: 'a server that is not a URL', args: ['status', '--server', 'nowhere'], exitCode: 1, error: 'crocusloom: nowhere is not a URL, for example http://127.0.0.1:7400',
	},
	{
		guards: 'a missing server', args: ['status', '--server', ''], exitCode: 1, error: 'crocusloom: no server is given; use --server URL or set CROCUSLOOM_SERVER',
	},
];

describe('crocusloom', () => {
	for (const {args, error, exitCode, guards, input, output, replies = [], requests} of cases) {
		it(`guards against ${guards}: ${args.join(' ')}`, async () => {
			const sent: string[] = [];
			const changeIds = new Set<string | null>();
			const printed: string[] = [];
			const errors: string[] = [];
			const pending = [...replies];
			const code = await run(args, {
				variables: {CROCUSLOOM_SERVER: 'http://127.0.0.1:1'},
				print(line) {
					printed.push(line);
				},
				printError(line) {
					errors.push(line);
				},
				readInput: async () => JSON.stringify(input),
				async fetch(given, init) {
					const url = given as URL;
					const headers = new Headers(init?.headers);
					sent.push([init?.method ?? 'GET', url.pathname + url.search, headers.get('if-match') ?? ''].join(' ').trim());
					changeIds.add(`${url.pathname} ${headers.get('change-id')}`);
					const reply = pending.shift();
					if (reply === 'lost' || !reply) {
						throw new TypeError('fetch failed', {cause: Object.assign(new Error('reset'), {code: 'ECONNRESET'})});
					}

					return new Response(`${JSON.stringify(reply.body)}\n`, {status: reply.code});
				},
				clock: {...systemClock, sleep: async (durationMs, signal) => systemClock.sleep(durationMs > 1000 ? durationMs : 0, signal)},
				signal: new AbortController().signal,
			});
			expect(code, errors.join('\n')).to.equal(exitCode);
			expect(printed.join('\n')).to.include(output ?? '');
			expect(errors.join('\n')).to.include(error ?? '');
			if (requests) {
				expect(sent).to.deep.equal(requests);
				expect(changeIds.size, 'a repeated change keeps its change id').to.equal(new Set(requests.map(line => line.split(' ').slice(0, 2).join(' '))).size);
			}
		});
	}
});
