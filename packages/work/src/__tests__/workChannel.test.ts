import {getEventListeners} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {expect} from 'chai';
import fc from 'fast-check';
import {
	noopTracer, systemClock, type Span, type Tracer,
} from '@crocusloom/model';
import {dataRow} from '@crocusloom/wire';
import {Holder} from '../holder.js';
import {WorkChannelPool} from '../workChannelPool.js';
import {WorkServer} from '../workServer.js';
import {
	endlessSignal, exchangeOptions, failureOf, FakeConfiguration, FakeServer, FakeView, groupState, holderPorts, ManualClock, member, never,
	outcomeOf, query, RecordingSink, settle, until, workRequest,
} from './fakes.js';

/** A holder behind a work server on a port. */
async function startPeer(tracer: Tracer = noopTracer) {
	const server = new FakeServer();
	const ending = new AbortController();
	const view = new FakeView(groupState());
	const holder = new Holder({...holderPorts(systemClock, server.dialer, view), tracer}, new FakeConfiguration(), ending.signal);
	const workServer = new WorkServer(holder, 'peer');
	const port = await workServer.listen('127.0.0.1', 0);
	const channels = new WorkChannelPool({clock: systemClock, tracer}, ending.signal);
	const stop = () => {
		ending.abort();
		workServer.close();
	};

	return {
		server, view, holder, workServer, port, channels, stop,
	};
}

/** Passes bytes on until a number of them went in one direction, and then ends both connections. */
async function startCutter(targetPort: number, cutAfter: {readonly up: number; readonly down: number}) {
	const sockets: Socket[] = [];
	const relay = createServer(incoming => {
		const outgoing = connect(targetPort, '127.0.0.1');
		sockets.push(incoming, outgoing);
		const pass = (from: Socket, to: Socket, limitBytes: number) => {
			let leftBytes = limitBytes;
			from.on('error', () => undefined);
			from.on('close', () => {
				to.destroy();
			});
			from.on('data', (chunk: Buffer) => {
				to.write(chunk.subarray(0, leftBytes));
				leftBytes -= chunk.length;
				if (leftBytes <= 0) {
					to.end();
					from.destroy();
				}
			});
		};

		pass(incoming, outgoing, cutAfter.up);
		pass(outgoing, incoming, cutAfter.down);
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
	it('carries units of work one after the other over one channel (guards against answers of another unit)', async () => {
		const peer = await startPeer();
		const warnings: Error[] = [];
		const note = (warning: Error) => {
			warnings.push(warning);
		};

		process.on('warning', note);
		const texts = Array.from({length: 15}, (_, index) => `unit ${index}`);
		for (const text of texts) {
			const sink = new RecordingSink();
			const work = await peer.channels.open(member(peer.port), workRequest(), endlessSignal());
			await work.exchange(query('BEGIN'), () => undefined, exchangeOptions({mayCommit: false}));
			const result = await work.exchange(query(text), sink.sink, exchangeOptions());
			expect(sink.types).to.equal('TDCZ');
			expect(sink.text).to.contain(text);
			expect(result).to.deep.include({transactionStatus: 'T', position: {term: 1, offsetBytes: 100}, database: 'a'});
			work.release();
		}

		await until(() => peer.server.log.filter(text => text === 'ROLLBACK').length === texts.length);
		process.off('warning', note);
		expect(warnings, 'listeners left on the channel').to.be.empty;
		expect(peer.workServer.channelCount).to.equal(1);
		peer.stop();
	});

	it('keeps concurrent answers apart when they are late (guards against mixed answers)', async () => {
		const peer = await startPeer();
		const texts = Array.from({length: 12}, (_, index) => `statement ${index}`);
		const sinks = await Promise.all(texts.map(async text => {
			const sink = new RecordingSink();
			const work = await peer.channels.open(member(peer.port), workRequest({callerKey: text, rank: 'third'}), endlessSignal());
			await work.exchange(query(text), sink.sink, exchangeOptions());
			work.release();
			return sink;
		}));
		expect(sinks.every((sink, index) => sink.types === 'TDCZ' && sink.text.includes(`${texts[index]!}C`))).to.equal(true);
		peer.stop();
	});

	it('passes refusals, cancel and the end of the entry proxy on (guards against work that outlives its caller)', async () => {
		const peer = await startPeer();
		const target = member(peer.port);
		const refused = await peer.channels.open(target, workRequest({database: 'b'}), endlessSignal());
		expect(await failureOf(refused.exchange(query('X'), () => undefined, exchangeOptions()))).to.include({kind: 'notRun', reason: 'notPrimary'});
		refused.release();
		peer.server.gate = never();
		const work = await peer.channels.open(target, workRequest(), endlessSignal());
		const running = failureOf(work.exchange(query('SLOW'), () => undefined, exchangeOptions()));
		await until(() => peer.server.log.length === 1);
		work.cancel();
		await until(() => peer.server.sessions[0]!.cancels === 1);
		work.release();
		expect(await running).to.include({kind: 'unknown', step: 'peer'});
		await until(() => peer.server.openNow === 0 && peer.holder.stats()[0]!.busySlots === 0);
		expect(peer.workServer.channelCount).to.equal(0);
		peer.stop();
	});

	it('ends work at a peer that the membership counts as dead, at the second look (guards against work that waits for a frozen holder)', async () => {
		const peer = await startPeer();
		const clock = new ManualClock();
		const channels = new WorkChannelPool({clock, tracer: noopTracer}, endlessSignal());
		const seen = {state: 'alive' as 'alive' | 'dead', change: () => undefined as void};
		const target = member(peer.port);
		channels.followMembership({
			self: target, members: () => [{...target, state: seen.state}], holderOf: () => target, reportUnreachable: () => undefined, onChange(listener) {
				seen.change = listener;
			},
		});
		peer.server.gate = never();
		const work = await channels.open(target, workRequest(), endlessSignal());
		const running = outcomeOf(work.exchange(query('SLOW'), () => undefined, exchangeOptions()));
		await until(() => peer.server.log.length === 1);
		for (const [state, isEnded] of [['alive', false], ['dead', true]] as const) {
			seen.state = 'dead';
			seen.change();
			await settle();
			seen.state = state;
			await clock.advance(200);
			if (!isEnded) {
				expect(peer.workServer.channelCount, 'a peer that is heard again keeps its work').to.equal(1);
			}
		}

		expect(await running).to.include({kind: 'unknown', step: 'peer'});
		work.release();
		peer.stop();
	});

	for (const place of ['here', 'at a peer'] as const) {
		it(`honours the cancel signal of a first exchange ${place}, and stops listening (guards against a cancel that is lost)`, async () => {
			const peer = await startPeer();
			const open = async () => place === 'here' ? peer.holder.openNow(workRequest()) : peer.channels.open(member(peer.port), workRequest(), endlessSignal());
			const cancelling = new AbortController();
			let answer!: () => void;
			peer.server.gate = new Promise(resolve => {
				answer = resolve;
			});
			const work = await open();
			const sink = new RecordingSink();
			const running = work.exchange(query('SLOW'), sink.sink, exchangeOptions({cancelSignal: cancelling.signal}));
			await until(() => peer.server.log.includes('SLOW'));
			cancelling.abort();
			await until(() => peer.server.sessions.some(({cancels}) => cancels === 1));
			answer();
			await running;
			expect(sink.types, 'the answer still comes').to.equal('TDCZ');
			expect(getEventListeners(cancelling.signal, 'abort')).to.be.empty;
			work.release();
			peer.stop();
		});
	}

	it('says notRun for a refused connection (guards against a retry that is not allowed)', async () => {
		const peer = await startPeer();
		peer.stop();
		const channels = new WorkChannelPool({clock: systemClock, tracer: noopTracer}, endlessSignal());
		expect(await failureOf(channels.open(member(peer.port), workRequest(), endlessSignal()))).to.include({kind: 'notRun', reason: 'unreachable'});
	});

	it('gives a slow caller no more until it is ready (guards against unbounded memory)', async () => {
		const peer = await startPeer();
		const row = dataRow(['x'.repeat(100_000)]);
		let sent = 0;
		peer.server.answers.set('BIG', async session => {
			for (; sent < 500; sent++) {
				session.put(row);
				await until(() => true);
			}

			return dataRow(['end']);
		});
		const work = await peer.channels.open(member(peer.port), workRequest({mode: 'read'}), endlessSignal());
		let received = 0;
		let open!: () => void;
		const opened = new Promise<void>(resolve => {
			open = resolve;
		});
		const running = work.exchange(query('BIG'), async frames => {
			received += frames.length;
			await opened;
		}, exchangeOptions({mayCommit: false}));
		await until(() => sent === 500);
		expect(received, 'bytes given to a sink that is not ready').to.be.below(2_000_000);
		open();
		await running;
		expect(received).to.be.above(50_000_000);
		peer.stop();
	});

	it('never says notRun after a byte may have been sent (guards against work that runs twice)', async () => {
		const cut = fc.oneof(fc.integer({min: 1, max: 420}), fc.constant(100_000));
		await fc.assert(fc.asyncProperty(cut, cut, async (up, down) => {
			const peer = await startPeer();
			const cutter = await startCutter(peer.port, {up, down});
			const sink = new RecordingSink();
			const work = await peer.channels.open(member(cutter.port), workRequest(), endlessSignal());
			const failure = await outcomeOf(work.exchange(query('INSERT'), sink.sink, exchangeOptions()));
			work.release();
			expect(failure?.kind).to.be.oneOf([undefined, 'unknown']);
			expect(failure === undefined && sink.types !== 'TDCZ', 'success without the whole answer').to.equal(false);
			expect(up < 100 && peer.server.log.length > 0, 'a cut request is not run').to.equal(false);
			cutter.stop();
			peer.stop();
		}), {seed: 20_262, numRuns: 60});
	});

	it('carries the trace context over both hops (guards against broken traces)', async () => {
		const spans: string[] = [];
		const tracer: Tracer = {
			start(name, parent): Span {
				spans.push(`${parent ?? ''}>${name}`);
				return {traceparent: name, end: () => undefined};
			},
		};
		const peer = await startPeer(tracer);
		const work = await peer.channels.open(member(peer.port), workRequest({traceparent: 'caller'}), endlessSignal());
		await work.exchange(query('X'), () => undefined, exchangeOptions());
		expect(spans).to.deep.equal(['caller>work channel', 'work channel>holder', 'holder>backend']);
		peer.stop();
	});
});
