import {systemClock} from '@crocusloom/model';
import {expect} from 'chai';
import {
	errorOf, type Harness, run, startProxy,
} from './proxyHarness.js';

/** Time limit of a statement, and idle time of a transaction, in the configuration of the harness. */
const statementTimeoutMs = 600;
const transactionIdleMs = 3000;
/** Allows for late timers. */
const slackMs = 300;

describe('wait', () => {
	let harness: Harness;

	beforeEach(async () => {
		harness = await startProxy();
	});

	afterEach(() => {
		harness.stop();
	});

	async function expectReadToEnd(route: string): Promise<void> {
		for (const server of harness.service.servers) {
			server.lastSilentConnection = Number.POSITIVE_INFINITY;
		}

		const startedMs = systemClock.nowMs();
		expect(await errorOf(harness.proxy.openSession(route, 'u'), 'READ a')).to.equal('overloaded');
		expect(systemClock.nowMs() - startedMs).to.be.below(statementTimeoutMs + slackMs);
	}

	for (const route of ['bounded', 'own']) {
		it(`of a read on the route ${route} for its minimum position ends with its time limit (guards against refusals that come too late to go elsewhere)`, async () => expectReadToEnd(route));
	}

	it('for the next statement of a transaction ends with its idle time (guards against connections that idle transactions keep)', async () => {
		const session = harness.proxy.openSession('strict', 'u');
		await run(session, 'BEGIN');
		await run(session, 'WRITE a 1');
		await systemClock.sleep(transactionIdleMs + (2 * slackMs));
		expect(harness.service.runs.at(-1)!.command.kind).to.equal('rollback');
		expect(await errorOf(session, 'COMMIT')).to.equal('aborted');
		expect(harness.service.acknowledged).to.deep.equal([]);
	});
});
