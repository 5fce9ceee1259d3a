import {once} from 'node:events';
import net from 'node:net';
import {JSONRPCClient, type JSONRPCResponse} from 'json-rpc-2.0';
import {
	errorMessageOf, FailureError, withTimeout, type Clock, type Logger, type Metrics,
} from '@crocusloom/model';
import {decodeMessages, encodeMessage} from './jsonFrames.js';

/** Address at which a peer listens. */
export type PeerAddress = {readonly address: string; readonly port: number};

/** Timeout of a call unless the caller's signal aborts earlier. */
const callTimeoutMs = 2000;
/** Time without a message from a peer after which a failed call causes a ping. */
const callVerificationMs = 400;
/** Time in which a peer must answer a ping. */
const pingTimeoutMs = 1000;

/**
 * Returns the longest time for which notifications to a live peer are lost after a connection has died without a reset.
 * @param verifyAfterMs - option of the notifications, in milliseconds
 * @param intervalMs - interval of the notifications in milliseconds
 */
export function longestMessageLossMs(verifyAfterMs: number, intervalMs: number): number {
	return verifyAfterMs + intervalMs + pingTimeoutMs + intervalMs;
}

/** Maximum number of bytes queued on a connection to a slow peer; above it, notifications are dropped. */
const maximumQueuedBytes = 4 * 1024 * 1024;

/** Notification with which the dialing host sends its name. */
export const helloMethod = 'peer.hello';
/** Request without effect, whose response shows that messages still reach the peer. */
export const pingMethod = 'peer.ping';

/** Signal of pings, which end with their timeout or their connection. */
const neverAborts = new AbortController().signal;

export type PeerConnectionOptions = {
	/** Name of this host. */
	readonly self: string;
	/** Name of the peer. */
	readonly host: string;
	readonly address: PeerAddress;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: Metrics;
	/** Called once the connection has ended. */
	readonly onClose: () => void;
};

/** Connection that this host has dialed to a peer, for requests and notifications. */
export class PeerConnection {
	private readonly socket: net.Socket;
	private readonly connected: Promise<unknown>;
	private readonly client = new JSONRPCClient(request => {
		this.write(request);
	});

	/** Time at which the latest message of the peer was received, at first the time of the dial. */
	private heardMs: number;
	private isPinging = false;

	constructor(private readonly options: PeerConnectionOptions) {
		const {address: {address, port}, clock, self} = options;
		this.heardMs = clock.nowMs();
		this.socket = net.connect({host: address, port, noDelay: true});
		this.connected = once(this.socket, 'connect');
		this.connected.catch(() => undefined);
		void this.receiveResponses();
		this.write({jsonrpc: '2.0', method: helloMethod, params: {host: self}});
	}

	/**
	 * Calls a method of the peer.
	 * @throws FailureError of kind `peer`; the abort reason of the signal
	 */
	async call<R>(method: string, parameters: unknown, signal: AbortSignal): Promise<R> {
		try {
			return await rejectOnAbort(this.request<R>(method, parameters), signal);
		} catch (error) {
			void this.verify(callVerificationMs);
			throw error instanceof FailureError || signal.aborted
				? error
				: new FailureError({
					kind: 'peer', step: 'peer', peer: this.options.host, message: `${method}: ${errorMessageOf(error)}`,
				}, {cause: error});
		}
	}

	/**
	 * Sends a notification.
	 * @param verifyAfterMs - time in milliseconds without a message from the peer after which the connection is verified
	 * @returns false if the notification was dropped, because too many bytes are queued
	 */
	notify(method: string, parameters: unknown, verifyAfterMs: number): boolean {
		if (this.socket.writableLength > maximumQueuedBytes) {
			return false;
		}

		this.client.notify(method, parameters);
		void this.verify(verifyAfterMs);
		return true;
	}

	close(): void {
		this.socket.destroy();
	}

	private async request<R>(method: string, parameters: unknown): Promise<R> {
		await this.connected;
		return await this.client.timeout(callTimeoutMs).request(method, parameters) as R;
	}

	/**
	 * Pings a peer that has been silent for some time, and closes the connection if there is no response. A connection that has died
	 * without a reset accepts messages and never delivers them, and the kernel reports that only after minutes.
	 */
	private async verify(maximumSilenceMs: number): Promise<void> {
		const {clock, host, log, metrics} = this.options;
		const silentMs = clock.nowMs() - this.heardMs;
		if (this.isPinging || this.socket.destroyed || silentMs < maximumSilenceMs) {
			return;
		}

		this.isPinging = true;
		try {
			await withTimeout(clock, pingTimeoutMs, neverAborts, async () => this.client.request(pingMethod, {}) as Promise<unknown>);
		} catch (error) {
			if (!this.socket.destroyed) {
				log.warn({peer: host, silentMs: Math.round(silentMs), reason: errorMessageOf(error)}, 'a connection to a peer is closed, because a ping was not answered');
				metrics.count('peer_connections_silent_total');
				this.close();
			}
		} finally {
			this.isPinging = false;
		}
	}

	private write(message: unknown): void {
		const frame = encodeMessage(message);
		this.options.metrics.count('peer_sent_bytes_total', undefined, frame.length);
		this.socket.write(frame);
	}

	private async receiveResponses(): Promise<void> {
		let closeReason = 'connection closed';
		try {
			for await (const message of decodeMessages(this.socket as AsyncIterable<Buffer>)) {
				this.heardMs = this.options.clock.nowMs();
				this.client.receive(message as JSONRPCResponse);
			}
		} catch (error) {
			closeReason = errorMessageOf(error);
		}

		this.options.onClose();
		this.close();
		this.client.rejectAllPendingRequests(closeReason);
	}
}

/** Settles like `promise`, or rejects with the signal's abort reason if the signal aborts first. */
async function rejectOnAbort<R>(promise: Promise<R>, signal: AbortSignal): Promise<R> {
	return new Promise((resolve, reject) => {
		const onAbort = () => {
			reject(signal.reason as Error);
		};

		signal.addEventListener('abort', onAbort, {once: true});
		promise.then(resolve, reject).finally(() => {
			signal.removeEventListener('abort', onAbort);
		});
	});
}
