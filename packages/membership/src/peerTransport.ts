import {once} from 'node:events';
import net from 'node:net';
import {
	JSONRPCClient, JSONRPCServer, type JSONRPCRequest, type JSONRPCResponse,
} from 'json-rpc-2.0';
import {
	childSignal, fail, FailureError, type Clock, type Metrics, type PeerRpc,
} from '@crocusloom/model';
import {decodeMessages, encodeMessage} from './jsonFrames.js';

/** Where a peer listens. */
export type PeerAddress = {readonly address: string; readonly port: number};

/** Time limit of a call for which the caller's signal sets no earlier one. */
export const callTimeoutMs = 2000;

/** Bytes that may wait on a connection to a slow peer before notifications to it are dropped. */
const maximumQueuedBytes = 4 * 1024 * 1024;

/** Notification by which a dialing host names itself. */
const helloMethod = 'peer.hello';

type Outgoing = {
	readonly socket: net.Socket;
	readonly client: JSONRPCClient;
	readonly connected: Promise<unknown>;
};

type TransportOptions = {
	readonly self: string;
	readonly listen: PeerAddress;
	/** Finds where a host listens; the membership knows. */
	readonly resolve: (host: string) => PeerAddress | undefined;
	readonly clock: Clock;
	readonly metrics: Metrics;
};

type PeerMessage = JSONRPCRequest | JSONRPCResponse;

/** JSON-RPC 2.0 between proxies: requests go out on a connection this host dialed, answers come back on it. */
export class PeerTransport implements PeerRpc {
	private readonly outgoing = new Map<string, Outgoing>();
	private readonly server = new JSONRPCServer<{readonly from: string; readonly signal: AbortSignal}>();

	constructor(private readonly options: TransportOptions) {}

	/**
	 * Accepts peers until the signal aborts.
	 * @returns the port that was bound
	 */
	async listen(signal: AbortSignal): Promise<number> {
		const listener = net.createServer(socket => {
			void this.serve(socket, signal);
		});
		listener.listen({host: this.options.listen.address, port: this.options.listen.port});
		await once(listener, 'listening', {signal});
		signal.addEventListener('abort', () => {
			listener.close();
			for (const {socket} of this.outgoing.values()) {
				socket.destroy();
			}
		}, {once: true});
		return (listener.address() as net.AddressInfo).port;
	}

	handle(method: string, handler: (parameters: unknown, from: string, signal: AbortSignal) => Promise<unknown> | unknown): void {
		// JSON-RPC has no undefined result; a method without one answers null.
		this.server.addMethod(method, async (parameters, context) => await handler(parameters, context.from, context.signal) ?? null);
	}

	async call<R>(host: string, method: string, parameters: unknown, signal: AbortSignal): Promise<R> {
		signal.throwIfAborted();
		this.options.metrics.count('peer_calls_total', {method});
		const outgoing = this.connection(host);
		try {
			return await withSignal(
				(async () => {
					await outgoing.connected;
					return await outgoing.client.timeout(callTimeoutMs).request(method, parameters) as R;
				})(),
				signal,
			);
		} catch (error) {
			throw error instanceof FailureError || signal.aborted
				? error
				: new FailureError({
					kind: 'peer', step: 'peer', peer: host, message: `${method}: ${error instanceof Error ? error.message : String(error)}`,
				}, {cause: error});
		}
	}

	notify(host: string, method: string, parameters: unknown): void {
		const outgoing = this.tryConnection(host);
		if (!outgoing || outgoing.socket.writableLength > maximumQueuedBytes) {
			this.options.metrics.count('peer_notifications_dropped_total', {method});
			return;
		}

		this.options.metrics.count('peer_notifications_total', {method});
		outgoing.client.notify(method, parameters);
	}

	private tryConnection(host: string): Outgoing | undefined {
		try {
			return this.connection(host);
		} catch {
			return undefined;
		}
	}

	private connection(host: string): Outgoing {
		const known = this.outgoing.get(host);
		if (known) {
			return known;
		}

		const address = this.options.resolve(host) ?? fail({
			kind: 'peer', step: 'peer', peer: host, message: 'no address is known for this host',
		});
		const outgoing = this.dial(host, address);
		this.outgoing.set(host, outgoing);
		return outgoing;
	}

	private dial(host: string, {address, port}: PeerAddress): Outgoing {
		const socket = net.connect({host: address, port, noDelay: true});
		const client = new JSONRPCClient(request => {
			this.write(socket, request);
		});
		const connected = once(socket, 'connect');
		connected.catch(() => undefined);
		void this.receiveAnswers(host, socket, client);
		this.write(socket, {jsonrpc: '2.0', method: helloMethod, params: {host: this.options.self}});
		return {socket, client, connected};
	}

	private write(socket: net.Socket, message: unknown): void {
		const frame = encodeMessage(message);
		this.options.metrics.count('peer_sent_bytes_total', undefined, frame.length);
		socket.write(frame);
	}

	private async receiveAnswers(host: string, socket: net.Socket, client: JSONRPCClient): Promise<void> {
		let reason = 'connection closed';
		try {
			for await (const message of decodeMessages(socket as AsyncIterable<Buffer>)) {
				client.receive(message as JSONRPCResponse);
			}
		} catch (error) {
			reason = error instanceof Error ? error.message : String(error);
		}

		this.outgoing.delete(host);
		socket.destroy();
		client.rejectAllPendingRequests(reason);
	}

	private async serve(socket: net.Socket, signal: AbortSignal): Promise<void> {
		socket.setNoDelay(true);
		const connection = childSignal(signal);
		const destroy = () => {
			socket.destroy();
		};

		signal.addEventListener('abort', destroy, {once: true});
		let from = 'unknown';
		try {
			for await (const message of decodeMessages(socket as AsyncIterable<Buffer>)) {
				const request = message as JSONRPCRequest;
				if (request.method === helloMethod) {
					from = String((request.params as {readonly host?: unknown}).host);
					continue;
				}

				void this.answer(socket, request, from, connection.signal);
			}
		} catch {
			this.options.metrics.count('peer_connections_broken_total');
		} finally {
			signal.removeEventListener('abort', destroy);
			connection.abort();
			connection.release();
			socket.destroy();
		}
	}

	private async answer(socket: net.Socket, request: PeerMessage, from: string, signal: AbortSignal): Promise<void> {
		const response = await this.server.receive(request as JSONRPCRequest, {from, signal});
		if (response && !socket.destroyed) {
			this.write(socket, response);
		}
	}
}

/** Settles as `work` does, or rejects with the signal's reason if that comes first. */
async function withSignal<R>(work: Promise<R>, signal: AbortSignal): Promise<R> {
	return new Promise((resolve, reject) => {
		const onAbort = () => {
			reject(signal.reason as Error);
		};

		signal.addEventListener('abort', onAbort, {once: true});
		work.then(resolve, reject).finally(() => {
			signal.removeEventListener('abort', onAbort);
		});
	});
}
