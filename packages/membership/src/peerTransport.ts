import {once} from 'node:events';
import net from 'node:net';
import {JSONRPCServer, type JSONRPCRequest} from 'json-rpc-2.0';
import {
	childSignal, errorMessageOf, fail, type Clock, type Logger, type Metrics, type NotifyOptions, type PeerRpc,
} from '@crocusloom/model';
import {decodeMessages, encodeMessage} from './jsonFrames.js';
import {
	helloMethod, type PeerAddress, PeerConnection, pingMethod,
} from './peerConnection.js';

/** Default time without a message from a peer after which a notification causes a ping. */
export const defaultVerificationMs = 2000;

type PeerTransportOptions = {
	readonly self: string;
	readonly listen: PeerAddress;
	/** Returns the address of a host, as known to the membership. */
	readonly resolveAddress: (host: string) => PeerAddress | undefined;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: Metrics;
};

/** JSON-RPC 2.0 between proxies. Each host dials a connection per peer, on which it sends requests and receives responses. */
export class PeerTransport implements PeerRpc {
	private readonly outgoingConnections = new Map<string, PeerConnection>();
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
			for (const connection of this.outgoingConnections.values()) {
				connection.close();
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
		return this.connectionTo(host).call<R>(method, parameters, signal);
	}

	notify(host: string, method: string, parameters: unknown, {verifyAfterMs = defaultVerificationMs}: NotifyOptions = {}): void {
		const isSent = this.tryConnectionTo(host)?.notify(method, parameters, verifyAfterMs) ?? false;
		this.options.metrics.count(isSent ? 'peer_notifications_total' : 'peer_notifications_dropped_total', {method});
	}

	private tryConnectionTo(host: string): PeerConnection | undefined {
		try {
			return this.connectionTo(host);
		} catch {
			return undefined;
		}
	}

	private connectionTo(host: string): PeerConnection {
		const openConnection = this.outgoingConnections.get(host);
		if (openConnection) {
			return openConnection;
		}

		const {clock, log, metrics, self, resolveAddress} = this.options;
		const address = resolveAddress(host) ?? fail({
			kind: 'peer', step: 'peer', peer: host, message: 'no address is known for this host',
		});
		const newConnection = new PeerConnection({
			self,
			host,
			address,
			clock,
			log,
			metrics,
			onClose: () => {
				this.outgoingConnections.delete(host);
			},
		});
		this.outgoingConnections.set(host, newConnection);
		return newConnection;
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

	/** Responds to a request. A connection with a request that cannot be read or answered is closed. */
	private async respond(socket: net.Socket, request: JSONRPCRequest, callerHost: string, signal: AbortSignal): Promise<void> {
		try {
			const response = await this.rpcServer.receive(request, {callerHost, signal});
			if (response && !socket.destroyed) {
				const frame = encodeMessage(response);
				this.options.metrics.count('peer_sent_bytes_total', undefined, frame.length);
				socket.write(frame);
			}
		} catch (error) {
			this.options.metrics.count('peer_invalid_requests_total');
			this.options.log.warn({peer: callerHost, reason: errorMessageOf(error)}, 'a connection of a peer is closed, because a request could not be answered');
			socket.destroy();
		}
	}
}
