/**
 * Switches by which tests cause failures of a backend server.
 */
import {EventEmitter} from 'node:events';
import {type StatementKind} from './statements.js';

export type FaultSettings = {
	/** Nothing is read or answered on any connection, and no record is applied; connections stay open. */
	readonly frozen: boolean;
	/** Peers cut off: addresses, `address:port` pairs, or application names. Connections stay open and silent. */
	readonly cut: readonly string[];
	/** Delay between receiving a record and applying it. */
	readonly lagMs: number;
	/** Records are received and not applied. */
	readonly replicationPaused: boolean;
	/** Number of exchanges whose answer is replaced by a closed connection, after their effect. */
	readonly dropAnswers: number;
	/** Only exchanges with a statement of one of these kinds count; none named means all but control functions. */
	readonly dropKinds: readonly StatementKind[];
	readonly serviceMs: number;
	readonly writeServiceMs: number;
};

/** Names by which a connection can be cut off. */
export type PeerNames = readonly string[];

// eslint-disable-next-line unicorn/prefer-event-target -- an EventTarget would need an event object for each record
export class Faults extends EventEmitter<{change: []}> {
	constructor(private current: FaultSettings) {
		super();
		this.setMaxListeners(0);
	}

	get settings(): FaultSettings {
		return this.current;
	}

	/** @throws Error if a name is unknown or a value has another type than the present one */
	set(change: Partial<FaultSettings>): FaultSettings {
		for (const [name, value] of Object.entries(change)) {
			const present = Object.hasOwn(this.current, name) ? this.current[name as keyof FaultSettings] : undefined;
			if (typeof present !== typeof value || Array.isArray(present) !== Array.isArray(value)) {
				throw new TypeError(`${name}: unknown switch or wrong type of value`);
			}
		}

		this.current = {...this.current, ...change};
		this.emit('change');
		return this.current;
	}

	/** True while nothing passes between this server and the peer. */
	isHeld(names: PeerNames): boolean {
		return this.current.frozen || names.some(name => this.current.cut.includes(name));
	}

	/** Waits until messages pass. @throws the signal's reason when it aborts */
	async untilOpen(names: PeerNames, signal: AbortSignal): Promise<void> {
		signal.throwIfAborted();
		while (this.isHeld(names)) {
			await this.nextChange(signal);
		}
	}

	/** Waits for the next change of a switch. @throws the signal's reason when it aborts */
	async nextChange(signal: AbortSignal): Promise<void> {
		signal.throwIfAborted();
		await new Promise<void>(resolve => {
			const done = () => {
				this.off('change', done);
				signal.removeEventListener('abort', done);
				resolve();
			};

			this.on('change', done);
			signal.addEventListener('abort', done);
		});
		signal.throwIfAborted();
	}

	/** Takes one dropped answer if one is due for an exchange that ran these kinds of statement. */
	takeDrop(kinds: ReadonlySet<StatementKind>): boolean {
		const {dropAnswers, dropKinds} = this.current;
		const counts = dropKinds.length === 0 ? [...kinds].some(kind => kind !== 'control') : dropKinds.some(kind => kinds.has(kind));
		if (dropAnswers <= 0 || !counts) {
			return false;
		}

		this.current = {...this.current, dropAnswers: dropAnswers - 1};
		return true;
	}
}
