import {setImmediate as nextTurn} from 'node:timers/promises';
import {type Clock} from '@crocusloom/model';

/** Blocks work while it is closed. Models a process that is paused or frozen. */
export class Gate {
	private readonly waiters: Array<() => void> = [];
	private isShut = false;

	get isClosed(): boolean {
		return this.isShut;
	}

	close(): void {
		this.isShut = true;
	}

	open(): void {
		this.isShut = false;
		void this.resumeWaiters();
	}

	async waitUntilOpen(): Promise<void> {
		while (this.isShut) {
			await new Promise<void>(resolve => {
				this.waiters.push(resolve);
			});
		}
	}

	/** Resumes the waiting work in the order of arrival and one per event loop turn, as a resumed process handles its events. */
	private async resumeWaiters(): Promise<void> {
		for (const resume of this.waiters.splice(0)) {
			resume();
			await nextTurn();
		}
	}
}

/** Creates the clock of one proxy. Timers that expire while the proxy is paused fire when it resumes. */
export function pausableClock(clock: Clock, gate: Gate): Clock {
	return {
		nowMs: () => clock.nowMs(),
		wallMs: () => clock.wallMs(),
		async sleep(durationMs, signal) {
			await clock.sleep(durationMs, signal);
			await gate.waitUntilOpen();
		},
	};
}
