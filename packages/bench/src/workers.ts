import {fork, type ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {warmUpMs} from './loadGenerator.js';
import {
	type WorkerCommand, type WorkerReply, type WorkerResult, type WorkerSpec,
} from './types.js';

const workerScript = fileURLToPath(new URL('workerMain.js', import.meta.url));
/** Delay between the start command and the start of the warm-up, so that all workers start at the same time. */
const startDelayMs = 200;

/** Worker processes of one load run. */
export class Workers {
	/** Starts one worker per spec and waits until all connections are open. @throws Error if a worker fails */
	static async prepare(specs: readonly WorkerSpec[]): Promise<Workers> {
		const workers = new Workers(specs.map(() => fork(workerScript)));
		try {
			await Promise.all(workers.children.map(async (child, index) => request(child, {kind: 'prepare', spec: specs[index]!}, 'ready')));
			return workers;
		} catch (error) {
			workers.stop();
			throw error;
		}
	}

	private constructor(private readonly children: readonly ChildProcess[]) {}

	/**
	 * Runs the load and stops the workers.
	 * @param onStart - called with the start of the measured load, in milliseconds since the epoch
	 * @throws Error if a worker fails
	 */
	async run(onStart: (startAtMs: number) => void): Promise<readonly WorkerResult[]> {
		const startAtMs = performance.timeOrigin + performance.now() + startDelayMs;
		// The measured load starts after the warm-up.
		onStart(startAtMs + warmUpMs);
		try {
			const replies = await Promise.all(this.children.map(async child => request(child, {kind: 'go', startAtMs}, 'result')));
			return replies.flatMap(reply => reply.kind === 'result' ? [reply.result] : []);
		} finally {
			this.stop();
		}
	}

	/** Kills all worker processes. */
	stop(): void {
		for (const child of this.children) {
			child.kill('SIGKILL');
		}
	}
}

async function request(child: ChildProcess, message: WorkerCommand, expected: WorkerReply['kind']): Promise<WorkerReply> {
	return new Promise((resolve, reject) => {
		child.once('message', (reply: WorkerReply) => {
			if (reply.kind === expected) {
				resolve(reply);
			} else {
				reject(new Error(`unexpected worker reply: ${JSON.stringify(reply)}`));
			}
		});
		child.once('exit', code => {
			reject(new Error(`worker process exited with code ${code ?? 'none (killed by a signal)'}`));
		});
		child.send(message);
	});
}
