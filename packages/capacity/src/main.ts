/**
 * `npm run slopes`: measures what each part costs at several sizes and fits lines.
 */
import {writeFile} from 'node:fs/promises';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {toMarkdown} from './markdown.js';
import {measurements} from './measurements.js';
import {runMeasurement} from './runMeasurements.js';
import {type MeasurementResult} from './types.js';

const options = await yargs(hideBin(process.argv))
	.strict()
	.options({
		json: {type: 'boolean', default: false, describe: 'print results as JSON'},
		markdown: {type: 'string', describe: 'file that receives the tables'},
		only: {
			type: 'string', array: true, choices: measurements.map(({id}) => id), describe: 'run only these measurements',
		},
	})
	.parse();

const results: MeasurementResult[] = [];
for (const measurement of measurements.filter(({id}) => options.only?.includes(id) ?? true)) {
	const result = await runMeasurement(measurement);
	console.error(`${result.id}: ${result.kind} in ${Math.round(result.tookMs)} ms${result.kind === 'failed' ? `: ${result.message}` : ''}`);
	results.push(result);
}

if (options.markdown !== undefined) {
	await writeFile(options.markdown, toMarkdown(results));
}

console.log(options.json ? JSON.stringify(results, undefined, '\t') : toMarkdown(results));
process.exitCode = results.some(({kind}) => kind === 'failed') ? 1 : 0;
