/**
 * A worker process of the load tool; the tool starts it and tells it over IPC what to do.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {encodeIntoCompressedBase64} from 'hdr-histogram-js';
import {LoadRun, warmUpMs} from './loadRun.js';
import {checkReadYourWrites} from './readYourWrites.js';
import {
	type FromWorker, type ToWorker, type WorkerResult, type WorkerSpec,
} from './types.js';

function send(message: FromWorker): void {
	process.send!(message);
}

async function run(load: LoadRun, spec: WorkerSpec, startAtMs: number): Promise<WorkerResult> {
	await sleep(Math.max(0, startAtMs - performance.timeOrigin - performance.now()));
	const checking = new AbortController();
	let beganMs = 0;
	let cpuBefore = process.cpuUsage();
	const checks = checkReadYourWrites(spec, checking.signal);
	setTimeout(() => {
		checking.abort();
	}, warmUpMs + spec.durationMs);
	await load.run(() => {
		beganMs = performance.now();
		cpuBefore = process.cpuUsage();
	});
	const cpu = process.cpuUsage(cpuBefore);
	const elapsedMs = performance.now() - beganMs;
	return {
		ranks: load.recorders.map(recorder => recorder.result()),
		inserts: load.inserts,
		writeTimesMs: load.writeTimesMs,
		readYourWrites: await checks,
		ownLag: encodeIntoCompressedBase64(load.ownLag),
		peakOutstanding: load.peakOutstanding,
		cpuShare: (cpu.user + cpu.system) / 1000 / elapsedMs,
	};
}

let prepared: {readonly load: LoadRun; readonly spec: WorkerSpec} | undefined;

async function handle(message: ToWorker): Promise<void> {
	if (message.kind === 'prepare') {
		prepared = {load: new LoadRun(message.spec), spec: message.spec};
		await prepared.load.open();
		send({kind: 'ready'});
		return;
	}

	const result = await run(prepared!.load, prepared!.spec, message.startAtMs);
	send({kind: 'result', result});
}

async function answer(message: ToWorker): Promise<void> {
	try {
		await handle(message);
	} catch (error) {
		send({kind: 'failed', message: error instanceof Error ? (error.stack ?? error.message) : String(error)});
	}
}

process.on('message', (message: ToWorker) => {
	void answer(message);
});
// The tool may end without a word; a worker without it has nothing to do. Open sessions would keep it running.
process.on('disconnect', () => {
	process.kill(process.pid, 'SIGKILL');
});
