/**
 * Adapters of the clock and the random source for running processes.
 */
import {setTimeout as sleepFor} from 'node:timers/promises';
import {
	type Clock, type Log, type Metrics, type RandomSource, type Tracer,
} from './ports.js';

export const systemClock: Clock = {
	nowMs: () => performance.now(),
	wallMs: () => Date.now(),
	async sleep(durationMs, signal) {
		await sleepFor(durationMs, undefined, {signal});
	},
};

export const systemRandom: RandomSource = {
	next: () => Math.random(),
};

function ignore(): void {
	// Adapters that record nothing share this.
}

export const noMetrics: Metrics = {
	count: ignore,
	gauge: ignore,
	observeMs: ignore,
};

export const noLog: Log = {
	info: ignore,
	warn: ignore,
	error: ignore,
};

export const noTracer: Tracer = {
	start: (_name, parent) => ({traceparent: parent ?? '', end: ignore}),
};
