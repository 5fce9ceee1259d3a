import {runSupervised, systemClock, taskRestartDelayMs} from '@crocusloom/model';
import {RecordingLogger} from '@crocusloom/model/testing';
import {expect} from 'chai';
import {PromMetrics} from '../metrics.js';
import {type ErrorSource, reportUnexpectedErrors} from '../unexpectedErrors.js';

/** Source of errors that the test raises itself. */
class TestErrorSource implements ErrorSource {
	private readonly listeners = new Map<string, (error: unknown) => void>();

	on(event: string, listener: (error: unknown) => void): void {
		this.listeners.set(event, listener);
	}

	raise(event: string, error: unknown): void {
		this.listeners.get(event)!(error);
	}
}

describe('unexpected errors', () => {
	for (const kind of ['uncaughtException', 'unhandledRejection'] as const) {
		it(`logs and counts an error of kind ${kind} (guards against one error that ends the process)`, async () => {
			const source = new TestErrorSource();
			const log = new RecordingLogger();
			const metrics = new PromMetrics(false);
			reportUnexpectedErrors(source, log, metrics);
			source.raise(kind, new RangeError('the port is out of range'));
			source.raise(kind, 'a text');
			expect(log.lines.map(({level, fields}) => [level, fields.kind])).to.deep.equal([['error', kind], ['error', kind]]);
			expect(await metrics.text()).to.include(`crocusloom_unexpected_errors{kind="${kind}"} 2`);
		});
	}
});

describe('supervised task', () => {
	const ports = {clock: systemClock, log: new RecordingLogger()};

	it('is started again after an error (guards against a process that goes on without one of its tasks)', async () => {
		let runCount = 0;
		await runSupervised('task', async () => {
			runCount++;
			if (runCount < 3) {
				throw new Error('unexpected');
			}
		}, ports, new AbortController().signal);
		expect(runCount).to.equal(3);
	});

	it('is not started again once the process stops (guards against tasks that outlive the process)', async () => {
		const controller = new AbortController();
		let runCount = 0;
		await runSupervised('task', async () => {
			runCount++;
			controller.abort();
			throw new Error('aborted');
		}, ports, controller.signal);
		await systemClock.sleep(taskRestartDelayMs + 50);
		expect(runCount).to.equal(1);
	});
});
