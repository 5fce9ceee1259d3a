import {fork, type ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {warmUpMs} from './loadRun.js';
import {
	type FromWorker, type ToWorker, type WorkerResult, type WorkerSpec,
} from './types.js';

const script = fileURLToPath(new URL('workerMain.js', import.meta.url));
/** Time between the signal to start and the first arrival, so that all workers start together. */
const startDelayMs = 200;

/** The worker processes of one run. */
export class Workers {
	/** Starts the workers and waits until their connections are open. @throws Error if one fails */
	static async prepare(specs: readonly WorkerSpec[]): Promise<Workers> {
		const workers = new Workers(specs.map(() => fork(script)));
		try {
			await Promise.all(workers.children.map(async (child, index) => ask(child, {kind: 'prepare', spec: specs[index]!}, 'ready')));
			return workers;
		} catch (error) {
			workers.stop();
			throw error;
		}
	}

	private constructor(private readonly children: readonly ChildProcess[]) {}

	/**
	 * Runs the load.
	 * @param onStart - called with the time of the first arrival, in milliseconds of the epoch
	 */
	async run(onStart: (startAtMs: number) => void): Promise<readonly WorkerResult[]> {
		const startAtMs = performance.timeOrigin + performance.now() + startDelayMs;
		// The workers' clocks start the measured load this long after the signal.
		onStart(startAtMs + warmUpMs);
		try {
			const answers = await Promise.all(this.children.map(async child => ask(child, {kind: 'go', startAtMs}, 'result')));
			return answers.flatMap(answer => answer.kind === 'result' ? [answer.result] : []);
		} finally {
			this.stop();
		}
	}

	stop(): void {
		for (const child of this.children) {
			child.kill('SIGKILL');
		}
	}
}

async function ask(child: ChildProcess, message: ToWorker, expected: FromWorker['kind']): Promise<FromWorker> {
	return new Promise((resolve, reject) => {
		child.once('message', (answer: FromWorker) => {
			if (answer.kind === expected) {
				resolve(answer);
			} else {
				reject(new Error(`a worker answered ${JSON.stringify(answer)}`));
			}
		});
		child.once('exit', code => {
			reject(new Error(`a worker ended with ${code ?? 'a signal'}`));
		});
		child.send(message);
	});
}
