import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Server, type Socket,
} from 'node:net';

type ForwardedConnection = {readonly incoming: Socket; readonly outgoing: Socket};

/** Forwards TCP connections to a port on this machine, and can let them go silent without a reset. */
export class SilencingForwarder {
	/** Starts a forwarder on a free port. */
	static async start(targetPort: number): Promise<SilencingForwarder> {
		const forwarder = new SilencingForwarder(targetPort);
		forwarder.server.listen({host: '127.0.0.1', port: 0});
		await once(forwarder.server, 'listening');
		return forwarder;
	}

	/** Number of connections that were accepted. */
	acceptedCount = 0;
	private readonly connections = new Set<ForwardedConnection>();
	private readonly server: Server;

	private constructor(targetPort: number) {
		this.server = createServer(incoming => {
			this.acceptedCount++;
			this.forward(incoming, connect({host: '127.0.0.1', port: targetPort}));
		});
	}

	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	/** Stops forwarding on all open connections, which stay open; new ones work. */
	silence(): void {
		for (const {incoming, outgoing} of this.connections) {
			incoming.unpipe(outgoing);
			outgoing.unpipe(incoming);
		}
	}

	close(): void {
		this.server.close();
		for (const {incoming, outgoing} of this.connections) {
			incoming.destroy();
			outgoing.destroy();
		}
	}

	private forward(incoming: Socket, outgoing: Socket): void {
		const connection = {incoming, outgoing};
		this.connections.add(connection);
		incoming.pipe(outgoing).pipe(incoming);
		for (const socket of [incoming, outgoing]) {
			socket.on('error', () => undefined);
			socket.on('close', () => {
				incoming.destroy();
				outgoing.destroy();
				this.connections.delete(connection);
			});
		}
	}
}
