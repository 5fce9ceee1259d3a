import {once} from 'node:events';
import net from 'node:net';
import {
	JSONRPCClient, JSONRPCServer, type JSONRPCRequest, type JSONRPCResponse,
} from 'json-rpc-2.0';
import {
	childSignal, errorMessageOf, fail, FailureError, withTimeout, type Clock, type Logger, type Metrics, type NotifyOptions, type PeerRpc,
} from '@crocusloom/model';
import {decodeMessages, encodeMessage} from './jsonFrames.js';

/** Address at which a peer listens. */
export type PeerAddress = {readonly address: string; readonly port: number};

/** Timeout of a call unless the caller's signal aborts earlier. */
export const callTimeoutMs = 2000;

/** Default time without a message from a peer after which a notification causes a ping. */
export const defaultVerificationMs = 2000;
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
const helloMethod = 'peer.hello';
/** Request without effect, whose response shows that messages still reach the peer. */
const pingMethod = 'peer.ping';

type OutgoingConnection = {
	readonly socket: net.Socket;
	readonly client: JSONRPCClient;
	readonly connected: Promise<unknown>;
	/** Time at which the latest message of the peer was received, at first the time of the dial. */
	heardMs: number;
	isPinging: boolean;
};

type PeerTransportOptions = {
	readonly self: string;
	readonly listen: PeerAddress;
	/** Returns the address of a host, as known to the membership. */
	readonly resolveAddress: (host: string) => PeerAddress | undefined;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: Metrics;
};

type PeerMessage = JSONRPCRequest | JSONRPCResponse;

/** Signal of pings, which end with their timeout or their connection. */
const neverAborts = new AbortController().signal;

/** JSON-RPC 2.0 between proxies. Each host dials a connection per peer, on which it sends requests and receives responses. */
export class PeerTransport implements PeerRpc {
	private readonly outgoingConnections = new Map<string, OutgoingConnection>();
	private readonly rpcServer = new JSONRPCServer<{readonly callerHost: string; readonly signal: AbortSignal}>();

	constructor(private readonly options: PeerTransportOptions) {
		this.handle(pingMethod, () => undefined);
	}

	/**
	 * Accepts connections from peers until the signal aborts.
	 * @returns the bound port
	 */
	async listen(signal: AbortSignal): Promise<number> {
		const listener = net.createServer(socket => {
			void this.serveConnection(socket, signal);
		});
		listener.listen({host: this.options.listen.address, port: this.options.listen.port});
		await once(listener, 'listening', {signal});
		signal.addEventListener('abort', () => {
			listener.close();
			for (const {socket} of this.outgoingConnections.values()) {
				socket.destroy();
			}
		}, {once: true});
		return (listener.address() as net.AddressInfo).port;
	}

	handle(method: string, handler: (parameters: unknown, callerHost: string, signal: AbortSignal) => Promise<unknown> | unknown): void {
		// JSON-RPC has no undefined result, so a handler without a result returns null.
		this.rpcServer.addMethod(method, async (parameters, context) => await handler(parameters, context.callerHost, context.signal) ?? null);
	}

	async call<R>(host: string, method: string, parameters: unknown, signal: AbortSignal): Promise<R> {
		signal.throwIfAborted();
		this.options.metrics.count('peer_calls_total', {method});
		const connection = this.connectionTo(host);
		try {
			return await rejectOnAbort(
				(async () => {
					await connection.connected;
					return await connection.client.timeout(callTimeoutMs).request(method, parameters) as R;
				})(),
				signal,
			);
		} catch (error) {
			void this.verify(host, connection, callVerificationMs);
			throw error instanceof FailureError || signal.aborted
				? error
				: new FailureError({
					kind: 'peer', step: 'peer', peer: host, message: `${method}: ${error instanceof Error ? error.message : String(error)}`,
				}, {cause: error});
		}
	}

	notify(host: string, method: string, parameters: unknown, {verifyAfterMs = defaultVerificationMs}: NotifyOptions = {}): void {
		const connection = this.tryConnectionTo(host);
		if (!connection || connection.socket.writableLength > maximumQueuedBytes) {
			this.options.metrics.count('peer_notifications_dropped_total', {method});
			return;
		}

		this.options.metrics.count('peer_notifications_total', {method});
		connection.client.notify(method, parameters);
		void this.verify(host, connection, verifyAfterMs);
	}

	/**
	 * Pings a peer that has been silent for some time, and closes the connection if there is no response. A connection that has died
	 * without a reset accepts messages and never delivers them, and the kernel reports that only after minutes.
	 */
	private async verify(host: string, connection: OutgoingConnection, maximumSilenceMs: number): Promise<void> {
		const {clock, log, metrics} = this.options;
		const silentMs = clock.nowMs() - connection.heardMs;
		if (connection.isPinging || connection.socket.destroyed || silentMs < maximumSilenceMs) {
			return;
		}

		connection.isPinging = true;
		try {
			await withTimeout(clock, pingTimeoutMs, neverAborts, async () => connection.client.request(pingMethod, {}) as Promise<unknown>);
		} catch (error) {
			if (!connection.socket.destroyed) {
				log.warn({peer: host, silentMs: Math.round(silentMs), reason: errorMessageOf(error)}, 'a connection to a peer is closed, because a ping was not answered');
				metrics.count('peer_connections_silent_total');
				connection.socket.destroy();
			}
		} finally {
			connection.isPinging = false;
		}
	}

	private tryConnectionTo(host: string): OutgoingConnection | undefined {
		try {
			return this.connectionTo(host);
		} catch {
			return undefined;
		}
	}

	private connectionTo(host: string): OutgoingConnection {
		const openConnection = this.outgoingConnections.get(host);
		if (openConnection) {
			return openConnection;
		}

		const address = this.options.resolveAddress(host) ?? fail({
			kind: 'peer', step: 'peer', peer: host, message: 'no address is known for this host',
		});
		const newConnection = this.dial(host, address);
		this.outgoingConnections.set(host, newConnection);
		return newConnection;
	}

	private dial(host: string, {address, port}: PeerAddress): OutgoingConnection {
		const socket = net.connect({host: address, port, noDelay: true});
		const client = new JSONRPCClient(request => {
			this.writeMessage(socket, request);
		});
		const connected = once(socket, 'connect');
		connected.catch(() => undefined);
		const connection: OutgoingConnection = {
			socket, client, connected, heardMs: this.options.clock.nowMs(), isPinging: false,
		};
		void this.receiveResponses(host, connection);
		this.writeMessage(socket, {jsonrpc: '2.0', method: helloMethod, params: {host: this.options.self}});
		return connection;
	}

	private writeMessage(socket: net.Socket, message: unknown): void {
		const frame = encodeMessage(message);
		this.options.metrics.count('peer_sent_bytes_total', undefined, frame.length);
		socket.write(frame);
	}

	private async receiveResponses(host: string, connection: OutgoingConnection): Promise<void> {
		const {socket, client} = connection;
		let closeReason = 'connection closed';
		try {
			for await (const message of decodeMessages(socket as AsyncIterable<Buffer>)) {
				connection.heardMs = this.options.clock.nowMs();
				client.receive(message as JSONRPCResponse);
			}
		} catch (error) {
			closeReason = error instanceof Error ? error.message : String(error);
		}

		this.outgoingConnections.delete(host);
		socket.destroy();
		client.rejectAllPendingRequests(closeReason);
	}

	private async serveConnection(socket: net.Socket, signal: AbortSignal): Promise<void> {
		socket.setNoDelay(true);
		const connectionController = childSignal(signal);
		const destroy = () => {
			socket.destroy();
		};

		signal.addEventListener('abort', destroy, {once: true});
		let callerHost = 'unknown';
		try {
			for await (const message of decodeMessages(socket as AsyncIterable<Buffer>)) {
				const request = message as JSONRPCRequest;
				if (request.method === helloMethod) {
					callerHost = String((request.params as {readonly host?: unknown}).host);
					continue;
				}

				void this.respond(socket, request, callerHost, connectionController.signal);
			}
		} catch {
			this.options.metrics.count('peer_connections_broken_total');
		} finally {
			signal.removeEventListener('abort', destroy);
			connectionController.abort();
			connectionController.release();
			socket.destroy();
		}
	}

	private async respond(socket: net.Socket, request: PeerMessage, callerHost: string, signal: AbortSignal): Promise<void> {
		const response = await this.rpcServer.receive(request as JSONRPCRequest, {callerHost, signal});
		if (response && !socket.destroyed) {
			this.writeMessage(socket, response);
		}
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
