/**
 * Child processes of the launcher.
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
	/** File for standard error, and for standard output unless the ready line is read from it. */
	readonly logFile: string;
	/** True if the process prints a `ReadyLine` as JSON when it is ready. */
	readonly hasReadyLine: boolean;
};

/** Line that a stand-in prints on standard output once it listens. */
export type ReadyLine = {readonly ready: true; readonly port: number; readonly controlPort?: number};

/** Time from SIGTERM until a process that has not exited is killed. */
const stopTimeoutMs = 8000;
/** Timeout for the ready line of a stand-in. */
const readyTimeoutMs = 30_000;

/** A child process that can be started again after it has exited. */
export class ManagedProcess {
	private child?: ChildProcess;
	private exitedPromise: Promise<void> = Promise.resolve();

	constructor(readonly spec: ProcessSpec) {}

	/** Process id; undefined while the process is not running. */
	get pid(): number | undefined {
		return this.isRunning ? this.child?.pid : undefined;
	}

	get isRunning(): boolean {
		return this.child?.exitCode === null && this.child.signalCode === null;
	}

	/** Resolves when the process has exited. */
	get exited(): Promise<void> {
		return this.exitedPromise;
	}

	/**
	 * Starts the process.
	 * @param args - arguments that replace those of the specification
	 * @returns the ready line; undefined if the process prints none
	 * @throws Error if the process exits or the timeout passes before the ready line
	 */
	async start(args = this.spec.args): Promise<ReadyLine | undefined> {
		const {name, script, logFile, hasReadyLine} = this.spec;
		const log = openSync(logFile, 'a');
		const child = spawn(process.execPath, [script, ...args], {stdio: ['ignore', hasReadyLine ? 'pipe' : log, log]});
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
		return hasReadyLine ? this.readReadyLine(child, name) : undefined;
	}

	/** Sends a signal, for example SIGSTOP, SIGCONT or SIGKILL. @returns false if the process is not running */
	signal(signal: NodeJS.Signals): boolean {
		return this.isRunning && this.child!.kill(signal);
	}

	/** Stops the process with SIGTERM, and with SIGKILL after a timeout. */
	async stop(): Promise<void> {
		if (!this.isRunning) {
			return;
		}

		// A process paused by SIGSTOP does not handle SIGTERM until it is resumed.
		this.signal('SIGCONT');
		this.signal('SIGTERM');
		const timeoutController = new AbortController();
		const timeout = sleep(stopTimeoutMs, true, {signal: timeoutController.signal}).catch(() => false);
		const hasTimedOut = await Promise.race([this.exited.then(() => false), timeout]);
		timeoutController.abort();
		if (hasTimedOut) {
			this.signal('SIGKILL');
		}

		await this.exited;
	}

	private async readReadyLine(child: ChildProcess, name: string): Promise<ReadyLine> {
		const lines = createInterface({input: child.stdout!});
		const timeoutController = new AbortController();
		const firstLine = new Promise<string | undefined>(resolve => {
			lines.once('line', resolve);
			lines.once('close', () => {
				resolve(undefined);
			});
		});
		const timeout = sleep(readyTimeoutMs, undefined, {signal: timeoutController.signal}).catch(() => undefined);
		const line = await Promise.race([firstLine, timeout]);
		timeoutController.abort();
		child.stdout!.resume();
		if (line === undefined) {
			throw new Error(`${name} exited or timed out before it printed its ready line; see ${this.spec.logFile}`);
		}

		return JSON.parse(line) as ReadyLine;
	}
}
