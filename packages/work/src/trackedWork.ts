import {
	type ExchangeOptions, type ExchangeResult, type FrameSink, type Work,
} from '@crocusloom/model';
import {type DatabaseLoads} from './databaseLoad.js';

/** A unit of work that is counted as in flight at its database until it is released. */
export class TrackedWork implements Work {
	private isReleased = false;

	constructor(private readonly work: Work, private readonly database: string, private readonly loads: DatabaseLoads) {
		loads.start(database);
	}

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
			this.loads.stop(this.database);
			this.work.release();
		}
	}
}
