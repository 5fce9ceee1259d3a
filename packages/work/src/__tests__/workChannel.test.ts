import {getEventListeners} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {expect} from 'chai';
import fc from 'fast-check';
import {
	noopTracer, systemClock, type Span, type Tracer,
} from '@crocusloom/model';
import {FakeClock} from '@crocusloom/model/testing';
import {dataRow} from '@crocusloom/wire';
import {Holder} from '../holder.js';
import {WorkChannelPool} from '../workChannelPool.js';
import {WorkServer} from '../workServer.js';
import {
	neverAbortingSignal, exchangeOptions, failureOf, FakeConfiguration, FakeServer, FakeView, groupState, holderPorts, member, neverSettling,
	failureIfRejected, query, RecordingSink, runPendingTasks, waitUntil, workRequest,
} from './fakes.js';

/** Starts a work server with a holder, as it runs at a peer. */
async function startPeer(tracer: Tracer = noopTracer) {
	const server = new FakeServer();
	const shutdownController = new AbortController();
	const view = new FakeView(groupState());
	const holder = new Holder({...holderPorts(systemClock, server.dialer, view), tracer}, new FakeConfiguration(), shutdownController.signal);
	const workServer = new WorkServer(holder, 'peer');
	const port = await workServer.listen('127.0.0.1', 0);
	const channels = new WorkChannelPool({clock: systemClock, tracer}, shutdownController.signal);
	const stop = () => {
		shutdownController.abort();
		workServer.close();
	};

	return {
		server, view, holder, workServer, port, channels, stop,
	};
}

/** Starts a relay that closes both connections once it has forwarded a given number of bytes in one direction. */
async function startCuttingRelay(targetPort: number, cutAfter: {readonly up: number; readonly down: number}) {
	const sockets: Socket[] = [];
	const relay = createServer(incoming => {
		const outgoing = connect(targetPort, '127.0.0.1');
		sockets.push(incoming, outgoing);
		const forwardUpTo = (from: Socket, to: Socket, limitBytes: number) => {
			let remainingBytes = limitBytes;
			from.on('error', () => undefined);
			from.on('close', () => {
				to.destroy();
			});
			from.on('data', (chunk: Buffer) => {
				to.write(chunk.subarray(0, remainingBytes));
				remainingBytes -= chunk.length;
				if (remainingBytes <= 0) {
					to.end();
					from.destroy();
				}
			});
		};

		forwardUpTo(incoming, outgoing, cutAfter.up);
		forwardUpTo(outgoing, incoming, cutAfter.down);
	});
	await new Promise<void>(resolve => {
		relay.listen(0, '127.0.0.1', resolve);
	});
	const stop = () => {
		relay.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	};

	return {port: (relay.address() as AddressInfo).port, stop};
}

describe('work channel', () => {
	it('carries successive units of work over one channel (guards against responses of another unit of work)', async () => {
		const peer = await startPeer();
		const warnings: Error[] = [];
		const recordWarning = (warning: Error) => {
			warnings.push(warning);
		};

		process.on('warning', recordWarning);
		const texts = Array.from({length: 15}, (_, index) => `unit ${index}`);
		for (const text of texts) {
			const sink = new RecordingSink();
			const work = await peer.channels.open(member(peer.port), workRequest(), neverAbortingSignal());
			await work.exchange(query('BEGIN'), () => undefined, exchangeOptions({mayCommit: false}));
			const result = await work.exchange(query(text), sink.sink, exchangeOptions());
			expect(sink.types).to.equal('TDCZ');
			expect(sink.text).to.contain(text);
			expect(result).to.deep.include({transactionStatus: 'T', position: {term: 1, offsetBytes: 100}, database: 'a'});
			work.release();
		}

		await waitUntil(() => peer.server.executedTexts.filter(text => text === 'ROLLBACK').length === texts.length);
		process.off('warning', recordWarning);
		expect(warnings, 'listeners left on the channel').to.be.empty;
		expect(peer.workServer.channelCount).to.equal(1);
		peer.stop();
	});

	it('keeps the responses of concurrent units of work apart (guards against mixed responses)', async () => {
		const peer = await startPeer();
		const texts = Array.from({length: 12}, (_, index) => `statement ${index}`);
		const sinks = await Promise.all(texts.map(async text => {
			const sink = new RecordingSink();
			const work = await peer.channels.open(member(peer.port), workRequest({callerKey: text, rank: 'third'}), neverAbortingSignal());
			await work.exchange(query(text), sink.sink, exchangeOptions());
			work.release();
			return sink;
		}));
		expect(sinks.every((sink, index) => sink.types === 'TDCZ' && sink.text.includes(`${texts[index]!}C`))).to.equal(true);
		peer.stop();
	});

	it('forwards refusals, cancel requests and the release of running work (guards against work that outlives its caller)', async () => {
		const peer = await startPeer();
		const target = member(peer.port);
		const refusedWork = await peer.channels.open(target, workRequest({database: 'b'}), neverAbortingSignal());
		expect(await failureOf(refusedWork.exchange(query('X'), () => undefined, exchangeOptions()))).to.include({kind: 'notRun', reason: 'notPrimary'});
		refusedWork.release();
		peer.server.responseGate = neverSettling();
		const work = await peer.channels.open(target, workRequest(), neverAbortingSignal());
		const running = failureOf(work.exchange(query('SLOW'), () => undefined, exchangeOptions()));
		await waitUntil(() => peer.server.executedTexts.length === 1);
		work.cancel();
		await waitUntil(() => peer.server.sessions[0]!.cancelCount === 1);
		work.release();
		expect(await running).to.include({kind: 'unknown', step: 'peer'});
		await waitUntil(() => peer.server.openCount === 0 && peer.holder.stats()[0]!.busySlots === 0);
		expect(peer.workServer.channelCount).to.equal(0);
		peer.stop();
	});

	it('ends work at a peer that is still dead at the second check (guards against work that waits for a frozen holder)', async () => {
		const peer = await startPeer();
		const clock = new FakeClock();
		const channels = new WorkChannelPool({clock, tracer: noopTracer}, neverAbortingSignal());
		const membershipState = {state: 'alive' as 'alive' | 'dead', change: () => undefined as void};
		const target = member(peer.port);
		channels.followMembership({
			self: target, members: () => [{...target, state: membershipState.state}], holderOf: () => target, reportUnreachable: () => undefined, onChange(listener) {
				membershipState.change = listener;
			},
		});
		peer.server.responseGate = neverSettling();
		const work = await channels.open(target, workRequest(), neverAbortingSignal());
		const running = failureIfRejected(work.exchange(query('SLOW'), () => undefined, exchangeOptions()));
		await waitUntil(() => peer.server.executedTexts.length === 1);
		for (const [state, isEnded] of [['alive', false], ['dead', true]] as const) {
			membershipState.state = 'dead';
			membershipState.change();
			await runPendingTasks();
			membershipState.state = state;
			await clock.advance(200);
			if (!isEnded) {
				expect(peer.workServer.channelCount, 'a peer whose heartbeats arrive again keeps its work').to.equal(1);
			}
		}

		expect(await running).to.include({kind: 'unknown', step: 'peer'});
		work.release();
		peer.stop();
	});

	for (const location of ['at this host', 'at a peer'] as const) {
		it(`honours the cancel signal of a first exchange ${location}, and removes its listener (guards against a lost cancel request)`, async () => {
			const peer = await startPeer();
			const open = async () => location === 'at this host' ? peer.holder.openSync(workRequest()) : peer.channels.open(member(peer.port), workRequest(), neverAbortingSignal());
			const cancelController = new AbortController();
			let completeStatement!: () => void;
			peer.server.responseGate = new Promise(resolve => {
				completeStatement = resolve;
			});
			const work = await open();
			const sink = new RecordingSink();
			const running = work.exchange(query('SLOW'), sink.sink, exchangeOptions({cancelSignal: cancelController.signal}));
			await waitUntil(() => peer.server.executedTexts.includes('SLOW'));
			cancelController.abort();
			await waitUntil(() => peer.server.sessions.some(({cancelCount}) => cancelCount === 1));
			completeStatement();
			await running;
			expect(sink.types, 'the response is still delivered').to.equal('TDCZ');
			expect(getEventListeners(cancelController.signal, 'abort')).to.be.empty;
			work.release();
			peer.stop();
		});
	}

	it('keeps the channels of peers apart whose host and address join to the same text (guards against work that runs at another host)', async () => {
		const peer = await startPeer();
		const work = await peer.channels.open({...member(peer.port), host: 'a b'}, workRequest(), neverAbortingSignal());
		work.release();
		const other = {...member(peer.port), host: 'a', address: `b ${member(peer.port).address}`};
		expect(await failureOf(peer.channels.open(other, workRequest(), neverAbortingSignal()))).to.include({kind: 'notRun', reason: 'unreachable'});
		peer.stop();
	});

	it('reports notRun for a refused connection (guards against work that is not retried although it did not run)', async () => {
		const peer = await startPeer();
		peer.stop();
		const channels = new WorkChannelPool({clock: systemClock, tracer: noopTracer}, neverAbortingSignal());
		expect(await failureOf(channels.open(member(peer.port), workRequest(), neverAbortingSignal()))).to.include({kind: 'notRun', reason: 'unreachable'});
	});

	it('sends a slow caller no more until its sink is ready (guards against unbounded memory)', async () => {
		const peer = await startPeer();
		const row = dataRow(['x'.repeat(100_000)]);
		let sentRowCount = 0;
		peer.server.responses.set('BIG', async session => {
			for (; sentRowCount < 500; sentRowCount++) {
				session.emit(row);
				await waitUntil(() => true);
			}

			return dataRow(['end']);
		});
		const work = await peer.channels.open(member(peer.port), workRequest({mode: 'read'}), neverAbortingSignal());
		let receivedBytes = 0;
		let unblockSink!: () => void;
		const sinkUnblocked = new Promise<void>(resolve => {
			unblockSink = resolve;
		});
		const running = work.exchange(query('BIG'), async frames => {
			receivedBytes += frames.length;
			await sinkUnblocked;
		}, exchangeOptions({mayCommit: false}));
		await waitUntil(() => sentRowCount === 500);
		expect(receivedBytes, 'bytes sent to a sink that is not ready').to.be.below(2_000_000);
		unblockSink();
		await running;
		expect(receivedBytes).to.be.above(50_000_000);
		peer.stop();
	});

	it('never reports notRun after a byte may have been sent (guards against work that runs twice)', async () => {
		const cut = fc.oneof(fc.integer({min: 1, max: 420}), fc.constant(100_000));
		await fc.assert(fc.asyncProperty(cut, cut, async (up, down) => {
			const peer = await startPeer();
			const relay = await startCuttingRelay(peer.port, {up, down});
			const sink = new RecordingSink();
			const work = await peer.channels.open(member(relay.port), workRequest(), neverAbortingSignal());
			const failure = await failureIfRejected(work.exchange(query('INSERT'), sink.sink, exchangeOptions()));
			work.release();
			expect(failure?.kind).to.be.oneOf([undefined, 'unknown']);
			expect(failure === undefined && sink.types !== 'TDCZ', 'success without the whole response').to.equal(false);
			expect(up < 100 && peer.server.executedTexts.length > 0, 'an incomplete request is not run').to.equal(false);
			relay.stop();
			peer.stop();
		}), {seed: 20_262, numRuns: 60});
	});

	it('propagates the trace context over both hops (guards against broken traces)', async () => {
		const spans: string[] = [];
		const tracer: Tracer = {
			start(name, parent): Span {
				spans.push(`${parent ?? ''}>${name}`);
				return {traceparent: name, end: () => undefined};
			},
		};
		const peer = await startPeer(tracer);
		const work = await peer.channels.open(member(peer.port), workRequest({traceparent: 'caller'}), neverAbortingSignal());
		await work.exchange(query('X'), () => undefined, exchangeOptions());
		expect(spans).to.deep.equal(['caller>work channel', 'work channel>holder', 'holder>backend']);
		peer.stop();
	});
});
