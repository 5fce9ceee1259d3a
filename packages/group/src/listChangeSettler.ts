import {type Logger, noopLogger} from '@crocusloom/model';
import {type GroupMonitor} from './groupMonitor.js';
import {listChangeCheckIntervalMs, listChangeWaitMs} from './timing.js';

export type ListChangeSettlerOptions = {
	/** Monitor that was started with the databases before the change. */
	readonly monitor: GroupMonitor;
	/** Records in the platform's store that the change to a generation is in force. Returns false if that is not known. */
	readonly settle: (generation: number, signal: AbortSignal) => Promise<boolean>;
	readonly log?: Logger;
};

/** Records that a change of the databases is in force, as soon as the databases prove it. Each monitor of the group does so. */
export class ListChangeSettler {
	constructor(private readonly options: ListChangeSettlerOptions) {}

	/** Repeats the check until the change is recorded or the monitor is closed. */
	async run(): Promise<void> {
		const {monitor, log = noopLogger} = this.options;
		const {signal, options: {clock, group}, generation} = monitor;
		try {
			while (!await this.trySettle()) {
				await clock.sleep(listChangeCheckIntervalMs, signal);
			}
		} catch (error) {
			if (!signal.aborted) {
				throw error;
			}

			return;
		}

		log.info({group, generation}, 'the change of the databases is in force');
	}

	private async trySettle(): Promise<boolean> {
		const {monitor, settle} = this.options;
		try {
			return await monitor.isListInForce(listChangeWaitMs, monitor.signal) && await settle(monitor.generation, monitor.signal);
		} catch {
			// Without a confirmed primary or the store the change stays as it is, and the next check decides.
			return false;
		}
	}
}
