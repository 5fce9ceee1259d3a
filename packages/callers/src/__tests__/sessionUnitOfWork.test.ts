import {
	deferred, zeroPosition, type Dispatcher, type ExchangeOptions, type ExchangeResult, type UnitOfWork, type WorkIntent,
} from '@crocusloom/model';
import {expect} from 'chai';
import {SessionUnitOfWork} from '../sessionUnitOfWork.js';

const frames = Buffer.from('Q');
const intent: WorkIntent = {
	group: 'g', mode: 'write', rank: 'urgent', callerKey: 'caller', freshness: {mode: 'session'}, sessionPosition: zeroPosition, hasSessionToken: true, waitLimitMs: 100,
};
const idleResult: ExchangeResult = {
	transactionStatus: 'I', sqlState: undefined, position: undefined, database: 'a', waitMs: 0, runMs: 0,
};

/** Dispatcher whose unit of work runs until it is cancelled a number of times, as if the earlier requests had arrived too early. */
class CountingDispatcher implements Pick<Dispatcher, 'dispatch'> {
	cancelCount = 0;
	private readonly canceled = deferred<void>();

	constructor(private readonly ignoredCancels: number) {}

	async dispatch(_intent: WorkIntent, _frames: Buffer, _sink: unknown, {cancelSignal, onOpen, signal}: ExchangeOptions): Promise<{readonly work: UnitOfWork; readonly result: ExchangeResult}> {
		const work: UnitOfWork = {
			exchange: async () => idleResult,
			cancel: () => {
				this.cancelCount++;
				if (this.cancelCount > this.ignoredCancels) {
					this.canceled.resolve();
				}
			},
			release: () => undefined,
		};
		onOpen?.(work);
		cancelSignal?.addEventListener('abort', () => {
			work.cancel();
		});
		signal.addEventListener('abort', () => {
			this.canceled.reject(new Error('the caller disconnected'));
		});
		await this.canceled.promise;
		return {work, result: idleResult};
	}
}

describe('unit of work of a session', () => {
	it('passes each cancel request on to the running first exchange (guards against a request that is lost because an earlier one came too early)', async () => {
		const ignoredCancels = 2;
		const dispatcher = new CountingDispatcher(ignoredCancels);
		const unitOfWork = new SessionUnitOfWork(dispatcher as unknown as Dispatcher);
		const abortController = new AbortController();
		const running = unitOfWork.run(frames, async () => undefined, {mayCommit: true, signal: abortController.signal}, () => intent);
		for (let request = 0; request <= ignoredCancels; request++) {
			unitOfWork.cancel();
		}

		expect(dispatcher.cancelCount).to.equal(ignoredCancels + 1);
		await running;
		unitOfWork.cancel();
		expect(dispatcher.cancelCount).to.equal(ignoredCancels + 1);
		abortController.abort();
	});
});
