import {type Clock} from '@crocusloom/model';

/** Weight of the newest wait in the moving mean. */
const waitMeanWeight = 0.2;
/** Wait that counts as much as one unit of work in flight. */
const waitPerUnitMs = 2;

/** Time for which a replica that its holder found behind is passed over, so that not each read waits in vain. */
const lagMemoryMs = 500;

type Load = {inFlight: number; meanWaitMs: number; behindUntilMs: number};

/** Work in flight and observed wait of each database, as this proxy sees them. */
export class DatabaseLoads {
	private readonly loads = new Map<string, Load>();

	constructor(private readonly clock: Clock) {}

	inFlight(database: string): number {
		return this.loads.get(database)?.inFlight ?? 0;
	}

	/** Lower is better. */
	score(database: string): number {
		const load = this.loads.get(database);
		return load ? load.inFlight + (load.meanWaitMs / waitPerUnitMs) : 0;
	}

	/** Tells whether a replica was found behind a moment ago. */
	lagsBehind(database: string): boolean {
		return (this.loads.get(database)?.behindUntilMs ?? Number.NEGATIVE_INFINITY) > this.clock.nowMs();
	}

	noteBehind(database: string): void {
		this.of(database).behindUntilMs = this.clock.nowMs() + lagMemoryMs;
	}

	start(database: string): void {
		this.of(database).inFlight++;
	}

	stop(database: string): void {
		this.of(database).inFlight--;
	}

	/**
	 * Notes the wait of a statement; a shed statement counts with the wait that was expected.
	 * @param waitMs - time between arrival and slot
	 */
	observeWait(database: string, waitMs: number): void {
		const load = this.of(database);
		load.meanWaitMs += (waitMs - load.meanWaitMs) * waitMeanWeight;
	}

	private of(database: string): Load {
		let load = this.loads.get(database);
		if (!load) {
			load = {inFlight: 0, meanWaitMs: 0, behindUntilMs: Number.NEGATIVE_INFINITY};
			this.loads.set(database, load);
		}

		return load;
	}
}
