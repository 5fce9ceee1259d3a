import {assert} from 'chai';
import {Platform} from '../platform.js';

type Json = Readonly<Record<string, unknown>>;

function decode(encoded: string): string {
	return Buffer.from(encoded, 'base64').toString();
}

function base64(text: string): string {
	return Buffer.from(text).toString('base64');
}

async function post(platform: Platform, path: string, body: Json): Promise<{readonly status: number; readonly body: Json}> {
	const response = await fetch(`${platform.url}${path}`, {method: 'POST', body: JSON.stringify(body)});
	return {status: response.status, body: await response.json() as Json};
}

async function put(platform: Platform, key: string, value: string): Promise<void> {
	const {status} = await post(platform, '/v3/kv/put', {key: base64(key), value: base64(value)});
	assert.equal(status, 200);
}

/** Reads a watch until it has received `count` events; returns each as `type key value`. */
async function readEvents(response: Response, count: number): Promise<readonly string[]> {
	const events: string[] = [];
	const decoder = new TextDecoder();
	let buffered = '';
	for await (const chunk of response.body as unknown as AsyncIterable<Uint8Array>) {
		buffered += decoder.decode(chunk, {stream: true});
		const lines = buffered.split('\n');
		buffered = lines.pop()!;
		events.push(...lines.flatMap(line => eventsOf(line)));
		if (events.length >= count) {
			return events;
		}
	}

	return events;
}

function eventsOf(line: string): readonly string[] {
	const {result} = JSON.parse(line) as {readonly result: {readonly events?: ReadonlyArray<{readonly type?: string; readonly kv: {readonly key: string; readonly value?: string}}>}};
	return (result.events ?? []).map(({type = 'PUT', kv}) => `${type} ${decode(kv.key)} ${decode(kv.value ?? '')}`.trim());
}

describe('platform', () => {
	const fixture: {platform: Platform} = {platform: new Platform()};

	beforeEach(async () => {
		fixture.platform = new Platform({controlPort: 0});
		await fixture.platform.start();
		await put(fixture.platform, 'a/1', 'one');
		await put(fixture.platform, 'a/2', 'two');
		await put(fixture.platform, 'b/1', 'three');
	});
	afterEach(async () => fixture.platform.stop());

	it('guards against a prefix range that misses keys or includes keys without the prefix', async () => {
		const {body} = await post(fixture.platform, '/v3/kv/range', {key: base64('a/'), range_end: base64('a0')});
		const keys = (body.kvs as ReadonlyArray<{readonly key: string; readonly mod_revision: string}>).map(({key, mod_revision: revision}) => `${decode(key)}@${revision}`);
		assert.deepEqual(keys, ['a/1@2', 'a/2@3']);
		assert.equal((body.header as {readonly revision: string}).revision, '4');
	});

	const compareCases: ReadonlyArray<{readonly compare: Json; readonly succeeded: boolean; readonly guards: string}> = [
		{compare: {target: 'MOD', mod_revision: '2'}, succeeded: true, guards: 'a rejected swap at the current revision'},
		{compare: {target: 'MOD', mod_revision: '3'}, succeeded: false, guards: 'a swap at an outdated revision'},
		{compare: {target: 'CREATE', create_revision: '0'}, succeeded: false, guards: 'creating a key that already exists'},
		{compare: {target: 'VERSION', version: '0', key: base64('new')}, succeeded: true, guards: 'a missing key with a version other than 0'},
		{compare: {target: 'VERSION', result: 'GREATER', version: '1'}, succeeded: false, guards: 'GREATER being evaluated as EQUAL'},
	];
	for (const {compare, succeeded, guards} of compareCases) {
		it(`${JSON.stringify(compare)} guards against ${guards}`, async () => {
			const {body} = await post(fixture.platform, '/v3/kv/txn', {
				compare: [{key: base64('a/1'), result: 'EQUAL', ...compare}],
				success: [{request_put: {key: base64('a/1'), value: base64('swapped')}}],
				failure: [{request_range: {key: base64('a/1')}}],
			});
			assert.equal(body.succeeded, succeeded);
			assert.equal(fixture.platform.store.get('a/1')!.value, succeeded ? 'swapped' : 'one');
			assert.equal(fixture.platform.store.revision, succeeded ? 5 : 4);
		});
	}

	it('guards against a watch that misses or repeats events from its start revision on', async () => {
		const controller = new AbortController();
		const response = await fetch(`${fixture.platform.url}/v3/watch`, {
			method: 'POST', signal: controller.signal, body: JSON.stringify({create_request: {key: base64('a/'), range_end: base64('a0'), start_revision: '3'}}),
		});
		await put(fixture.platform, 'b/2', 'other');
		await put(fixture.platform, 'a/1', 'new');
		await post(fixture.platform, '/v3/kv/deleterange', {key: base64('a/2')});
		assert.deepEqual(await readEvents(response, 3), ['PUT a/2 two', 'PUT a/1 new', 'DELETE a/2']);
		controller.abort();
	});

	it('guards against a lost response to a write that was not applied', async () => {
		fixture.platform.setFaults({loseAnswers: 1});
		const hasFailed = await post(fixture.platform, '/v3/kv/put', {key: base64('a/1'), value: base64('late')}).then(() => false, () => true);
		assert.isTrue(hasFailed);
		assert.equal(fixture.platform.store.get('a/1')!.value, 'late');
	});

	it('guards against serving calls beyond the rate limit', async () => {
		const rateLimited = new Platform({writesPerSecond: 1e-6, readsPerSecond: 1000});
		await rateLimited.start();
		await put(rateLimited, 'x', '1');
		const {status} = await post(rateLimited, '/v3/kv/put', {key: base64('x'), value: base64('2')});
		const read = await post(rateLimited, '/v3/kv/range', {key: base64('x')});
		await rateLimited.stop();
		assert.deepEqual([status, read.status], [429, 200]);
	});

	it('guards against accepting a value larger than 1 MiB', async () => {
		const {status} = await post(fixture.platform, '/v3/kv/put', {key: base64('big'), value: Buffer.alloc((1024 * 1024) + 1).toString('base64')});
		assert.equal(status, 400);
	});

	it('guards against keys that outlive their lease', async () => {
		const {body} = await post(fixture.platform, '/v3/lease/grant', {TTL: '60'});
		await post(fixture.platform, '/v3/kv/put', {key: base64('leased'), value: '', lease: body.ID});
		await post(fixture.platform, '/v3/lease/revoke', {ID: body.ID});
		assert.isUndefined(fixture.platform.store.get('leased'));
	});

	it('guards against a host list that ignores the configured lag', async () => {
		const host = {
			host: 'h', kind: 'entry', failureDomain: 'x', address: '127.0.0.1', port: 1, state: 'live',
		};
		const control = `http://127.0.0.1:${fixture.platform.controlPort}`;
		const fetchHosts = async () => {
			const response = await fetch(`${fixture.platform.url}/hosts`);
			return response.json();
		};

		await fetch(`${control}/faults`, {method: 'PUT', body: JSON.stringify({hostLagMs: 1_000_000})});
		await fetch(`${control}/hosts`, {method: 'PUT', body: JSON.stringify([host])});
		assert.deepEqual(await fetchHosts(), []);
		await fetch(`${control}/faults`, {method: 'PUT', body: JSON.stringify({hostLagMs: 0})});
		assert.deepEqual(await fetchHosts(), [host]);
	});
});
