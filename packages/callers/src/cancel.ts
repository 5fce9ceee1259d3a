import {createHash, randomBytes} from 'node:crypto';
import {type Logger, type Membership, type PeerRpc} from '@crocusloom/model';

/** JSON-RPC method that forwards a cancel request to the proxy that owns the connection. */
export const cancelMethod = 'callers.cancel';
/** Timeout for forwarding a cancel request to a peer. */
const forwardTimeoutMs = 2000;

/** Key that a caller sends to cancel its running statement (BackendKeyData). */
export type CancelKey = {
	/** Upper 16 bits: hash of the host name of the owning proxy. Lower 16 bits: a counter. */
	readonly processId: number;
	readonly secret: number;
};

/** Number of values of the 16-bit counter. */
const counterRange = 0x1_00_00;

/** Hashes a host name to 16 bits. If several hosts share a hash, each of them receives the request and only the one that knows the secret acts on it. */
function hashHost(host: string): number {
	return createHash('sha256').update(host).digest().readUInt16BE(0);
}

/** Cancel keys of the callers of this proxy. Cancel requests for other keys are forwarded to the peers that may own them. */
export class CancelRegistry {
	private readonly cancelActions = new Map<string, () => void>();
	private counter = 0;

	constructor(private readonly membership: Membership | undefined, private readonly peers: PeerRpc | undefined, private readonly log: Logger) {
		peers?.handle(cancelMethod, parameters => {
			const {processId, secret} = parameters as CancelKey;
			return {found: this.cancelLocally({processId, secret})};
		});
	}

	/**
	 * Creates a cancel key.
	 * @param action - called when a cancel request with the key arrives
	 */
	register(action: () => void): CancelKey {
		this.counter = (this.counter + 1) % counterRange;
		const key = {
			processId: (hashHost(this.membership?.self.host ?? '') * counterRange) + this.counter,
			secret: randomBytes(4).readUInt32BE(),
		};
		this.cancelActions.set(cancelKeyId(key), action);
		return key;
	}

	unregister(key: CancelKey): void {
		this.cancelActions.delete(cancelKeyId(key));
	}

	/** Cancels the statement of a local caller, or forwards the request to every peer whose host name has the hash in the key. */
	async cancel(key: CancelKey): Promise<void> {
		if (this.cancelLocally(key) || !this.membership || !this.peers) {
			return;
		}

		const self = this.membership.self.host;
		const owners = this.membership.members().filter(({host}) => host !== self && hashHost(host) === Math.floor(key.processId / counterRange));
		await Promise.all(owners.map(async ({host}) => this.forward(host, key)));
	}

	private async forward(host: string, key: CancelKey): Promise<void> {
		try {
			await this.peers!.call(host, cancelMethod, key, AbortSignal.timeout(forwardTimeoutMs));
		} catch (error) {
			this.log.warn({host, error: String(error)}, 'cancel request could not be forwarded');
		}
	}

	private cancelLocally(key: CancelKey): boolean {
		const action = this.cancelActions.get(cancelKeyId(key));
		action?.();
		return action !== undefined;
	}
}

function cancelKeyId(key: CancelKey): string {
	return `${key.processId}:${key.secret}`;
}
