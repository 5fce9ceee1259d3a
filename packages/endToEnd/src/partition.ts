/**
 * Simulates a network partition inside a process. Open connections to the blocked ports stay open but transfer no data, and
 * new ones are not established. The methods of `net.Socket` are patched so that the code under test stays unchanged.
 */
import {Socket} from 'node:net';

type SocketMethod = (this: Socket, ...args: unknown[]) => unknown;
type PatchedSocketPrototype = {connect: SocketMethod; _writeGeneric: SocketMethod; push: SocketMethod};
type ConnectOptions = {readonly port?: number | string};

/** A call of a socket method that is held back until its port is unblocked. */
type HeldCall = {readonly port: number; readonly socket: Socket; readonly run: () => unknown};

export class NetworkPartition {
	private blockedPorts: ReadonlySet<number> = new Set();
	private heldCalls: readonly HeldCall[] = [];
	private readonly remotePorts = new WeakMap<Socket, number>();

	/** Patches `net.Socket`, so that all outgoing connections of this process can be blocked. */
	install(): void {
		const prototype = Socket.prototype as unknown as PatchedSocketPrototype;
		const {connect, _writeGeneric: write, push} = prototype;
		const {remotePorts} = this;
		const runOrHold = this.runOrHold.bind(this);
		const wrapMethod = (method: SocketMethod, resultWhenHeld: (socket: Socket) => unknown): SocketMethod => function (this: Socket, ...args: unknown[]) {
			return runOrHold(this, () => method.apply(this, args), () => resultWhenHeld(this));
		};

		const wrappedConnect = wrapMethod(connect, socket => {
			// `net.Socket` queues writes while it is connecting.
			(socket as {connecting: boolean}).connecting = true;
			return socket;
		});
		prototype.connect = function (this: Socket, ...args: unknown[]) {
			remotePorts.set(this, remotePortOf(args));
			return wrappedConnect.apply(this, args);
		};

		prototype._writeGeneric = wrapMethod(write, () => undefined);
		prototype.push = wrapMethod(push, () => true);
	}

	/** Blocks exactly these remote ports and runs the held calls of all other ports, in order. */
	setBlockedPorts(ports: readonly number[]): void {
		this.blockedPorts = new Set(ports);
		const previouslyHeld = this.heldCalls;
		this.heldCalls = previouslyHeld.filter(({port}) => this.blockedPorts.has(port));
		for (const {port, socket, run} of previouslyHeld) {
			if (!this.blockedPorts.has(port) && !socket.destroyed) {
				run();
			}
		}
	}

	private runOrHold(socket: Socket, action: () => unknown, resultWhenHeld: () => unknown): unknown {
		const port = this.remotePorts.get(socket);
		if (port === undefined || !this.blockedPorts.has(port)) {
			return action();
		}

		this.heldCalls = [...this.heldCalls, {port, socket, run: action}];
		return resultWhenHeld();
	}
}

/** Returns the port given to `connect`, whose arguments Node.js may already have normalized to an array. */
function remotePortOf(args: readonly unknown[]): number {
	const [first] = args;
	const options = Array.isArray(first) ? first[0] as unknown : first;
	return typeof options === 'object' && options !== null ? Number((options as ConnectOptions).port ?? 0) : Number(options);
}
