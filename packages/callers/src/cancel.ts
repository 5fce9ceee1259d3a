import {createHash, randomBytes} from 'node:crypto';
import {type Logger, type Membership, type PeerRpc} from '@crocusloom/model';

/** Method by which a proxy hands a cancel request to the one that owns the connection. */
export const cancelMethod = 'callers.cancel';
/** Time allowed for forwarding a cancel request. */
const forwardMs = 2000;

/** What a caller needs to cancel its running statement. */
export type CancelKey = {
	/** Upper 16 bits: hash of the owning proxy's name; lower 16 bits: a counter. */
	readonly processId: number;
	readonly secret: number;
};

/** Values of the 16-bit counter. */
const counterValues = 0x1_00_00;

/** Hash of a host name in 16 bits; two hosts of one hash both get the request, and the secret decides. */
function hostHash(host: string): number {
	return createHash('sha256').update(host).digest().readUInt16BE(0);
}

/** Keys of this proxy's callers, and the way to those of its peers. */
export class CancelRegistry {
	private readonly actions = new Map<string, () => void>();
	private counter = 0;

	constructor(private readonly membership: Membership | undefined, private readonly peers: PeerRpc | undefined, private readonly log: Logger) {
		peers?.handle(cancelMethod, parameters => {
			const {processId, secret} = parameters as CancelKey;
			return {found: this.cancelLocally({processId, secret})};
		});
	}

	/** Makes a key whose use calls the action. */
	register(action: () => void): CancelKey {
		this.counter = (this.counter + 1) % counterValues;
		const key = {
			processId: (hostHash(this.membership?.self.host ?? '') * counterValues) + this.counter,
			secret: randomBytes(4).readUInt32BE(),
		};
		this.actions.set(nameOf(key), action);
		return key;
	}

	unregister(key: CancelKey): void {
		this.actions.delete(nameOf(key));
	}

	/** Cancels here or at every peer whose name has the key's hash. */
	async cancel(key: CancelKey): Promise<void> {
		if (this.cancelLocally(key) || !this.membership || !this.peers) {
			return;
		}

		const self = this.membership.self.host;
		const owners = this.membership.members().filter(({host}) => host !== self && hostHash(host) === Math.floor(key.processId / counterValues));
		await Promise.all(owners.map(async ({host}) => this.forward(host, key)));
	}

	private async forward(host: string, key: CancelKey): Promise<void> {
		try {
			await this.peers!.call(host, cancelMethod, key, AbortSignal.timeout(forwardMs));
		} catch (error) {
			this.log.warn({host, error: String(error)}, 'cancel request could not be forwarded');
		}
	}

	private cancelLocally(key: CancelKey): boolean {
		const action = this.actions.get(nameOf(key));
		action?.();
		return action !== undefined;
	}
}

function nameOf(key: CancelKey): string {
	return `${key.processId}:${key.secret}`;
}
