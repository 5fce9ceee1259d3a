import {
	type ExchangeOptions, type ExchangeResult, type FrameSink, type UnitOfWork,
} from '@crocusloom/model';
import {type DatabaseLoads} from './databaseLoad.js';

/** A unit of work that counts as in flight at its database until it is released. */
export class TrackedWork implements UnitOfWork {
	private isReleased = false;

	/**
	 * @param work - the open unit of work
	 * @param database - the database at which it runs
	 * @param loads - counts of work in flight, which include this unit of work already
	 */
	constructor(private readonly work: UnitOfWork, private readonly database: string, private readonly loads: DatabaseLoads) {}

	async exchange(frames: Buffer, sink: FrameSink, options: ExchangeOptions): Promise<ExchangeResult> {
		const result = await this.work.exchange(frames, sink, options);
		this.loads.observeWait(this.database, result.waitMs);
		return result;
	}

	cancel(): void {
		this.work.cancel();
	}

	release(): void {
		if (!this.isReleased) {
			this.isReleased = true;
			this.loads.removeInFlight(this.database);
			this.work.release();
		}
	}
}
