/**
 * A network partition inside a process: connections to the named ports stay open and silent, and new ones are not
 * established. It replaces functions of `net.Socket`, so that the process under test itself stays unchanged.
 */
import {Socket} from 'node:net';

type Method = (this: Socket, ...args: unknown[]) => unknown;
type Patched = {connect: Method; _writeGeneric: Method; push: Method};
type ConnectOptions = {readonly port?: number | string};

/** What waits for the partition to end, in order. */
type Held = {readonly port: number; readonly socket: Socket; readonly run: () => unknown};

export class Partition {
	private cutPorts: ReadonlySet<number> = new Set();
	private held: readonly Held[] = [];
	private readonly ports = new WeakMap<Socket, number>();

	/** Takes control of all outgoing connections of this process. */
	install(): void {
		const prototype = Socket.prototype as unknown as Patched;
		const {connect, _writeGeneric: write, push} = prototype;
		const {ports} = this;
		const run = this.run.bind(this);
		const hold = (method: Method, whenHeld: (socket: Socket) => unknown): Method => function (this: Socket, ...args: unknown[]) {
			return run(this, () => method.apply(this, args), () => whenHeld(this));
		};

		const heldConnect = hold(connect, socket => {
			// Writes before the connection is established wait for it.
			(socket as {connecting: boolean}).connecting = true;
			return socket;
		});
		prototype.connect = function (this: Socket, ...args: unknown[]) {
			ports.set(this, portOf(args));
			return heldConnect.apply(this, args);
		};

		prototype._writeGeneric = hold(write, () => undefined);
		prototype.push = hold(push, () => true);
	}

	/** Cuts exactly these ports off and lets through what waits for others. */
	set(ports: readonly number[]): void {
		this.cutPorts = new Set(ports);
		const waiting = this.held;
		this.held = waiting.filter(({port}) => this.cutPorts.has(port));
		for (const {port, socket, run} of waiting) {
			if (!this.cutPorts.has(port) && !socket.destroyed) {
				run();
			}
		}
	}

	private run(socket: Socket, action: () => unknown, whenHeld: () => unknown): unknown {
		const port = this.ports.get(socket);
		if (port === undefined || !this.cutPorts.has(port)) {
			return action();
		}

		this.held = [...this.held, {port, socket, run: action}];
		return whenHeld();
	}
}

/** Port among the arguments of `connect`, which may be normalized as an array already. */
function portOf(args: readonly unknown[]): number {
	const [first] = args;
	const options = Array.isArray(first) ? first[0] as unknown : first;
	return typeof options === 'object' && options !== null ? Number((options as ConnectOptions).port ?? 0) : Number(options);
}
