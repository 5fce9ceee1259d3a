import {expect} from 'chai';
import {systemClock} from '@crocusloom/model';
import {run} from '../run.js';

/** Response of the stubbed API; `lost` stands for a connection that is reset. */
type StubResponse = {readonly status: number; readonly body: unknown} | 'lost';
type Case = {
	/** Failure that the case guards against, for the test title. */
	readonly guards: string;
	readonly args: readonly string[];
	readonly input?: unknown;
	readonly responses?: readonly StubResponse[];
	readonly exitCode: number;
	/** Expected requests, each as `METHOD path [If-Match]`. */
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
const notFoundResponse: StubResponse = {status: 404, body: {error: 'notFound', message: 'ranks/first does not exist'}};
const acceptedResponse: StubResponse = {status: 200, body: {...rank, acceptedRevision: 4}};
const statusReport = {
	host: 'a', failureDomain: 'bryan', ready: true, revision: 4, platform: {reachable: false, sinceMs: 4200}, hosts: [], groups: [], holders: [], silentHosts: ['b'],
	conditions: [{
		type: 'ReplicaLag', severity: 'warning', resource: 'databaseGroups/g/db2', message: 'late', sinceMs: 900,
	}],
};

const cases: readonly Case[] = [
	{
		guards: 'a new resource sent with a revision', args: ['apply', '-f', 'x.json'], input: {...rank, revision: undefined}, responses: [notFoundResponse, acceptedResponse], exitCode: 0,
		requests: ['GET /v1/ranks/first', 'PUT /v1/ranks/first'], output: 'ranks/first accepted at revision 4',
	},
	{
		guards: 'overwriting a change made after the operator read the resource', args: ['apply', '-f', 'x.json'], input: {...rank, revision: 2, spec: {...spec, targetMs: 9}},
		responses: [{status: 200, body: rank}, {status: 409, body: {message: 'ranks/first is at revision 3'}}], exitCode: 1,
		requests: ['GET /v1/ranks/first', 'PUT /v1/ranks/first 2'], error: 'crocusloom: ranks/first: ranks/first is at revision 3',
	},
	{
		guards: 'recreating a resource deleted after the operator read it', args: ['apply', '-f', 'x.json'], input: rank,
		responses: [notFoundResponse, {status: 409, body: {message: 'gone'}}], exitCode: 1,
		requests: ['GET /v1/ranks/first', 'PUT /v1/ranks/first 3'], error: 'crocusloom: ranks/first: gone',
	},
	{
		guards: 'a replacement sent without the revision that was read', args: ['apply', '-f', '-'], input: {...rank, revision: undefined, spec: {...spec, targetMs: 9}},
		responses: [{status: 200, body: rank}, acceptedResponse], exitCode: 0,
		requests: ['GET /v1/ranks/first', 'PUT /v1/ranks/first 3'],
	},
	{
		guards: 'a write of an unchanged resource', args: ['apply', '-f', 'x.json'], input: [rank], responses: [{status: 200, body: rank}], exitCode: 0, output: 'ranks/first unchanged at revision 3',
	},
	{
		guards: 'a route sent before the resources it refers to', args: ['apply', '-f', 'x.json'], input: {items: [route, {...rank, revision: undefined}]},
		responses: [notFoundResponse, acceptedResponse, notFoundResponse, acceptedResponse], exitCode: 0,
		requests: ['GET /v1/ranks/first', 'PUT /v1/ranks/first', 'GET /v1/routes/r', 'PUT /v1/routes/r'],
	},
	{
		guards: 'a change applied twice after a lost response', args: ['apply', '-f', 'x.json'], input: {...rank, revision: undefined},
		responses: [notFoundResponse, 'lost', {status: 503, body: {message: 'lost', effect: 'unknown'}}, acceptedResponse], exitCode: 0,
		requests: ['GET /v1/ranks/first', 'PUT /v1/ranks/first', 'PUT /v1/ranks/first', 'PUT /v1/ranks/first'],
	},
	{
		guards: 'an error that does not name the invalid fields', args: ['apply', '-f', 'x.json'], input: rank,
		responses: [notFoundResponse, {status: 400, body: {problems: [{path: 'spec.order', message: 'too small'}]}}], exitCode: 1,
		error: 'crocusloom: ranks/first: spec.order: too small',
	},
	{
		guards: 'an invalid file sent to the server', args: ['apply', '-f', 'x.json'], input: {kind: 'x', name: 'first', spec}, exitCode: 1, requests: [],
		error: 'crocusloom: x.json: resource 1: kind: must be one of databaseGroups, routes, ranks, freshnessClasses',
	},
	{
		guards: 'a deletion sent without a revision', args: ['delete', 'ranks', 'first'], responses: [{status: 200, body: rank}, {status: 200, body: {revision: 5}}], exitCode: 0,
		requests: ['GET /v1/ranks/first', 'DELETE /v1/ranks/first 3'], output: 'ranks/first deleted at revision 5',
	},
	{
		guards: 'success reported for a resource that does not exist', args: ['get', 'ranks', 'first'], responses: [notFoundResponse], exitCode: 1, error: 'crocusloom: ranks/first does not exist',
	},
	{
		guards: 'a list not printed as a table', args: ['get', 'ranks'], responses: [{status: 200, body: {items: [rank]}}],
		exitCode: 0, output: `NAME   REVISION  SPEC\nfirst  3         ${JSON.stringify(spec)}`,
	},
	{
		guards: 'an outage reported as a refusal', args: ['promotions'], responses: ['lost'], exitCode: 2, error: 'crocusloom: http://127.0.0.1:1 does not answer: ECONNRESET',
	},
	{
		guards: 'conditions missing from the status report', args: ['status'], responses: [{status: 200, body: statusReport}], exitCode: 0,
		output: 'warning   ReplicaLag  databaseGroups/g/db2  900 ms  late',
	},
	{
		guards: 'JSON output that lacks fields', args: ['status', '--output', 'json'], responses: [{status: 200, body: statusReport}], exitCode: 0,
		output: JSON.stringify(statusReport, undefined, '\t'),
	},
	{
		guards: 'a statement sent without URL encoding', args: ['explain', 'app', 'select 1 & 2', '--user', 'u'],
		responses: [{
			status: 200, body: {
				database: 'db1', holder: 'a', candidates: [], reason: 'near',
			},
		}], exitCode: 0,
		requests: ['GET /v1/explain?database=app&statement=select+1+%26+2&user=u'], output: 'Database db1, holder a: near',
	},
	{
		guards: 'a watch that ends without naming the revision to continue from', args: ['watch', '--since', '2'], responses: [{status: 200, body: {type: 'revision', revision: 7}}], exitCode: 2,
		requests: ['GET /v1/watch?since=2'], error: 'crocusloom: the watch ended; continue with --since 7',
	},
	{
		guards: 'an unknown command being accepted', args: ['remove'], exitCode: 1, error: 'crocusloom: Unknown argument: remove',
	},
	{
		guards: 'an unknown kind being accepted', args: ['get', 'things'], exitCode: 1, error: 'crocusloom: Invalid values: Argument: kind',
	},
	{
		guards: 'an unclear error for a server that is not a URL', args: ['status', '--server', 'nowhere'], exitCode: 1, error: 'crocusloom: nowhere is not a URL, for example http://127.0.0.1:7400',
	},
	{
		guards: 'an unclear error for a missing server', args: ['status', '--server', ''], exitCode: 1, error: 'crocusloom: no server is given; use --server URL or set CROCUSLOOM_SERVER',
	},
];

describe('crocusloom', () => {
	for (const {args, error, exitCode, guards, input, output, responses = [], requests} of cases) {
		it(`guards against ${guards}: ${args.join(' ')}`, async () => {
			const sentRequests: string[] = [];
			const changeIds = new Set<string | null>();
			const outputLines: string[] = [];
			const errorLines: string[] = [];
			const pendingResponses = [...responses];
			const actualExitCode = await run(args, {
				environmentVariables: {CROCUSLOOM_SERVER: 'http://127.0.0.1:1'},
				print(line) {
					outputLines.push(line);
				},
				printError(line) {
					errorLines.push(line);
				},
				readInput: async () => JSON.stringify(input),
				async fetch(requestUrl, init) {
					const url = requestUrl as URL;
					const headers = new Headers(init?.headers);
					sentRequests.push([init?.method ?? 'GET', url.pathname + url.search, headers.get('if-match') ?? ''].join(' ').trim());
					changeIds.add(`${url.pathname} ${headers.get('change-id')}`);
					const response = pendingResponses.shift();
					if (response === 'lost' || !response) {
						throw new TypeError('fetch failed', {cause: Object.assign(new Error('reset'), {code: 'ECONNRESET'})});
					}

					return new Response(`${JSON.stringify(response.body)}\n`, {status: response.status});
				},
				clock: {...systemClock, sleep: async (durationMs, signal) => systemClock.sleep(durationMs > 1000 ? durationMs : 0, signal)},
				signal: new AbortController().signal,
			});
			expect(actualExitCode, errorLines.join('\n')).to.equal(exitCode);
			expect(outputLines.join('\n')).to.include(output ?? '');
			expect(errorLines.join('\n')).to.include(error ?? '');
			if (requests) {
				expect(sentRequests).to.deep.equal(requests);
				expect(changeIds.size, 'a repeated change keeps its change id').to.equal(new Set(requests.map(line => line.split(' ').slice(0, 2).join(' '))).size);
			}
		});
	}
});
