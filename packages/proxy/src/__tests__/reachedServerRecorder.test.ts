import {systemClock} from '@crocusloom/model';
import {expect} from 'chai';
import {ReachedServerRecorder} from '../servers/reachedServerRecorder.js';
import {MemoryService, MemoryServiceRecords} from '../testing/index.js';
import {advanceableClock, type Harness, startProxy} from './proxyHarness.js';

const token = 7;
/** Time after which servers that do not answer delay the record of the others no more. */
const waitMs = 1000;
/** Time in which a server that is asked answers. */
const answerTimeMs = 50;
const {signal} = new AbortController();

describe('record of the servers that a lease holder has reached', () => {
	let service: MemoryService;
	let harness: Harness;
	let clock: ReturnType<typeof advanceableClock>;
	let records: MemoryServiceRecords;
	let recorder: ReachedServerRecorder;

	async function start(silentIds: readonly string[] = []): Promise<void> {
		service = new MemoryService('ledger', ['a', 'b', 'c']);
		for (const id of silentIds) {
			service.server(id).isUnresponsive = true;
		}

		clock = advanceableClock();
		records = new MemoryServiceRecords();
		harness = await startProxy(service, clock, {serviceRecords: records});
		recorder = new ReachedServerRecorder(harness.view, clock);
		await Promise.allSettled(harness.view.listBackends().map(async backend => backend.runControlCommand({kind: 'status'}, answerTimeMs)));
	}

	const reachedIds = () => records.recordOf('ledger').reachedServers;
	const backend = (id: string) => harness.view.listBackends().find(candidate => candidate.id === id)!;

	afterEach(() => {
		harness.stop();
	});

	it('has all servers at once if all have answered (guards against commits that wait for all servers after a start)', async () => {
		await start();
		await recorder.check(token, signal);
		expect(reachedIds()).to.have.members(['a', 'b', 'c']);
	});

	it('lacks a server that has not answered (guards against witnesses that a promotion leaves out)', async () => {
		await start(['c']);
		await recorder.check(token, signal);
		expect(reachedIds(), 'servers that are tried for the first time are waited for').to.deep.equal([]);
		clock.offsetMs += waitMs;
		await recorder.check(token, signal);
		expect(reachedIds()).to.have.members(['a', 'b']);
		expect(await recorder.findNeverReached([backend('b'), backend('c')], signal)).to.deep.equal([backend('c')]);
	});

	it('gets a server that answers later (guards against servers that never become witnesses)', async () => {
		await start(['c']);
		clock.offsetMs += waitMs;
		await recorder.check(token, signal);
		service.server('c').isUnresponsive = false;
		clock.offsetMs += waitMs;
		await recorder.check(token, signal);
		await systemClock.sleep(answerTimeMs);
		await recorder.check(token, signal);
		expect(reachedIds()).to.have.members(['a', 'b', 'c']);
	});

	it('is not written without the lease (guards against records beside a promotion of the next holder)', async () => {
		await start();
		await recorder.check(undefined, signal);
		expect(reachedIds()).to.deep.equal([]);
	});

	it('counts as written after a call without an answer (guards against a change that is made late and a server that is left out)', async () => {
		await start();
		records.isAvailable = false;
		await recorder.check(token, signal);
		records.isAvailable = true;
		expect(await recorder.findNeverReached([backend('c')], signal)).to.deep.equal([]);
	});

	it('counts as complete while the platform does not answer (guards against a server that is left out although an earlier holder reached it)', async () => {
		await start();
		records.isAvailable = false;
		expect(await recorder.findNeverReached([backend('c')], signal)).to.deep.equal([]);
	});

	it('keeps servers that have just left, and no more than a few of them (guards against records that grow without end)', async () => {
		await start();
		records.addReached('ledger', Array.from({length: 40}, (_, index) => `left${index}`));
		await recorder.check(token, signal);
		expect(reachedIds()).to.include.members(['a', 'b', 'c', 'left39']);
		expect(reachedIds()).to.not.include('left0');
	});
});
