import {systemClock} from '@crocusloom/model';
import {expect} from 'chai';
import {ConnectionPool} from '../connectionPool.js';
import {type ConnectionShare} from '../connectionShare.js';
import {noValues} from '../sessionValues.js';
import {MemoryService, RecordingLog} from '../testing/index.js';
import {until} from './proxyHarness.js';

function poolOf(service: MemoryService, share: ConnectionShare, log = new RecordingLog()): ConnectionPool {
	return new ConnectionPool(service.server('a').listing(), share, {
		dialer: service, clock: systemClock, random: {next: () => 0}, log, onAvailable: () => undefined, onDial: () => undefined,
	});
}

describe('connection pool', () => {
	it('opens connections again after the server was full (guards against a limit that is never raised)', async () => {
		const service = new MemoryService('ledger', ['a']);
		const log = new RecordingLog();
		const pool = poolOf(service, {own: 2, most: 4}, log);
		service.server('a').isFull = true;
		pool.reserve();
		const taking = pool.take(noValues);
		await until(() => log.lines.length > 0);
		expect(pool.mayReserve()).to.equal(false);
		service.server('a').isFull = false;
		const timer = setInterval(() => {
			pool.maintain(0);
		}, 20);
		const connection = await taking;
		clearInterval(timer);
		pool.giveBack(connection);
		expect(pool.openCount).to.equal(1);
		expect(pool.mayReserve()).to.equal(true);
		pool.close();
	});

	it('closes idle connections above its own share and keeps the share (guards against a churn of connections)', async () => {
		const service = new MemoryService('ledger', ['a']);
		const pool = poolOf(service, {own: 1, most: 3});
		const taken = await Promise.all(Array.from({length: 3}, async () => {
			pool.reserve();
			return pool.take(noValues);
		}));
		for (const connection of taken) {
			pool.giveBack(connection);
		}

		await systemClock.sleep(1100);
		pool.maintain(0);
		expect(pool.openCount).to.equal(1);
		pool.close();
	});

	it('fails those that wait when the server cannot be reached (guards against waits without end)', async () => {
		const service = new MemoryService('ledger', ['a']);
		const pool = poolOf(service, {own: 1, most: 3});
		service.server('a').isDark = true;
		pool.reserve();
		const outcome = await pool.take(noValues).then(() => 'taken', String);
		expect(outcome).to.contain('dark');
		pool.close();
	});
});
