import {type Server as HttpServer} from 'node:http';
import {createServer, type Server, type Socket} from 'node:net';
import {
	listen, portOf, startJsonServer, type JsonRoutes,
} from '../common/jsonServer.js';
import {
	loadParser,
} from './ast.js';
import {Connection, type ConnectionContext} from './connection.js';
import {Counters, type CounterValues} from './counters.js';
import {Database} from './database.js';
import {Faults, type FaultSettings} from './faults.js';
import {Replicator} from './replication.js';
import {type Session} from './session.js';
import {SlotQueue} from './slots.js';

export type BackendServerOptions = {
	readonly host?: string;
	/** 0 picks a free port. */
	readonly port?: number;
	/** Absent: no control port; 0 picks a free port. */
	readonly controlPort?: number;
	/** Maximum number of concurrent statements. */
	readonly slots?: number;
	/** Maximum number of client connections. */
	readonly connectionLimit?: number;
	/** Delay before a new connection is ready, in milliseconds. */
	readonly connectMs?: number;
	/** Clear-text password that clients must send; absent: none is requested. */
	readonly password?: string;
	/** Initial value of the fault setting of this name. */
	readonly serviceMs?: number;
	/** Initial value of the fault setting of this name; absent: `serviceMs`. */
	readonly writeServiceMs?: number;
	/** Initial value of the fault setting of this name. */
	readonly lagMs?: number;
	/** Starts as the primary of term 1 instead of as an empty replica at fenced term 0. */
	readonly initialPrimary?: boolean;
	/** Address (`host:port`) of the primary of term 1 to follow from the start. */
	readonly follow?: string;
};

const defaults = {
	host: '127.0.0.1', port: 0, slots: 3, connectionLimit: 20, connectMs: 10, serviceMs: 2, lagMs: 0,
} as const;

/** Stand-in for a PostgreSQL server with replication and the control functions that the proxies use. */
export class BackendServer {
	readonly database = new Database();
	readonly faults: Faults;
	private readonly counters = new Counters();
	private readonly slots: SlotQueue;
	private readonly sockets = new Set<Socket>();
	private readonly sessions = new Map<number, {readonly secretKey: number; readonly session: Session}>();
	private readonly replicator: Replicator;
	private server?: Server;
	private controlServer?: HttpServer;
	private readonly host: string;

	constructor(private readonly options: BackendServerOptions = {}) {
		const serviceMs = options.serviceMs ?? defaults.serviceMs;
		this.host = options.host ?? defaults.host;
		this.slots = new SlotQueue(options.slots ?? defaults.slots);
		this.faults = new Faults({
			frozen: false,
			cut: [],
			lagMs: options.lagMs ?? defaults.lagMs,
			replicationPaused: false,
			dropAnswers: 0,
			dropKinds: [],
			serviceMs,
			writeServiceMs: options.writeServiceMs ?? serviceMs,
		});
		this.replicator = new Replicator(this.database, this.faults, () => this.address);
	}

	/** Port for clients and replicas. */
	get port(): number {
		return portOf(this.server!);
	}

	/** Port of the control API; undefined if there is none. */
	get controlPort(): number | undefined {
		return this.controlServer && portOf(this.controlServer);
	}

	/** Address to pass to `crocusloom_follow` of another server. */
	get address(): string {
		return `${this.host}:${this.port}`;
	}

	/** Starts listening. @throws Error if the port is in use */
	async start(): Promise<void> {
		await loadParser();
		const context = this.connectionContext();
		this.server = createServer(socket => {
			this.sockets.add(socket);
			socket.on('close', () => {
				this.sockets.delete(socket);
			});
			void new Connection(context, socket).serve();
		});
		await listen(this.server, this.host, this.options.port ?? defaults.port);
		if (this.options.controlPort !== undefined) {
			this.controlServer = await startJsonServer(this.controlRoutes(), this.host, this.options.controlPort);
		}

		if (this.options.initialPrimary) {
			this.database.startAsPrimary();
		} else if (this.options.follow !== undefined) {
			this.database.startAsReplica(this.options.follow);
		}

		this.replicator.start();
	}

	/** Stops immediately and closes open connections. */
	async stop(): Promise<void> {
		this.replicator.stop();
		this.killConnections();
		await Promise.all([this.server, this.controlServer].map(async server => closeServer(server)));
	}

	/** Closes all connections, including those of replicas. */
	killConnections(): void {
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	readCounters(): CounterValues {
		return this.counters.snapshot(this.slots.maximumBusyCount);
	}

	resetCounters(): void {
		this.counters.reset();
		this.slots.maximumBusyCount = 0;
	}

	private connectionContext(): ConnectionContext {
		const {database, slots, faults, counters, sessions, options} = this;
		return {
			database,
			slots,
			faults,
			counters,
			connectionLimit: options.connectionLimit ?? defaults.connectionLimit,
			connectMs: options.connectMs ?? defaults.connectMs,
			password: options.password,
			registerSession(processId, secretKey, session) {
				sessions.set(processId, {secretKey, session});
			},
			unregisterSession(processId) {
				sessions.delete(processId);
			},
			cancelSession(processId, secretKey) {
				const registered = sessions.get(processId);
				if (registered?.secretKey === secretKey && registered.session.runner.cancel()) {
					counters.increment('canceled');
				}
			},
		};
	}

	private controlRoutes(): JsonRoutes {
		return {
			'GET /counters': () => this.readCounters(),
			'DELETE /counters': () => {
				this.resetCounters();
			},
			'GET /faults': () => this.faults.settings,
			'PUT /faults': body => this.faults.set(body as Partial<FaultSettings>),
			'POST /kill-connections': () => {
				this.killConnections();
			},
			'GET /status': () => ({...this.database.state, position: this.database.position, isWritable: this.database.isWritable}),
		};
	}
}

async function closeServer(server: Server | HttpServer | undefined): Promise<void> {
	if (!server) {
		return;
	}

	if ('closeAllConnections' in server) {
		server.closeAllConnections();
	}

	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	});
}
