/**
 * Development launcher behind `npm start`: starts both deployments on the local host and runs until it is interrupted.
 */
import {once} from 'node:events';
import {writeFile} from 'node:fs/promises';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {Cluster, demoUsers} from './cluster.js';
import {createTables, runDemo} from './demo.js';
import {deployments} from './deployments.js';

const options = await yargs(hideBin(process.argv))
	.strict()
	.options({
		endpoints: {type: 'string', describe: 'file to which the addresses of all processes are written once all are ready'},
		directory: {type: 'string', describe: 'directory of settings files and logs; default: a new temporary directory'},
		deployment: {type: 'string', choices: deployments.map(({name}) => name), describe: 'start only this deployment'},
	})
	.parse();

const stopSignal = Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')]);
const selectedDeployments = deployments.filter(({name}) => options.deployment === undefined || name === options.deployment);
const cluster = new Cluster(selectedDeployments, {directory: options.directory});
const [user, password] = Object.entries(demoUsers)[0]!;

async function startAndRunDemo(): Promise<void> {
	await cluster.start();
	const endpoints = cluster.endpoints();
	console.log(`${endpoints.processes.length} processes are ready; settings files and logs are in ${cluster.directory}`);
	for (const deployment of selectedDeployments) {
		const callers = endpoints.callers.filter(caller => caller.deployment === deployment.name);
		await createTables(deployment, callers[0]!, {user, password});
		for (const line of await runDemo(deployment, callers, {user, password})) {
			console.log(line);
		}

		const [group] = deployment.groups;
		console.log(`psql "host=${callers[0]!.host} port=${callers[0]!.port} user=${user} password=${password} dbname=${group!.name} application_name=${deployment.workloads[0]!.application}"`);
	}

	if (options.endpoints !== undefined) {
		await writeFile(options.endpoints, `${JSON.stringify(endpoints, undefined, '\t')}\n`);
	}
}

const failure = await Promise.race([
	startAndRunDemo().then(() => undefined, (error: unknown) => error),
	stopSignal.then(() => undefined),
]);
if (failure === undefined) {
	console.log('Press Ctrl-C to stop.');
	await stopSignal;
} else {
	console.error(failure instanceof Error ? failure.message : failure);
	process.exitCode = 1;
}

await cluster.stop();
