import {systemClock} from '@crocusloom/model';
import {expect} from 'chai';
import {type MemoryServer, MemoryService} from '../testing/index.js';
import {
	advanceableClock, type Harness, run as runStatement, startProxy,
} from './proxyHarness.js';

const listedMs = 20_000;
const settleMs = 400;
const statementTimeoutMs = 600;
const toleranceMs = 150;

describe('write while an order of promotion is not settled', () => {
	let harness: Harness | undefined;

	afterEach(() => {
		harness?.stop();
	});

	const namedStates: ReadonlyArray<{readonly title: string; readonly maximumMs: number; readonly fail: (server: MemoryServer, primary: MemoryServer) => void}> = [
		{
			title: 'is silent',
			maximumMs: statementTimeoutMs,
			fail(server) {
				server.isUnresponsive = true;
			},
		},
		{
			title: 'is paused',
			maximumMs: 0,
			fail(server) {
				server.pausedTerm = 5;
			},
		},
		{
			title: 'is a former primary',
			maximumMs: 0,
			fail(server) {
				server.role = 'primary';
				server.term = 0;
			},
		},
		{
			title: 'has no free connection',
			maximumMs: statementTimeoutMs,
			fail(server) {
				server.isFull = true;
				server.closeConnections();
			},
		},
		{
			title: 'receives nothing',
			maximumMs: statementTimeoutMs,
			fail(server, primary) {
				server.partitionedFrom.add(primary);
			},
		},
	];

	for (const {title, maximumMs, fail} of namedStates) {
		it(`is answered as in doubt in time if the named server ${title} (guards against writes without an answer)`, async () => expectAnswer(maximumMs, fail));
	}

	async function expectAnswer(maximumMs: number, fail: (server: MemoryServer, primary: MemoryServer) => void): Promise<void> {
		const service = new MemoryService('ledger', ['a', 'b', 'c', 'd']);
		service.acknowledgesLateCommits = true;
		const clock = advanceableClock();
		harness = await startProxy(service, clock, {isNamedInOrder: (_service, server) => server === 'b'});
		const {proxy, view} = harness;
		const write = async () => {
			proxy.configurationAge.confirm();
			return runStatement(proxy.openSession('strict', 'u'), 'WRITE a 1');
		};

		await Promise.all(view.listBackends().map(async backend => backend.runControlCommand({kind: 'status'}, 250)));
		await systemClock.sleep(settleMs);
		clock.offsetMs += listedMs;
		await systemClock.sleep(settleMs);
		const {error: firstError} = await write();
		expect(firstError, 'while the named server receives').to.equal(undefined);
		fail(service.server('b'), service.server('a'));
		const startedMs = systemClock.nowMs();
		const {error} = await write();
		expect(error?.kind).to.equal('inDoubt');
		expect(systemClock.nowMs() - startedMs).to.be.below(maximumMs + toleranceMs);
	}
});
