/**
 * A process that the launcher started.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {openSync, closeSync} from 'node:fs';
import {createInterface} from 'node:readline';
import {setTimeout as sleep} from 'node:timers/promises';

export type ProcessSpec = {
	readonly name: string;
	/** JavaScript file to run. */
	readonly script: string;
	readonly args: readonly string[];
	/** File that takes standard error, and standard output unless the ready line is read from it. */
	readonly logFile: string;
	/** True if the process prints a JSON line when it is ready. */
	readonly printsReady: boolean;
};

/** Line that a stand-in prints when it listens. */
export type ReadyLine = {readonly ready: true; readonly port: number; readonly controlPort?: number};

/** Time that a process may take to end before it is killed. */
const stopLimitMs = 8000;
/** Time that a stand-in may take to print its ready line. */
const readyLimitMs = 30_000;

export class ManagedProcess {
	private child?: ChildProcess;
	private exitedPromise: Promise<void> = Promise.resolve();

	constructor(readonly spec: ProcessSpec) {}

	/** Process id; undefined while it does not run. */
	get pid(): number | undefined {
		return this.isRunning ? this.child?.pid : undefined;
	}

	get isRunning(): boolean {
		return this.child?.exitCode === null && this.child.signalCode === null;
	}

	/** Resolves when the process has ended. */
	get exited(): Promise<void> {
		return this.exitedPromise;
	}

	/**
	 * Starts the process.
	 * @param args - arguments in place of those of the specification
	 * @returns its ready line; undefined if it prints none
	 * @throws Error if it ends before it is ready
	 */
	async start(args = this.spec.args): Promise<ReadyLine | undefined> {
		const {name, script, logFile, printsReady} = this.spec;
		const log = openSync(logFile, 'a');
		const child = spawn(process.execPath, [script, ...args], {stdio: ['ignore', printsReady ? 'pipe' : log, log]});
		closeSync(log);
		this.child = child;
		this.exitedPromise = new Promise(resolve => {
			child.once('error', () => {
				resolve();
			});
			child.once('exit', () => {
				resolve();
			});
		});
		return printsReady ? this.readReadyLine(child, name) : undefined;
	}

	/** Sends a signal, for example SIGSTOP, SIGCONT or SIGKILL. @returns false if the process does not run */
	signal(signal: NodeJS.Signals): boolean {
		return this.isRunning && this.child!.kill(signal);
	}

	/** Ends the process with SIGTERM, and with SIGKILL if it takes too long. */
	async stop(): Promise<void> {
		if (!this.isRunning) {
			return;
		}

		// A stopped process does not handle SIGTERM until it continues.
		this.signal('SIGCONT');
		this.signal('SIGTERM');
		const limit = new AbortController();
		const timedOut = sleep(stopLimitMs, true, {signal: limit.signal}).catch(() => false);
		const isLate = await Promise.race([this.exited.then(() => false), timedOut]);
		limit.abort();
		if (isLate) {
			this.signal('SIGKILL');
		}

		await this.exited;
	}

	private async readReadyLine(child: ChildProcess, name: string): Promise<ReadyLine> {
		const lines = createInterface({input: child.stdout!});
		const limit = new AbortController();
		const first = new Promise<string | undefined>(resolve => {
			lines.once('line', resolve);
			lines.once('close', () => {
				resolve(undefined);
			});
		});
		const timeout = sleep(readyLimitMs, undefined, {signal: limit.signal}).catch(() => undefined);
		const line = await Promise.race([first, timeout]);
		limit.abort();
		child.stdout!.resume();
		if (line === undefined) {
			throw new Error(`${name} ended or printed nothing before it was ready; see ${this.spec.logFile}`);
		}

		return JSON.parse(line) as ReadyLine;
	}
}
