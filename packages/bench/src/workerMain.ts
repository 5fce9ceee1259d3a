/**
 * Entry point of a worker process. The tool forks it and sends it commands over IPC.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {encodeIntoCompressedBase64} from 'hdr-histogram-js';
import {LoadGenerator, warmUpMs} from './loadGenerator.js';
import {checkReadYourWrites} from './readYourWrites.js';
import {
	type WorkerCommand, type WorkerReply, type WorkerResult, type WorkerSpec,
} from './types.js';

function send(message: WorkerReply): void {
	process.send!(message);
}

async function runLoad(generator: LoadGenerator, spec: WorkerSpec, startAtMs: number): Promise<WorkerResult> {
	await sleep(Math.max(0, startAtMs - performance.timeOrigin - performance.now()));
	const checkAbort = new AbortController();
	let measuredStartMs = 0;
	let cpuBefore = process.cpuUsage();
	const checks = checkReadYourWrites(spec, checkAbort.signal);
	setTimeout(() => {
		checkAbort.abort();
	}, warmUpMs + spec.durationMs);
	await generator.run(() => {
		measuredStartMs = performance.now();
		cpuBefore = process.cpuUsage();
	});
	const cpu = process.cpuUsage(cpuBefore);
	const elapsedMs = performance.now() - measuredStartMs;
	return {
		ranks: generator.recorders.map(recorder => recorder.toResult()),
		inserts: generator.inserts,
		writeTimesMs: generator.writeTimesMs,
		readYourWrites: await checks,
		ownLag: encodeIntoCompressedBase64(generator.schedulingLag),
		peakOutstanding: generator.peakOutstanding,
		cpuShare: (cpu.user + cpu.system) / 1000 / elapsedMs,
	};
}

let prepared: {readonly generator: LoadGenerator; readonly spec: WorkerSpec} | undefined;

async function handleCommand(command: WorkerCommand): Promise<void> {
	if (command.kind === 'prepare') {
		prepared = {generator: new LoadGenerator(command.spec), spec: command.spec};
		await prepared.generator.open();
		send({kind: 'ready'});
		return;
	}

	const result = await runLoad(prepared!.generator, prepared!.spec, command.startAtMs);
	send({kind: 'result', result});
}

async function handleAndReportErrors(command: WorkerCommand): Promise<void> {
	try {
		await handleCommand(command);
	} catch (error) {
		send({kind: 'failed', message: error instanceof Error ? (error.stack ?? error.message) : String(error)});
	}
}

process.on('message', (message: WorkerCommand) => {
	void handleAndReportErrors(message);
});
// Open sessions keep the event loop alive, so the worker kills itself when the tool exits and closes the IPC channel.
process.on('disconnect', () => {
	process.kill(process.pid, 'SIGKILL');
});
