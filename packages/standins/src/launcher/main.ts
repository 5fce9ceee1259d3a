/**
 * Development launcher behind `npm start`: starts both deployments on this machine and stays up until it is stopped.
 */
import {once} from 'node:events';
import {writeFile} from 'node:fs/promises';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {Cluster, demoUsers} from './cluster.js';
import {createTables, runOnce} from './demo.js';
import {deployments} from './deployments.js';

const options = await yargs(hideBin(process.argv))
	.strict()
	.options({
		endpoints: {type: 'string', describe: 'file that receives the addresses of all processes once all is ready'},
		directory: {type: 'string', describe: 'directory of settings and logs; default: a new temporary one'},
		deployment: {type: 'string', choices: deployments.map(({name}) => name), describe: 'start only this deployment'},
	})
	.parse();

const stopped = Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')]);
const chosen = deployments.filter(({name}) => options.deployment === undefined || name === options.deployment);
const cluster = new Cluster(chosen, {directory: options.directory});
const [user, password] = Object.entries(demoUsers)[0]!;

async function startAndShow(): Promise<void> {
	await cluster.start();
	const endpoints = cluster.endpoints();
	console.log(`${endpoints.processes.length} processes are ready; settings and logs are in ${cluster.directory}`);
	for (const deployment of chosen) {
		const callers = endpoints.callers.filter(caller => caller.deployment === deployment.name);
		await createTables(deployment, callers[0]!, {user, password});
		for (const line of await runOnce(deployment, callers, {user, password})) {
			console.log(line);
		}

		const [group] = deployment.groups;
		console.log(`psql "host=${callers[0]!.host} port=${callers[0]!.port} user=${user} password=${password} dbname=${group!.name} application_name=${deployment.work[0]!.application}"`);
	}

	if (options.endpoints !== undefined) {
		await writeFile(options.endpoints, `${JSON.stringify(endpoints, undefined, '\t')}\n`);
	}
}

const failure = await Promise.race([
	startAndShow().then(() => undefined, (error: unknown) => error),
	stopped.then(() => undefined),
]);
if (failure === undefined) {
	console.log('Press Ctrl-C to stop.');
	await stopped;
} else {
	console.error(failure instanceof Error ? failure.message : failure);
	process.exitCode = 1;
}

await cluster.stop();
