/**
 * `npm run slopes`: measures the cost of each component at several sizes and fits a line to each series.
 */
import {readFile, writeFile} from 'node:fs/promises';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {formatTargetTable, formatResults} from './markdown.js';
import {measurements} from './measurements.js';
import {runMeasurement} from './runMeasurement.js';
import {computeTargetFigures} from './target.js';
import {type MeasurementResult} from './types.js';

const options = await yargs(hideBin(process.argv))
	.strict()
	.options({
		json: {type: 'boolean', default: false, describe: 'print results as JSON'},
		markdown: {type: 'string', describe: 'file that receives the tables'},
		from: {type: 'string', describe: 'file with the output of --json, to make tables without measuring again'},
		only: {
			type: 'string', array: true, choices: measurements.map(({id}) => id), describe: 'run only these measurements',
		},
	})
	.parse();

async function measureAll(): Promise<readonly MeasurementResult[]> {
	const results: MeasurementResult[] = [];
	for (const measurement of measurements.filter(({id}) => options.only?.includes(id) ?? true)) {
		const result = await runMeasurement(measurement);
		console.error(`${result.id}: ${result.kind} in ${Math.round(result.tookMs)} ms${result.kind === 'failed' ? `: ${result.message}` : ''}`);
		results.push(result);
	}

	return results;
}

const results = options.from === undefined ? await measureAll() : JSON.parse(await readFile(options.from, 'utf8')) as readonly MeasurementResult[];
const tables = `${formatResults(results)}\n${formatTargetTable(computeTargetFigures(results))}`;
if (options.markdown !== undefined) {
	await writeFile(options.markdown, tables);
}

console.log(options.json ? JSON.stringify(results, undefined, '\t') : tables);
process.exitCode = results.some(({kind}) => kind === 'failed') ? 1 : 0;
