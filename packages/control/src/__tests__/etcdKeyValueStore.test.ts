import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {json} from 'node:stream/consumers';
import {expect} from 'chai';
import {
	noopLogger, systemClock, toFailure, type Failure,
} from '@crocusloom/model';
import {EtcdKeyValueStore} from '../etcdKeyValueStore.js';
import {HttpHostList} from '../httpHostList.js';
import {seededRandom} from './fakes.js';

type Request = {readonly path: string; readonly body: Readonly<Record<string, unknown>>};
type Responder = (response: ServerResponse, request: Request) => void;

const encodeBase64 = (text: string) => Buffer.from(text).toString('base64');
const sendJson = (value: unknown): Responder => response => {
	response.end(JSON.stringify(value));
};

const sendText = (text: string): Responder => response => {
	response.end(text);
};

const sendStatus = (code: number): Responder => response => {
	response.writeHead(code).end('{}');
};

const closeConnection: Responder = response => {
	response.destroy();
};

const neverRespond: Responder = () => undefined;
const header = (revision: number) => ({revision: String(revision)});
const keyValue = (key: string, value: string, revision: number) => ({key: encodeBase64(key), value: encodeBase64(value), mod_revision: String(revision)});

/** Call timeout for a server that never responds. Tests whose server responds use the default timeout, so that they pass on a busy machine. */
const shortCallTimeoutMs = 100;

describe('EtcdKeyValueStore', () => {
	let server: Server;
	const responders: Responder[] = [];
	const requests: Request[] = [];
	/** Connections on which the server answers nothing any more. */
	const deadSockets = new Set<Socket>();
	const openSockets = new Set<Socket>();
	let abortController: AbortController;
	let url: string;

	beforeEach(async () => {
		responders.length = 0;
		requests.length = 0;
		deadSockets.clear();
		openSockets.clear();
		abortController = new AbortController();
		const handle = async (message: IncomingMessage, response: ServerResponse) => {
			const request = {path: message.url!, body: message.method === 'POST' ? await json(message) as Request['body'] : {}};
			openSockets.add(message.socket);
			if (deadSockets.has(message.socket)) {
				return;
			}

			requests.push(request);
			(responders.shift() ?? sendStatus(500))(response, request);
		};

		server = createServer((message, response) => {
			void handle(message, response);
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
	});

	afterEach(() => {
		abortController.abort();
		server.closeAllConnections();
		server.close();
	});

	const signal = () => abortController.signal;
	const createStore = (callTimeoutMs?: number) => new EtcdKeyValueStore({
		url, clock: systemClock, random: seededRandom(1), callTimeoutMs,
	});

	async function failureOf(call: Promise<unknown>): Promise<Failure> {
		try {
			await call;
		} catch (error) {
			return toFailure(error, message => ({
				kind: 'unknown', step: 'platform', peer: '', message,
			}));
		}

		throw new Error('the call did not fail');
	}

	it('lists the entries under a prefix with the revision of the store', async () => {
		responders.push(sendJson({header: header(9), kvs: [keyValue('p/a', 'ä', 4)]}));
		expect(await createStore().list('p/', signal())).to.deep.equal({revision: 9, entries: [{key: 'p/a', value: 'ä', modRevision: 4}]});
		expect(requests[0]).to.deep.equal({path: '/v3/kv/range', body: {key: encodeBase64('p/'), range_end: encodeBase64('p0')}});
	});

	it('receives a list for longer than its timeout (guards against snapshots that are given up while they arrive)', async () => {
		const parts = ['{"header":', '{"revision":', '"9"}', ',"kvs":', '[]', '}'];
		const partIntervalMs = 250;
		const callTimeoutMs = 1000;
		responders.push(response => {
			for (const [index, part] of parts.entries()) {
				setTimeout(() => {
					response.write(part);
					if (index === parts.length - 1) {
						response.end();
					}
				}, (index + 1) * partIntervalMs);
			}
		});
		expect(await createStore(callTimeoutMs).list('p/', signal())).to.deep.equal({revision: 9, entries: []});
	});

	it('handles a missing key and responses that omit fields with default values', async () => {
		responders.push(sendJson({header: header(9)}), sendJson({header: header(9)}));
		expect(await createStore().get('k', signal())).to.deep.equal({revision: 9, entry: undefined});
		expect(await createStore().compareAndSwap('k', 3, 'v', signal())).to.deep.equal({succeeded: false, revision: 9, current: undefined});
	});

	it('writes only at the expected revision of the key, and returns the current entry otherwise', async () => {
		responders.push(
			sendJson({header: header(10), succeeded: true}),
			sendJson({header: header(10), responses: [{response_range: {kvs: [keyValue('k', 'w', 8)]}}]}),
		);
		const store = createStore();
		expect(await store.compareAndSwap('k', 7, 'v', signal())).to.deep.equal({succeeded: true, revision: 10});
		expect(requests[0]!.body).to.deep.include({success: [{request_put: {key: encodeBase64('k'), value: encodeBase64('v')}}]});
		expect(requests[0]!.body.compare).to.deep.equal([{
			key: encodeBase64('k'), target: 'MOD', result: 'EQUAL', mod_revision: '7',
		}]);
		expect(await store.compareAndSwap('k', 7, undefined, signal())).to.deep.equal({succeeded: false, revision: 10, current: {key: 'k', value: 'w', modRevision: 8}});
		expect(requests[1]!.body).to.deep.include({success: [{request_delete_range: {key: encodeBase64('k')}}]});
	});

	const faults: ReadonlyArray<{readonly name: string; readonly responder: Responder; readonly writeEffect: 'none' | 'unknown'; readonly callTimeoutMs?: number}> = [
		{name: 'connection closed after the request', responder: closeConnection, writeEffect: 'unknown'},
		{name: 'server error', responder: sendStatus(503), writeEffect: 'unknown'},
		{name: 'client error', responder: sendStatus(429), writeEffect: 'none'},
		{
			name: 'no response within the timeout', responder: neverRespond, writeEffect: 'unknown', callTimeoutMs: shortCallTimeoutMs,
		},
		{name: 'response that is not JSON', responder: sendText('<html>'), writeEffect: 'unknown'},
	];
	for (const {responder, callTimeoutMs, name, writeEffect} of faults) {
		it(`guards against a write of unknown effect that is reported as without effect, and against reads reported with an effect: ${name}`, async () => {
			responders.push(responder, responder);
			const store = createStore(callTimeoutMs);
			expect(await failureOf(store.compareAndSwap('k', 0, 'v', signal()))).to.include({kind: 'platform', effect: writeEffect});
			expect(await failureOf(store.list('k', signal()))).to.include({kind: 'platform', effect: 'none'});
		});
	}

	it('reports a write over a refused connection as without effect', async () => {
		server.close();
		expect(await failureOf(createStore().compareAndSwap('k', 0, 'v', signal()))).to.include({kind: 'platform', effect: 'none'});
	});

	it('resumes a broken watch from the next revision, also if a chunk ends within a line', async () => {
		const line = (revision: number, events: readonly unknown[]) => `${JSON.stringify({result: {header: header(revision), events}})}\n`;
		responders.push(response => {
			response.write(`${JSON.stringify({result: {header: header(6), created: true}})}\n`);
			const text = line(5, [{kv: keyValue('p/a', 'ä', 5)}]);
			const bytes = Buffer.from(text);
			response.write(bytes.subarray(0, 30));
			setImmediate(() => {
				response.end(bytes.subarray(30));
			});
		}, response => {
			response.write(`${JSON.stringify({result: {header: header(6), created: true}})}\n${line(6, [{type: 'DELETE', kv: keyValue('p/a', '', 6)}])}`);
		});
		const batches: unknown[] = [];
		for await (const batch of createStore().watch('p/', 5, signal())) {
			batches.push(...batch.events);
			if (batch.revision === 6) {
				break;
			}
		}

		expect(batches).to.deep.equal([{type: 'put', entry: {key: 'p/a', value: 'ä', modRevision: 5}}, {type: 'delete', key: 'p/a', modRevision: 6}]);
		expect(requests.map(({body}) => (body.create_request as {readonly start_revision: string}).start_revision)).to.deep.equal(['5', '6']);
	});

	it('confirms a watch with the revision of the store (guards against withheld events that nobody can notice)', async () => {
		responders.push(response => {
			response.write(`${JSON.stringify({result: {header: header(9), created: true}})}\n`);
		});
		const confirmation = await createStore().watch('p/', 5, signal()).next();
		expect(confirmation.value).to.deep.equal({revision: 4, events: [], storeRevision: 9});
	});

	const watchEnds: ReadonlyArray<{readonly name: string; readonly responder: Responder; readonly attempts: number; readonly callTimeoutMs?: number}> = [
		{name: 'a server that returns errors', responder: sendStatus(500), attempts: 3},
		{
			name: 'a server that accepts connections and never responds', responder: neverRespond, attempts: 3, callTimeoutMs: shortCallTimeoutMs,
		},
		{name: 'a compacted revision', responder: sendJson({result: {header: header(9), canceled: true, compact_revision: '8'}}), attempts: 1},
	];
	for (const {responder, attempts, callTimeoutMs, name} of watchEnds) {
		it(`guards against a watch that retries without end: ${name}`, async () => {
			responders.push(responder, responder, responder, responder);
			const drain = async () => {
				for await (const batch of createStore(callTimeoutMs).watch('p/', 5, signal())) {
					expect(batch.events).to.deep.equal([]);
				}
			};

			expect(await failureOf(drain())).to.include({kind: 'platform', effect: 'none'});
			expect(requests).to.have.length(attempts);
		});
	}

	const deadConnectionCases: ReadonlyArray<{readonly name: string; readonly responder: Responder; readonly call: () => Promise<unknown>}> = [
		{name: 'a snapshot', responder: sendJson({header: header(9)}), call: async () => createStore().list('p/', signal())},
		{
			name: 'a watch',
			responder(response) {
				response.write(`${JSON.stringify({result: {header: header(9), created: true}})}\n`);
			},
			call: async () => new EtcdKeyValueStore({
				url, clock: systemClock, random: seededRandom(1), maximumConsecutiveWatchFailures: 1,
			}).watch('p/', 5, signal()).next(),
		},
		{name: 'the host list', responder: sendJson([]), call: async () => new HttpHostList({url, clock: systemClock, log: noopLogger}).list(signal())},
	];
	for (const {name, responder, call} of deadConnectionCases) {
		it(`guards against ${name} that is sent over a connection that died while it was idle`, async () => {
			const idleConnections = 3;
			responders.push(...Array.from({length: idleConnections}, () => sendJson({header: header(9)})), responder);
			await Promise.all(Array.from({length: idleConnections}, async () => createStore().list('p/', signal())));
			for (const socket of openSockets) {
				deadSockets.add(socket);
			}

			await call();
			expect(requests).to.have.length(idleConnections + 1);
		});
	}

	it('reads the host list, leaves out odd entries, and rejects a response that is no list (guards against an odd entry that hides all hosts)', async () => {
		const host = {
			host: 'a', kind: 'entry', failureDomain: 'bryan', address: '127.0.0.1', port: 1, state: 'live',
		};
		const deepEntry: unknown[] = [];
		let innermost = deepEntry;
		for (let depth = 0; depth < 2000; depth++) {
			const inner: unknown[] = [];
			innermost.push(inner);
			innermost = inner;
		}

		const oddEntries = [null, 7, 'x', [], {}, deepEntry, {...host, state: 'odd'}, {...host, port: 70_000}, {...host, port: 0}, {...host, port: 2 ** 60}, {...host, address: deepEntry}];
		responders.push(sendJson([host]), sendJson({hosts: [host]}), sendJson([...oddEntries, host]), sendJson({hosts: {}}));
		const list = new HttpHostList({url, clock: systemClock, log: noopLogger});
		expect(await list.list(signal())).to.deep.equal([host]);
		expect(await list.list(signal())).to.deep.equal([host]);
		expect(await list.list(signal())).to.deep.equal([host]);
		expect(await failureOf(list.list(signal()))).to.include({kind: 'platform', effect: 'none'});
	});
});
