import {
	cpus, freemem, loadavg, totalmem,
} from 'node:os';

/** Hardware, memory, Node.js version and load of the machine that runs the tool. */
export type MachineInfo = {
	readonly cores: number;
	readonly model: string;
	readonly memoryGib: number;
	readonly freeMemoryGib: number;
	readonly node: string;
	/** Load averages over 1, 5 and 15 minutes. */
	readonly loadAverage: readonly number[];
	readonly startedAt: string;
};

const gib = 1024 ** 3;

/** Reads the current information about this machine. */
export function readMachineInfo(): MachineInfo {
	return {
		cores: cpus().length,
		model: cpus()[0]?.model ?? 'unknown',
		memoryGib: Math.round(totalmem() / gib),
		freeMemoryGib: Math.round(freemem() / gib),
		node: process.version,
		loadAverage: loadavg().map(load => Math.round(load * 100) / 100),
		startedAt: new Date().toISOString(),
	};
}
