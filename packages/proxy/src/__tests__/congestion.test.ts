import {mock} from 'node:test';
import {RecordingLogger} from '@crocusloom/model/testing';
import {expect} from 'chai';
import {Backend} from '../servers/backend.js';
import {connectionShareFor} from '../connections/connectionShare.js';
import {MemoryService} from '../testing/index.js';
import {mockedClock, tick} from './mockedTime.js';

const hosts = 12;
const connectionLimit = 200;
const maintenanceIntervalMs = 100;
const slots = 3;
const statementDurationMs = 10;
const loadDurationMs = 4000;
/** Time after the last request in which all requests are answered or refused. */
const drainMs = 1500;
/** Time until the hosts have detected the congestion. Requests that arrive in it are not evaluated. */
const warmUpMs = 1500;
const ranks = [
	{
		rank: 'urgent', order: 0, targetMs: 150, floorShare: 0,
	},
	{
		rank: 'middle', order: 1, targetMs: 250, floorShare: 0.12,
	},
	{
		rank: 'least', order: 2, targetMs: 1000, floorShare: 0.12,
	},
];
/** Statements per second of all hosts together: 1.4 times the capacity of the server. */
const statementsPerSecond: Readonly<Record<string, number>> = {urgent: 60, middle: 180, least: 180};

type Outcome = {readonly rank: string; readonly tookMs: number; readonly isServed: boolean};

/** Simulates the load on one server from several hosts that do not communicate with each other. */
async function simulate(): Promise<readonly Outcome[]> {
	const clock = mockedClock();
	const service = new MemoryService('ledger', ['a'], 0, connectionLimit);
	const server = service.server('a');
	server.slots = slots;
	server.statementDurationMs = statementDurationMs;
	const backends = Array.from({length: hosts}, () => new Backend(server.listing(), {connections: connectionShareFor(connectionLimit, hosts), ranks}, {
		dialer: {dial: async serverEntry => service.dial(serverEntry, 200), isReachable: async () => true}, clock, random: {next: () => 0.5}, log: new RecordingLogger(),
	}));
	const outcomes: Outcome[] = [];
	const maintenanceTimer = setInterval(() => {
		for (const backend of backends) {
			backend.maintain(0);
		}
	}, maintenanceIntervalMs);
	const runningRequests: Array<Promise<void>> = [];

	async function request(backend: Backend, rank: string, isMeasured: boolean): Promise<void> {
		const arrivedMs = clock.nowMs();
		let isServed = false;
		try {
			const grant = await backend.acquireSlot({
				rank, callerKey: String(arrivedMs), isInTransaction: false, waitLimitMs: 800,
			});
			const connection = await backend.pool.acquire(new Map());
			const answer = await backend.run(connection, {kind: 'data', id: 'x', text: 'READ x'}, rank);
			backend.pool.release(connection);
			grant.release();
			isServed = answer.error === undefined;
		} catch {
			// The admission queue refused the request, which the outcome records as not served.
		}

		if (isMeasured) {
			outcomes.push({rank, tookMs: clock.nowMs() - arrivedMs, isServed});
		}
	}

	const sentByRank = new Map<string, number>();
	while (clock.timeMs < loadDurationMs + drainMs) {
		for (const [rank, perSecond] of Object.entries(statementsPerSecond)) {
			const dueCount = Math.floor((Math.min(clock.timeMs, loadDurationMs) * perSecond) / 1000);
			for (let count = sentByRank.get(rank) ?? 0; count < dueCount; count++) {
				runningRequests.push(request(backends[(count * 5) % hosts]!, rank, clock.timeMs >= warmUpMs));
			}

			sentByRank.set(rank, dueCount);
		}

		await tick(clock);
	}

	await Promise.all(runningRequests);
	clearInterval(maintenanceTimer);
	for (const backend of backends) {
		backend.close();
	}

	return outcomes;
}

describe('congestion at one server', () => {
	beforeEach(() => {
		mock.timers.enable({apis: ['setTimeout', 'setInterval']});
	});

	afterEach(() => {
		mock.timers.reset();
	});

	it('meets the target of urgent work and serves ranks by priority (guards against a full queue at the server, which ignores ranks)', async () => {
		const outcomes = await simulate();
		const servedShare = (rank: string, limitMs: number) => {
			const rankOutcomes = outcomes.filter(outcome => outcome.rank === rank);
			return rankOutcomes.filter(({isServed, tookMs}) => isServed && tookMs <= limitMs).length / rankOutcomes.length;
		};

		const shares = {urgent: servedShare('urgent', 150), middle: servedShare('middle', 250), least: servedShare('least', 1000)};
		expect(shares.urgent, JSON.stringify(shares)).to.be.above(0.95);
		expect(shares.middle, JSON.stringify(shares)).to.be.above(shares.least);
	});
});
