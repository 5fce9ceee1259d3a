import {systemClock} from '@crocusloom/model';
import {RecordingLogger, waitUntil} from '@crocusloom/model/testing';
import {expect} from 'chai';
import {Backend} from '../servers/backend.js';
import {type BackendDialer} from '../ports.js';
import {probeStatus} from '../servers/leadershipProver.js';
import {MemoryService} from '../testing/index.js';

function backendOf(service: MemoryService, log: RecordingLogger, dialer: BackendDialer = service): Backend {
	return new Backend(service.server('a').listing(), {
		connections: {
			guaranteed: 2, maximum: 4, isScarce: false, serverLimit: 20,
		}, ranks: [],
	}, {
		dialer, clock: systemClock, random: {next: () => 0.5}, log,
	});
}

describe('backend', () => {
	it('logs only the first failed probe (guards against a log volume that grows with the load during a partition)', async () => {
		const service = new MemoryService('ledger', ['a']);
		const log = new RecordingLogger();
		const backend = backendOf(service, log);
		service.server('a').isUnresponsive = true;
		for (let index = 0; index < 200; index++) {
			await probeStatus(backend, 50);
		}

		expect(log.lines.length).to.be.at.most(3);
		backend.close();
	});

	it('closes the connections of an unreachable server and uses it again after it recovers (guards against work that waits for an unreachable server)', async () => {
		const service = new MemoryService('ledger', ['a']);
		const backend = backendOf(service, new RecordingLogger());
		const timer = setInterval(() => {
			backend.maintain(1);
		}, 50);
		await waitUntil(() => backend.pool.idleCount > 0);
		backend.pool.reserve();
		const connection = await backend.pool.acquire(new Map());
		service.server('a').isUnresponsive = true;
		const outcome = await backend.run(connection, {kind: 'data', id: '1', text: 'READ x'}, 'read').then(() => 'answered', () => 'ended');
		expect(outcome).to.equal('ended');
		await waitUntil(() => backend.isSuspected);
		backend.pool.release(connection);
		service.server('a').isUnresponsive = false;
		await waitUntil(() => !backend.isSuspected);
		clearInterval(timer);
		backend.close();
	});

	it('checks a server again after a check that fails unexpectedly (guards against an error that ends the process or the checks)', async () => {
		const service = new MemoryService('ledger', ['a']);
		service.server('a').isUnresponsive = true;
		let checkCount = 0;
		const backend = backendOf(service, new RecordingLogger(), {
			dial: async server => service.dial(server),
			async isReachable() {
				checkCount++;
				throw new RangeError('the port is out of range');
			},
		});
		const timer = setInterval(() => {
			backend.maintain(1);
		}, 20);
		await waitUntil(() => checkCount >= 6);
		clearInterval(timer);
		backend.close();
	});
});
