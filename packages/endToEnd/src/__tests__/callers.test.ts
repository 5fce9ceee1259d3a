import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {createServer, type IncomingMessage} from 'node:http';
import {type AddressInfo, connect} from 'node:net';
import {assert} from 'chai';
import pg from 'pg';
import {CallerSession} from '../callerSession.js';
import {databaseGroup, FaultCluster} from '../faultCluster.js';
import {pollUntil} from '../poll.js';

const startup = (body: Buffer): Buffer => {
	const head = Buffer.alloc(8);
	head.writeInt32BE(body.length + 8, 0);
	head.writeInt32BE(196_608, 4);
	return Buffer.concat([head, body]);
};

const oversizedStartup = Buffer.alloc(8);
oversizedStartup.writeInt32BE(2 ** 30, 0);

const wrongBytes = [
	{name: 'HTTP', bytes: Buffer.from('GET / HTTP/1.1\r\nhost: a\r\n\r\n')},
	{name: 'an oversized frame', bytes: oversizedStartup},
	{name: 'a startup without end', bytes: startup(Buffer.from('user\0demo'))},
] as const;

const login = {user: 'demo', password: 'demo', database: databaseGroup} as const;
const wrongLogins = [
	{name: 'a wrong password', change: {password: 'wrong'}, sqlState: '28P01'},
	{name: 'an unknown database', change: {database: 'none'}, sqlState: '3D000'},
	{name: 'a bad startup option', change: {options: '-x'}, sqlState: '08P01'},
] as const;

const idleCallerCount = 2000;
/** Limit of the memory that one idle caller may add, in bytes. */
const bytesPerIdleCaller = 100_000;

describe('callers of real processes', () => {
	const faults = new FaultCluster();
	before(async () => faults.start());
	after(async () => faults.stop());

	const serves = async (index = 0) => {
		const session = new CallerSession(faults.sessionOptions);
		await session.connect(faults.callers[index]!);
		await session.query('select 1 as one');
		session.close();
	};

	for (const {name, bytes} of wrongBytes) {
		it(`closes the connection on ${name} (guards against a process that ends or holds it)`, async () => {
			const {host, port} = faults.callers[0]!;
			const socket = connect({host, port});
			socket.on('error', () => undefined);
			socket.write(bytes);
			socket.resume();
			await once(socket, 'close');
			await serves();
		});
	}

	for (const {name, change, sqlState} of wrongLogins) {
		it(`refuses ${name} with ${sqlState} (guards against work without a right login)`, async () => {
			const {host, port} = faults.callers[0]!;
			const client = new pg.Client({
				...login, host, port, ...change,
			});
			client.on('error', () => undefined);
			const code = await client.connect().then(() => 'none', (error: unknown) => (error as {readonly code?: string}).code);
			await client.end();
			assert.equal(code, sqlState);
			await serves();
		});
	}

	it('keeps 2,000 idle callers (guards against unbounded memory and harm to other callers)', async () => {
		const proxy = faults.proxies.find(({name}) => name === faults.callers[0]!.name)!;
		const before = residentBytes(proxy.pid);
		const load = await faults.startLoad(31);
		const idle = Array.from({length: idleCallerCount}, () => new CallerSession(faults.sessionOptions));
		for (let index = 0; index < idle.length; index += 100) {
			await Promise.all(idle.slice(index, index + 100).map(async session => session.connect(faults.callers[0]!)));
		}

		await load.untilServed(40);
		const added = residentBytes(proxy.pid) - before;
		const connected = idle.filter(({isConnected}) => isConnected).length;
		for (const session of idle) {
			session.close();
		}

		assert.deepEqual(await load.finish(), []);
		assert.equal(connected, idleCallerCount);
		assert.isBelow(added, idleCallerCount * bytesPerIdleCaller);
	});

	it('gives the spans of both hops one trace id (guards against traces that break between processes)', async () => {
		const spans: Span[] = [];
		const receiver = createServer((incoming, response) => {
			void readSpans(incoming).then(received => {
				spans.push(...received);
				response.end('{}');
			});
		});
		receiver.listen(0, '127.0.0.1');
		await once(receiver, 'listening');
		const {port} = receiver.address() as AddressInfo;
		for (const {name} of faults.proxies) {
			await faults.addSettings(name, `\n[traces]\notlpUrl=http://127.0.0.1:${port}/${name}/v1/traces\nsampleRatio=1\n`);
			await faults.cluster.kill(name);
			await faults.cluster.restart(name);
		}

		try {
			await pollUntil('one trace of two processes', async () => {
				await serves(0);
				await serves(1);
				await serves(2);
				const namesOf = (traceId: string) => new Set(spans.filter(span => span.traceId === traceId).map(({source}) => source));
				return spans.some(({traceId}) => namesOf(traceId).size > 1);
			}, 20_000);
		} finally {
			receiver.closeAllConnections();
			receiver.close();
		}
	});
});

/** A span and the path at which its process sent it. */
type Span = {readonly traceId: string; readonly name: string; readonly source: string};
type OtlpBody = {readonly resourceSpans: ReadonlyArray<{readonly scopeSpans: ReadonlyArray<{readonly spans: ReadonlyArray<{readonly traceId: string; readonly name: string}>}>}>};

async function readSpans(incoming: IncomingMessage): Promise<readonly Span[]> {
	const chunks: Buffer[] = [];
	for await (const chunk of incoming as AsyncIterable<Buffer>) {
		chunks.push(chunk);
	}

	const body = JSON.parse(Buffer.concat(chunks).toString()) as OtlpBody;
	const source = incoming.url ?? '';
	return body.resourceSpans.flatMap(({scopeSpans}) => scopeSpans.flatMap(({spans}) => spans.map(({traceId, name}) => ({traceId, name, source}))));
}

function residentBytes(pid: number): number {
	return Number(/VmRSS:\s+(?<kib>\d+)/v.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))!.groups!.kib) * 1024;
}
