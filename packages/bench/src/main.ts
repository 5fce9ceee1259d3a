/**
 * Command line of the load and experiment tool.
 */
import {deployments} from '@crocusloom/standins';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {readMachineInfo} from './machine.js';
import {writeMarkdown, writePlot} from './output.js';
import {renderResult} from './report.js';
import {
	experimentName, experimentNames, productViolations, runExperiment, type ExperimentResult,
} from './run.js';

const options = await yargs(hideBin(process.argv))
	.strict()
	.options({
		experiment: {type: 'string', choices: experimentNames, describe: 'experiment to run'},
		all: {type: 'boolean', default: false, describe: 'run every experiment in turn'},
		seed: {type: 'number', default: 1, describe: 'seed of arrivals and requests'},
		json: {type: 'boolean', default: false, describe: 'print the results as JSON'},
		deployment: {type: 'string', choices: deployments.map(({name}) => name), describe: 'run only this deployment'},
		seconds: {type: 'number', describe: 'duration of the load in seconds; default: that of the experiment'},
		workers: {type: 'number', default: 2, describe: 'number of load processes'},
		'flood-connections': {type: 'number', describe: 'maximum connections of the flooding rank in one load process'},
		'lag-ms': {type: 'number', default: 0, describe: 'delay in milliseconds before replicas apply records'},
		plot: {type: 'boolean', default: false, describe: 'write docs/plots/NAME.svg'},
		markdown: {type: 'string', describe: 'write the measurements page to this file, and its plots to plots/ next to it'},
	})
	.check(({experiment, all}) => experiment !== undefined || all || 'either --experiment or --all is required')
	.check(({seconds, workers}) => ((seconds ?? 1) > 0 && (seconds ?? 1) <= 60 && workers >= 1 && workers <= 2) || '--seconds must be greater than 0 and at most 60, --workers must be 1 or 2')
	.parse();

const machine = readMachineInfo();
const names = options.all ? experimentNames : [options.experiment!];
const results: ExperimentResult[] = [];
for (const name of names) {
	results.push(await runExperiment(name, {
		deployments: deployments.filter(deployment => options.deployment === undefined || deployment.name === options.deployment),
		seed: options.seed,
		durationMs: options.seconds === undefined ? undefined : options.seconds * 1000,
		workers: options.workers,
		floodConnections: options.floodConnections,
		databaseArgs: options.lagMs > 0 ? ['--lag-ms', String(options.lagMs)] : [],
		onProgress(text) {
			console.error(text);
		},
	}));
}

if (options.json) {
	const output = results.map(result => ({
		experiment: experimentName(result),
		results: result.kind === 'hop' ? result.results : result.phases.map(({summary}) => summary),
		violations: productViolations(result),
	}));
	console.log(JSON.stringify({seed: options.seed, machine, experiments: output}, undefined, '\t'));
} else {
	console.log(results.map(result => renderResult(result)).join('\n'));
}

if (options.markdown !== undefined) {
	const command = `npm run bench -- ${hideBin(process.argv).join(' ')}`;
	await writeMarkdown(options.markdown, {command, machine, results});
} else if (options.plot) {
	for (const result of results) {
		await writePlot('docs/plots', result);
	}
}

const violations = results.flatMap(result => productViolations(result).map(text => `${experimentName(result)}: ${text}`));
for (const text of violations) {
	console.error(`violation: ${text}`);
}

process.exitCode = violations.length > 0 ? 1 : 0;
