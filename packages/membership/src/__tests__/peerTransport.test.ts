import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Server,
} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {FailureError, noopLogger, noopMetrics} from '@crocusloom/model';
import {FakeClock} from '@crocusloom/model/testing';
import {expect} from 'chai';
import {memberDeadTimeoutMs} from '../memberTable.js';
import {heartbeatIntervalMs, heartbeatVerificationMs} from '../membershipService.js';
import {longestMessageLossMs} from '../peerConnection.js';
import {defaultVerificationMs, PeerTransport} from '../peerTransport.js';
import {SilencingForwarder} from './silencingForwarder.js';

const loopback = '127.0.0.1';
const stepMs = 50;
/** Real time that a step of the fake clock leaves for messages to arrive. */
const deliveryMs = 3;
/** Longest time from the death of a connection until the next message arrives, so that no live partner is taken for dead. */
const heartbeatLossBoundMs = memberDeadTimeoutMs - heartbeatIntervalMs;

const deepLists = `${'['.repeat(100_000)}${']'.repeat(100_000)}`;
/** Messages that no peer of this release sends. */
const oddTexts: ReadonlyArray<{readonly name: string; readonly text: string}> = [
	{name: 'no JSON', text: '{'},
	{name: 'null', text: 'null'},
	{name: 'a number', text: '5'},
	{name: 'an empty list', text: '[]'},
	{name: 'a list with null', text: '[null]'},
	{name: 'deeply nested lists', text: deepLists},
	{name: 'a deeply nested id', text: `{"jsonrpc":"2.0","method":"news","id":${deepLists}}`},
	{name: 'a hello without a name', text: '{"jsonrpc":"2.0","method":"peer.hello"}'},
	{name: 'a name that is an object', text: '{"jsonrpc":"2.0","method":"peer.hello","params":{"host":{"toString":1}}}'},
	{name: 'the name of an inherited property as the method', text: '{"jsonrpc":"2.0","method":"constructor","id":1}'},
	{name: 'an answer to no request', text: '{"jsonrpc":"2.0","id":7,"result":1}'},
];

/** Frames a text as a message. */
function frameOf(text: string): Buffer {
	const header = Buffer.alloc(4);
	header.writeUInt32BE(Buffer.byteLength(text));
	return Buffer.concat([header, Buffer.from(text)]);
}

/** Sends bytes on a connection of their own. */
async function sendOnce(port: number, bytes: Buffer): Promise<void> {
	const socket = connect({host: loopback, port});
	socket.on('error', () => undefined);
	socket.resume();
	socket.write(bytes);
	await Promise.race([once(socket, 'close'), delay(50)]);
	socket.destroy();
}

/** Two hosts; the connections of one to the other lead through a forwarder. */
class PeerPair {
	static async start(): Promise<PeerPair> {
		const clock = new FakeClock();
		const addresses = new Map<string, {readonly address: string; readonly port: number}>();
		const createTransport = (self: string) => new PeerTransport({
			self, listen: {address: loopback, port: 0}, resolveAddress: host => addresses.get(host), clock, log: noopLogger, metrics: noopMetrics,
		});
		const sender = createTransport('a');
		const receiver = createTransport('b');
		const abortController = new AbortController();
		const forwarder = await SilencingForwarder.start(await receiver.listen(abortController.signal));
		await sender.listen(abortController.signal);
		addresses.set('b', {address: loopback, port: forwarder.port});
		const pair = new PeerPair(sender, forwarder, clock);
		receiver.handle('news', () => {
			pair.receivedCount++;
		});
		pair.abortController.signal.addEventListener('abort', () => {
			abortController.abort(new Error('the test ends'));
			forwarder.close();
		});
		return pair;
	}

	receivedCount = 0;
	private readonly abortController = new AbortController();

	private constructor(readonly sender: PeerTransport, readonly forwarder: SilencingForwarder, readonly clock: FakeClock) {}

	get signal(): AbortSignal {
		return this.abortController.signal;
	}

	/** Sends notifications at the interval of heartbeats. */
	async sendPeriodically(verifyAfterMs: number | undefined): Promise<void> {
		while (!this.signal.aborted) {
			this.sender.notify('b', 'news', {}, {verifyAfterMs});
			await this.clock.sleep(heartbeatIntervalMs, this.signal);
		}
	}

	/** Advances the clock in steps, in which real messages are delivered. */
	async advance(durationMs: number, isDone: () => boolean = () => false): Promise<void> {
		const endMs = this.clock.nowMs() + durationMs;
		while (this.clock.nowMs() < endMs && !isDone()) {
			await this.clock.runUntil(this.clock.nowMs() + stepMs);
			await delay(deliveryMs);
		}
	}

	stop(): void {
		this.abortController.abort(new Error('the test ends'));
	}
}

/** Starts a server that sends bytes on each connection. */
async function serveBytes(bytes: Buffer): Promise<Server> {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.resume();
		socket.write(bytes);
	});
	server.listen(0, loopback);
	await once(server, 'listening');
	return server;
}

type LossCase = {readonly title: string; readonly verifyAfterMs: number | undefined; readonly boundMs: number};

const cases: readonly LossCase[] = [
	{title: 'heartbeats', verifyAfterMs: heartbeatVerificationMs, boundMs: heartbeatLossBoundMs},
	{title: 'other notifications', verifyAfterMs: undefined, boundMs: longestMessageLossMs(defaultVerificationMs, heartbeatIntervalMs)},
];

describe('peer transport', () => {
	const unhandledErrors: unknown[] = [];
	const recordUnhandled = (error: unknown) => {
		unhandledErrors.push(error);
	};

	before(() => {
		process.on('unhandledRejection', recordUnhandled);
	});

	beforeEach(() => {
		unhandledErrors.length = 0;
	});

	after(() => {
		process.off('unhandledRejection', recordUnhandled);
	});

	it('loses heartbeats for less than the time after which a partner is dead, by the sum of all waits (guards against constants that do not add up)', () => {
		expect(longestMessageLossMs(heartbeatVerificationMs, heartbeatIntervalMs)).to.be.at.most(heartbeatLossBoundMs);
	});

	for (const {title, verifyAfterMs, boundMs} of cases) {
		it(`delivers ${title} again within the bound after connections have died without a reset (guards against news that a dead connection swallows)`, async () => {
			for (const phaseMs of [0, 150, 300, 450]) {
				const pair = await PeerPair.start();
				pair.sendPeriodically(verifyAfterMs).catch(() => undefined);
				await pair.advance(2000 + phaseMs);
				expect(pair.receivedCount).to.be.above(0);
				pair.forwarder.silence();
				const silencedMs = pair.clock.nowMs();
				pair.receivedCount = 0;
				await pair.advance(20_000, () => pair.receivedCount > 0);
				expect(pair.clock.nowMs() - silencedMs, `phase ${phaseMs} ms`).to.be.at.most(boundMs + stepMs);
				pair.stop();
			}
		});
	}

	it('keeps a connection whose peer answers (guards against needless reconnections)', async () => {
		const pair = await PeerPair.start();
		pair.sendPeriodically(heartbeatVerificationMs).catch(() => undefined);
		await pair.advance(10_000);
		expect(pair.forwarder.acceptedCount).to.equal(1);
		pair.stop();
	});

	it('calls a peer over a new connection after a call was not answered (guards against calls that all fail on a dead connection)', async () => {
		const pair = await PeerPair.start();
		await pair.sender.call('b', 'news', {}, pair.signal);
		pair.forwarder.silence();
		const callController = new AbortController();
		const call = pair.sender.call('b', 'news', {}, callController.signal).catch(() => undefined);
		await pair.advance(1000);
		callController.abort(new Error('no answer within 1000 ms'));
		await call;
		await pair.advance(1500);
		pair.receivedCount = 0;
		await pair.sender.call('b', 'news', {}, AbortSignal.timeout(1500));
		expect(pair.receivedCount).to.equal(1);
		pair.stop();
	});

	for (const {name, text} of oddTexts) {
		it(`goes on after a message that is ${name} (guards against a malformed message that ends the process)`, async () => {
			const pair = await PeerPair.start();
			await sendOnce(pair.forwarder.port, frameOf(text));
			await pair.sender.call('b', 'news', {}, AbortSignal.timeout(1500));
			expect(pair.receivedCount).to.be.above(0);
			expect(unhandledErrors).to.deep.equal([]);
			pair.stop();
		});

		it(`fails a call as one to a peer if the answer is ${name} (guards against a malformed answer that ends the process)`, async () => {
			const server = await serveBytes(frameOf(text));
			const {port} = server.address() as AddressInfo;
			const abortController = new AbortController();
			const transport = new PeerTransport({
				self: 'a', listen: {address: loopback, port: 0}, resolveAddress: () => ({address: loopback, port}), clock: new FakeClock(), log: noopLogger, metrics: noopMetrics,
			});
			await transport.listen(abortController.signal);
			const error: unknown = await transport.call('b', 'news', {}, AbortSignal.timeout(200)).catch((error: unknown) => error);
			expect(error instanceof FailureError || (error as Error).name === 'TimeoutError', String(error)).to.equal(true);
			expect(unhandledErrors).to.deep.equal([]);
			abortController.abort(new Error('the test ends'));
			server.close();
		});
	}
});
