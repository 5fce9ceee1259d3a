/**
 * Clock and random source of the operating system, and no-op metrics, logger and tracer.
 */
import {setTimeout as sleepFor} from 'node:timers/promises';
import {
	type Clock, type Logger, type Metrics, type RandomSource, type Tracer,
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

function noop(): void {
	// Shared by the no-op metrics, logger and tracer.
}

export const noopMetrics: Metrics = {
	count: noop,
	gauge: noop,
	observeMs: noop,
};

export const noopLogger: Logger = {
	info: noop,
	warn: noop,
	error: noop,
};

export const noopTracer: Tracer = {
	start: (_name, parent) => ({traceparent: parent ?? '', end: noop}),
};
