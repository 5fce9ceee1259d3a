/**
 * Faults that tests inject into a backend server.
 */
import {EventEmitter} from 'node:events';
import {type StatementKind} from './statements.js';

export type FaultSettings = {
	/** No connection is read or written and no record is applied. Connections stay open. */
	readonly frozen: boolean;
	/** Peers that are cut off, as addresses, `address:port` pairs or application names. Their connections stay open without traffic. */
	readonly cut: readonly string[];
	/** Delay between receiving a record and applying it. */
	readonly lagMs: number;
	/** Records are received but not applied. */
	readonly replicationPaused: boolean;
	/** Number of exchanges that are executed and whose connection is then closed without a response. */
	readonly dropAnswers: number;
	/** Kinds of statements to which `dropAnswers` applies; empty: all kinds except `control`. */
	readonly dropKinds: readonly StatementKind[];
	/** Time that a statement takes. */
	readonly serviceMs: number;
	/** Time that a write takes. */
	readonly writeServiceMs: number;
};

/** Names of a peer by which `cut` can select it. */
export type PeerNames = readonly string[];

/** Current fault settings of a server. Emits `change` when they are set. */
// eslint-disable-next-line unicorn/prefer-event-target -- an EventTarget would need an event object for each change
export class Faults extends EventEmitter<{change: []}> {
	constructor(private currentSettings: FaultSettings) {
		super();
		this.setMaxListeners(0);
	}

	get settings(): FaultSettings {
		return this.currentSettings;
	}

	/** Changes fault settings. @throws TypeError if a name is unknown or the type of a value differs from that of the setting */
	set(change: Partial<FaultSettings>): FaultSettings {
		for (const [name, value] of Object.entries(change)) {
			const currentValue = Object.hasOwn(this.currentSettings, name) ? this.currentSettings[name as keyof FaultSettings] : undefined;
			if (typeof currentValue !== typeof value || Array.isArray(currentValue) !== Array.isArray(value)) {
				throw new TypeError(`${name}: unknown fault setting or wrong type of value`);
			}
		}

		this.currentSettings = {...this.currentSettings, ...change};
		this.emit('change');
		return this.currentSettings;
	}

	/** Checks whether traffic between this server and the peer is held back. */
	isBlocked(peerNames: PeerNames): boolean {
		return this.currentSettings.frozen || peerNames.some(name => this.currentSettings.cut.includes(name));
	}

	/** Waits until traffic with the peer is no longer held back. @throws the reason of the signal when it aborts */
	async waitUntilUnblocked(peerNames: PeerNames, signal: AbortSignal): Promise<void> {
		signal.throwIfAborted();
		while (this.isBlocked(peerNames)) {
			await this.waitForChange(signal);
		}
	}

	/** Waits for the next change of a setting. @throws the reason of the signal when it aborts */
	async waitForChange(signal: AbortSignal): Promise<void> {
		signal.throwIfAborted();
		await new Promise<void>(resolve => {
			const finish = () => {
				this.off('change', finish);
				signal.removeEventListener('abort', finish);
				resolve();
			};

			this.on('change', finish);
			signal.addEventListener('abort', finish);
		});
		signal.throwIfAborted();
	}

	/**
	 * Decides whether the response to an exchange is dropped, and decrements `dropAnswers` if so.
	 * @param kinds - kinds of the statements that the exchange ran
	 */
	consumeDroppedAnswer(kinds: ReadonlySet<StatementKind>): boolean {
		const {dropAnswers, dropKinds} = this.currentSettings;
		const isMatching = dropKinds.length === 0 ? [...kinds].some(kind => kind !== 'control') : dropKinds.some(kind => kinds.has(kind));
		if (dropAnswers <= 0 || !isMatching) {
			return false;
		}

		this.currentSettings = {...this.currentSettings, dropAnswers: dropAnswers - 1};
		return true;
	}
}
