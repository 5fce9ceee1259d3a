import {fitLine} from './fit.js';
import {type Measurement, type MeasurementResult} from './types.js';

/** Runs one measurement and fits a line to each series. An error becomes a `failed` result, so that the other measurements still run. */
export async function runMeasurement({id, title, run}: Measurement): Promise<MeasurementResult> {
	const startedAtMs = performance.now();
	try {
		const series = await run();
		const results = series.map(singleSeries => ({...singleSeries, line: fitLine(singleSeries.points)}));
		return {
			kind: 'measured', id, title, tookMs: performance.now() - startedAtMs, results,
		};
	} catch (error) {
		const message = error instanceof Error ? error.message : String(error);
		return {
			kind: 'failed', id, title, tookMs: performance.now() - startedAtMs, message,
		};
	}
}
