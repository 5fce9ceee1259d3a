/**
 * `npm run failures`: measures the failover gap in real processes whose primary fails, and checks the recorded histories.
 */
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {measureGaps, summarizeGaps, formatGapTable} from './gapMeasurement.js';
import {primaryFaultNames} from './faults.js';

const {kind, count, seed, json} = await yargs(hideBin(process.argv))
	.strict()
	.options({
		kind: {choices: primaryFaultNames, demandOption: true, describe: 'how the primary fails'},
		count: {type: 'number', default: 20, describe: 'number of failures'},
		seed: {type: 'number', default: 1, describe: 'seed of the load'},
		json: {type: 'boolean', default: false, describe: 'print JSON instead of a Markdown table'},
	})
	.parse();

const report = summarizeGaps(kind, seed, await measureGaps({kind, count, seed}));
console.log(json ? JSON.stringify(report) : formatGapTable([report]));
for (const violation of report.violations) {
	console.error(violation);
}

process.exitCode = report.violations.length > 0 || report.unservedCount > 0 ? 1 : 0;
