import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {createServer, type IncomingMessage} from 'node:http';
import {type AddressInfo, connect} from 'node:net';
import {assert} from 'chai';
import pg from 'pg';
import {CallerSession} from '../callerSession.js';
import {databaseGroupName, FaultCluster} from '../faultCluster.js';
import {pollUntil} from '../poll.js';

const createStartupPacket = (body: Buffer): Buffer => {
	const header = Buffer.alloc(8);
	header.writeInt32BE(body.length + 8, 0);
	header.writeInt32BE(196_608, 4);
	return Buffer.concat([header, body]);
};

const oversizedStartupHeader = Buffer.alloc(8);
oversizedStartupHeader.writeInt32BE(2 ** 30, 0);

const invalidStartups = [
	{name: 'HTTP', bytes: Buffer.from('GET / HTTP/1.1\r\nhost: a\r\n\r\n')},
	{name: 'a startup packet that is too long', bytes: oversizedStartupHeader},
	{name: 'a startup packet without terminator', bytes: createStartupPacket(Buffer.from('user\0demo'))},
] as const;

const validLogin = {user: 'demo', password: 'demo', database: databaseGroupName} as const;
const invalidLogins = [
	{name: 'a wrong password', change: {password: 'wrong'}, sqlState: '28P01'},
	{name: 'an unknown database', change: {database: 'none'}, sqlState: '3D000'},
	{name: 'an invalid startup option', change: {options: '-x'}, sqlState: '08P01'},
] as const;

const idleCallerCount = 2000;
/** Resident memory that one idle caller may add to the proxy. */
const maxBytesPerIdleCaller = 100_000;

describe('callers of real processes', () => {
	const faultCluster = new FaultCluster();
	before(async () => faultCluster.start());
	after(async () => faultCluster.stop());

	const assertServesStatement = async (index = 0) => {
		const session = new CallerSession(faultCluster.sessionOptions);
		await session.connect(faultCluster.callerEndpoints[index]!);
		await session.query('select 1 as one');
		session.close();
	};

	for (const {name, bytes} of invalidStartups) {
		it(`closes the connection on ${name} (guards against a process that crashes or keeps the connection open)`, async () => {
			const {host, port} = faultCluster.callerEndpoints[0]!;
			const socket = connect({host, port});
			socket.on('error', () => undefined);
			socket.write(bytes);
			socket.resume();
			await once(socket, 'close');
			await assertServesStatement();
		});
	}

	for (const {name, change, sqlState} of invalidLogins) {
		it(`refuses ${name} with ${sqlState} (guards against work without a valid login)`, async () => {
			const {host, port} = faultCluster.callerEndpoints[0]!;
			const client = new pg.Client({
				...validLogin, host, port, ...change,
			});
			client.on('error', () => undefined);
			const code = await client.connect().then(() => 'none', (error: unknown) => (error as {readonly code?: string}).code);
			await client.end();
			assert.equal(code, sqlState);
			await assertServesStatement();
		});
	}

	it('keeps 2,000 idle callers connected (guards against unbounded memory and against idle callers that block the others)', async () => {
		const proxy = faultCluster.proxies.find(({name}) => name === faultCluster.callerEndpoints[0]!.name)!;
		const beforeBytes = residentBytes(proxy.pid);
		const loadGenerator = await faultCluster.startLoad(31);
		const idleSessions = Array.from({length: idleCallerCount}, () => new CallerSession(faultCluster.sessionOptions));
		for (let index = 0; index < idleSessions.length; index += 100) {
			await Promise.all(idleSessions.slice(index, index + 100).map(async session => session.connect(faultCluster.callerEndpoints[0]!)));
		}

		await loadGenerator.waitForAcknowledgedWrites(40);
		const addedBytes = residentBytes(proxy.pid) - beforeBytes;
		const connectedCount = idleSessions.filter(({isConnected}) => isConnected).length;
		for (const session of idleSessions) {
			session.close();
		}

		assert.deepEqual(await loadGenerator.finish(), []);
		assert.equal(connectedCount, idleCallerCount);
		assert.isBelow(addedBytes, idleCallerCount * maxBytesPerIdleCaller);
	});

	it('uses one trace id for the spans of both proxies of a request (guards against traces that end at a process boundary)', async () => {
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
		for (const {name} of faultCluster.proxies) {
			await faultCluster.addSettings(name, `\n[traces]\notlpUrl=http://127.0.0.1:${port}/${name}/v1/traces\nsampleRatio=1\n`);
			await faultCluster.cluster.kill(name);
			await faultCluster.cluster.restart(name);
		}

		try {
			await pollUntil('one trace of two processes', async () => {
				await assertServesStatement(0);
				await assertServesStatement(1);
				await assertServesStatement(2);
				const sourcesOf = (traceId: string) => new Set(spans.filter(span => span.traceId === traceId).map(({source}) => source));
				return spans.some(({traceId}) => sourcesOf(traceId).size > 1);
			}, 20_000);
		} finally {
			receiver.closeAllConnections();
			receiver.close();
		}
	});
});

/** A span, and the URL path to which its process exported it. Each process has a path of its own. */
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
