import {type Server as HttpServer} from 'node:http';
import {createServer, type Server, type Socket} from 'node:net';
import {
	listen, portOf, startJsonServer, type JsonRoutes,
} from '../common/jsonServer.js';
import {
	loadParser,
} from './ast.js';
import {Connection, type ConnectionHost} from './connection.js';
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
	readonly slots?: number;
	readonly connectionLimit?: number;
	/** Delay before a new connection is ready, in milliseconds. */
	readonly connectMs?: number;
	readonly password?: string;
	readonly serviceMs?: number;
	readonly writeServiceMs?: number;
	readonly lagMs?: number;
	/** Starts as the primary of term 1 instead of as an empty replica at fenced term 0. */
	readonly initialPrimary?: boolean;
	/** Address (`host:port`) of the primary of term 1 to follow from the start. */
	readonly follow?: string;
};

const defaults = {
	host: '127.0.0.1', port: 0, slots: 3, connectionLimit: 20, connectMs: 10, serviceMs: 2, lagMs: 0,
} as const;

/** A PostgreSQL server as the proxies see it: protocol, slots, log, terms and replication. */
export class BackendServer {
	readonly database = new Database();
	readonly faults: Faults;
	private readonly counters = new Counters();
	private readonly slots: SlotQueue;
	private readonly sockets = new Set<Socket>();
	private readonly sessions = new Map<number, {readonly secret: number; readonly session: Session}>();
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

	/** Port on which callers and replicas connect. */
	get port(): number {
		return portOf(this.server!);
	}

	/** Port of the fault switches; undefined if there is none. */
	get controlPort(): number | undefined {
		return this.controlServer && portOf(this.controlServer);
	}

	/** Address as other servers name it in `crocusloom_follow`. */
	get address(): string {
		return `${this.host}:${this.port}`;
	}

	/** Starts listening. @throws Error if the port is in use */
	async start(): Promise<void> {
		await loadParser();
		const host = this.connectionHost();
		this.server = createServer(socket => {
			this.sockets.add(socket);
			socket.on('close', () => {
				this.sockets.delete(socket);
			});
			void new Connection(host, socket).serve();
		});
		await listen(this.server, this.host, this.options.port ?? defaults.port);
		if (this.options.controlPort !== undefined) {
			this.controlServer = await startJsonServer(this.routes(), this.host, this.options.controlPort);
		}

		if (this.options.initialPrimary) {
			this.database.startAsPrimary();
		} else if (this.options.follow !== undefined) {
			this.database.startAsReplica(this.options.follow);
		}

		this.replicator.start();
	}

	/** Stops at once; open connections are closed. */
	async stop(): Promise<void> {
		this.replicator.stop();
		this.killConnections();
		await Promise.all([this.server, this.controlServer].map(async server => close(server)));
	}

	/** Closes all connections, replication included. */
	killConnections(): void {
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	readCounters(): CounterValues {
		return this.counters.read(this.slots.maximumBusy);
	}

	resetCounters(): void {
		this.counters.reset();
		this.slots.maximumBusy = 0;
	}

	private connectionHost(): ConnectionHost {
		const {database, slots, faults, counters, sessions, options} = this;
		return {
			database,
			slots,
			faults,
			counters,
			connectionLimit: options.connectionLimit ?? defaults.connectionLimit,
			connectMs: options.connectMs ?? defaults.connectMs,
			password: options.password,
			register(processId, secret, session) {
				sessions.set(processId, {secret, session});
			},
			unregister(processId) {
				sessions.delete(processId);
			},
			cancel(processId, secret) {
				const entry = sessions.get(processId);
				if (entry?.secret === secret && entry.session.runner.cancel()) {
					counters.count('canceled');
				}
			},
		};
	}

	private routes(): JsonRoutes {
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

async function close(server: Server | HttpServer | undefined): Promise<void> {
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
