/**
 * A requester: it opens a session, sets a value of its own, runs a few single statements with pauses, and starts anew.
 */
import {connect} from 'node:net';
import {randomBytes} from 'node:crypto';
import {onLine} from './lines.js';

const startupLimitMs = 2000;
const statementsPerSession = 1;

const sleep = async durationMs => new Promise(resolve => {
	setTimeout(resolve, durationMs);
});

export class Requester {
	/**
	 * @param options - `ports` returns the front ports in the order of preference, `database` is the name of a route, `writeShare`,
	 * `pauseMs` between two statements, `deadlineMs` of a statement, `record` receives each statement with its outcome
	 */
	constructor(name, options) {
		Object.assign(this, {name, ...options});
		this.attempts = 0;
	}

	async run(isStopped) {
		await sleep(Math.random() * this.pauseMs);
		while (!isStopped()) {
			const {ports} = this;
			const port = ports[this.attempts % ports.length];
			this.attempts++;
			await this.runSession(port, isStopped);
			await sleep(this.pauseMs * (0.5 + Math.random()));
		}
	}

	async runSession(port, isStopped) {
		const socket = connect({host: '127.0.0.1', port, noDelay: true});
		const state = {wake: undefined, lines: []};
		socket.on('error', () => undefined);
		socket.on('close', () => {
			state.isClosed = true;
			state.wake?.();
		});
		onLine(socket, line => {
			state.lines.push(line);
			state.wake?.();
		});
		try {
			socket.write(`STARTUP ${this.database} ${this.name}\r\n`);
			const started = await this.readAnswer(state, startupLimitMs);
			if (!started?.isReady) {
				this.recordOutcome({
					port, text: 'STARTUP', id: '-', outcome: started?.error ?? 'no READY',
				});
				return;
			}

			if (!await this.ask(socket, state, port, `SET tenant t-${randomBytes(3).toString('hex')}`)) {
				return;
			}

			for (let index = 0; index < statementsPerSession && !isStopped(); index++) {
				const isWrite = Math.random() < this.writeShare;
				if (!await this.ask(socket, state, port, isWrite ? `WRITE ${index + 1}a4 data` : `READ ${index + 1}a4`)) {
					return;
				}

				await sleep(this.pauseMs * (0.5 + Math.random()));
			}

			socket.write('TERMINATE\r\n');
		} finally {
			socket.destroy();
		}
	}

	/** Sends a statement and records its outcome. Returns false if the session is to be closed. */
	async ask(socket, state, port, text) {
		const id = randomBytes(8).toString('hex');
		const sentMs = performance.now();
		socket.write(`QUERY ${id} ${text}\r\n`);
		const answer = await this.readAnswer(state, this.deadlineMs);
		const outcome = answer === undefined ? (state.isClosed ? 'closed without an answer' : 'no answer') : (answer.error ?? 'ok');
		this.recordOutcome({
			port, text, id, outcome, sentMs,
		});
		return answer?.error === undefined && answer !== undefined;
	}

	async readAnswer(state, limitMs) {
		const deadlineMs = performance.now() + limitMs;
		let error;
		for (;;) {
			const line = state.lines.shift();
			if (line?.startsWith('ERROR ')) {
				error = line.slice('ERROR '.length);
			} else if (line?.startsWith('READY ')) {
				return {isReady: true, error};
			} else if (line === undefined) {
				const remainingMs = deadlineMs - performance.now();
				if (remainingMs <= 0 || state.isClosed) {
					return error === undefined ? undefined : {isReady: false, error};
				}

				await new Promise(resolve => {
					const timer = setTimeout(resolve, remainingMs);
					state.wake = () => {
						clearTimeout(timer);
						resolve();
					};
				});
				state.wake = undefined;
			}
		}
	}

	recordOutcome({port, text, id, outcome, sentMs = performance.now()}) {
		this.record({
			isOperation: /^(?:READ|WRITE) /v.test(text),
			sentMs, tookMs: performance.now() - sentMs, requester: this.name, database: this.database, port, id, text, outcome,
		});
	}
}
