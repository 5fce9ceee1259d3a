import {type Clock} from '@crocusloom/model';

/** Smoothing factor of the exponential moving average of waits. */
const waitSmoothingFactor = 0.2;
/** Average wait that adds as much to the load score as one unit of work in flight. */
const waitEquivalentToUnitMs = 2;

/** Time for which a replica does not count as caught up after its holder reported it as lagging. Without it, every read would wait there in vain. */
const lagHintMs = 500;

type Load = {inFlight: number; averageWaitMs: number; laggingUntilMs: number};

/** Work in flight and average wait of each database, as observed by this proxy. */
export class DatabaseLoads {
	private readonly loads = new Map<string, Load>();

	constructor(private readonly clock: Clock) {}

	inFlight(database: string): number {
		return this.loads.get(database)?.inFlight ?? 0;
	}

	/** Returns the load score of a database. Lower means less loaded. */
	score(database: string): number {
		const load = this.loads.get(database);
		return load ? load.inFlight + (load.averageWaitMs / waitEquivalentToUnitMs) : 0;
	}

	/** Returns whether the holder of a replica recently reported it as lagging. */
	isLagging(database: string): boolean {
		return (this.loads.get(database)?.laggingUntilMs ?? Number.NEGATIVE_INFINITY) > this.clock.nowMs();
	}

	recordLag(database: string): void {
		this.loadOf(database).laggingUntilMs = this.clock.nowMs() + lagHintMs;
	}

	addInFlight(database: string): void {
		this.loadOf(database).inFlight++;
	}

	removeInFlight(database: string): void {
		this.loadOf(database).inFlight--;
	}

	/**
	 * Adds the wait of a statement to the average. A shed statement counts with its expected wait.
	 * @param waitMs - time from arrival to the granted slot
	 */
	observeWait(database: string, waitMs: number): void {
		const load = this.loadOf(database);
		load.averageWaitMs += (waitMs - load.averageWaitMs) * waitSmoothingFactor;
	}

	private loadOf(database: string): Load {
		let load = this.loads.get(database);
		if (!load) {
			load = {inFlight: 0, averageWaitMs: 0, laggingUntilMs: Number.NEGATIVE_INFINITY};
			this.loads.set(database, load);
		}

		return load;
	}
}
