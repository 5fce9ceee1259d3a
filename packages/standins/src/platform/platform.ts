import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {type ListedHost} from '@crocusloom/model';
import {
	listen, portOf, readJson, sendJson, startJsonServer, type JsonRoutes,
} from '../common/jsonServer.js';
import {
	Gateway, GatewayError, maximumValueBytes,
} from './gateway.js';
import {Leases} from './leases.js';
import {TokenBucket} from './limits.js';
import {changeFaults, noPlatformFaults, type PlatformFaults} from './platformFaults.js';
import {Store} from './store.js';
import {Watch} from './watch.js';

export type PlatformOptions = {
	readonly host?: string;
	/** 0 picks a free port. */
	readonly port?: number;
	/** Absent: no control port; 0 picks a free port. */
	readonly controlPort?: number;
	readonly writesPerSecond?: number;
	readonly readsPerSecond?: number;
	readonly hostLagMs?: number;
};

/** Counts by path, with those refused for their rate under `refused`. */
export type PlatformCounters = Readonly<Record<string, number>>;

const defaults = {
	host: '127.0.0.1', port: 0, writesPerSecond: 300, readsPerSecond: 2000,
} as const;

const hostsPath = '/hosts';
const watchPath = '/v3/watch';
const readPaths: ReadonlySet<string> = new Set(['/v3/kv/range', hostsPath, watchPath]);
/** Base64 and several operations of one transaction make a request larger than its values. */
const maximumBodyBytes = 4 * maximumValueBytes;

type HostsAt = {readonly atMs: number; readonly hosts: readonly ListedHost[]};

/** The platform as the proxies see it: the key-value service and the list of hosts. */
export class Platform {
	readonly store = new Store();
	private readonly leases = new Leases(this.store);
	private readonly gateway = new Gateway(this.store, this.leases);
	private readonly writes: TokenBucket;
	private readonly reads: TokenBucket;
	private counters: Record<string, number> = {};
	private faultSettings: PlatformFaults;
	private hostLists: readonly HostsAt[] = [{atMs: 0, hosts: []}];
	private server?: Server;
	private controlServer?: Server;

	constructor(private readonly options: PlatformOptions = {}) {
		this.writes = new TokenBucket(options.writesPerSecond ?? defaults.writesPerSecond);
		this.reads = new TokenBucket(options.readsPerSecond ?? defaults.readsPerSecond);
		this.faultSettings = {...noPlatformFaults, hostLagMs: options.hostLagMs ?? 0};
	}

	get port(): number {
		return portOf(this.server!);
	}

	/** Port of the fault switches; undefined if there is none. */
	get controlPort(): number | undefined {
		return this.controlServer && portOf(this.controlServer);
	}

	get url(): string {
		return `http://${this.options.host ?? defaults.host}:${this.port}`;
	}

	get faults(): PlatformFaults {
		return this.faultSettings;
	}

	/** Starts listening. @throws Error if the port is in use */
	async start(): Promise<void> {
		const host = this.options.host ?? defaults.host;
		this.server = createServer((request, response) => {
			void this.serve(request, response);
		});
		await listen(this.server, host, this.options.port ?? defaults.port);
		if (this.options.controlPort !== undefined) {
			this.controlServer = await startJsonServer(this.routes(), host, this.options.controlPort);
		}
	}

	/** Stops at once; open calls and watches are closed. */
	async stop(): Promise<void> {
		this.leases.stop();
		await Promise.all([this.server, this.controlServer].map(async server => {
			server?.closeAllConnections();
			await new Promise<void>(resolve => {
				if (server) {
					server.close(() => {
						resolve();
					});
				} else {
					resolve();
				}
			});
		}));
	}

	/** Sets the list that `GET /hosts` shows after its lag. */
	setHosts(hosts: readonly ListedHost[]): void {
		this.hostLists = [...this.hostLists, {atMs: performance.now(), hosts}];
	}

	/** Changes fault switches. @throws TypeError on an unknown switch */
	setFaults(change: Partial<PlatformFaults>): PlatformFaults {
		this.faultSettings = changeFaults(this.faultSettings, change);
		if (this.faultSettings.down === 'refuse') {
			this.server?.closeAllConnections();
		}

		return this.faultSettings;
	}

	readCounters(): PlatformCounters {
		return {...this.counters};
	}

	private routes(): JsonRoutes {
		return {
			'GET /counters': () => this.readCounters(),
			'DELETE /counters': () => {
				this.counters = {};
			},
			'GET /faults': () => this.faultSettings,
			'PUT /faults': body => this.setFaults(body as Partial<PlatformFaults>),
			'PUT /hosts': body => {
				this.setHosts(body as readonly ListedHost[]);
			},
		};
	}

	private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const path = request.url ?? '';
		this.count(path);
		if (this.faultSettings.down !== 'no') {
			this.beDown(request);
			return;
		}

		if (!(readPaths.has(path) ? this.reads : this.writes).take()) {
			this.count('refused');
			sendJson(response, 429, {error: 'rate limit exceeded', code: 8});
			return;
		}

		try {
			await (path === watchPath ? this.watch(request, response) : this.call(path, request, response));
		} catch (error) {
			const {status, code} = error instanceof GatewayError ? error : {status: 400, code: 3};
			const message = error instanceof Error ? error.message : String(error);
			sendJson(response, status, {error: message, code, message});
		}
	}

	private beDown(request: IncomingMessage): void {
		if (this.faultSettings.down === 'refuse') {
			request.socket.destroy();
		}
	}

	private async call(path: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
		const answer = await this.effect(path, request);
		if (this.faultSettings.slowMs > 0) {
			await sleep(this.faultSettings.slowMs);
		}

		if (this.faultSettings.loseAnswers > 0) {
			this.faultSettings = {...this.faultSettings, loseAnswers: this.faultSettings.loseAnswers - 1};
			this.count('lost');
			request.socket.destroy();
			return;
		}

		if (this.faultSettings.down === 'no') {
			sendJson(response, 200, answer);
		}
	}

	private async effect(path: string, request: IncomingMessage): Promise<unknown> {
		if (path === hostsPath && request.method === 'GET') {
			return this.visibleHosts();
		}

		const handler = Object.hasOwn(this.gateway.calls, path) ? this.gateway.calls[path] : undefined;
		if (!handler || request.method !== 'POST') {
			throw new GatewayError(404, 5, 'Not Found');
		}

		const body = await readJson(request, maximumBodyBytes);
		return handler(body as Readonly<Record<string, unknown>>);
	}

	private async watch(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const line = await firstLine(request);
		const create = (JSON.parse(line) as {readonly create_request?: Readonly<Record<string, unknown>>}).create_request;
		if (!create) {
			throw new GatewayError(400, 3, 'create_request is missing');
		}

		if (this.faultSettings.slowMs > 0) {
			await sleep(this.faultSettings.slowMs);
		}

		new Watch(this.store, this.gateway, create, () => this.faultSettings.down === 'no').start(request, response);
	}

	private visibleHosts(): readonly ListedHost[] {
		const beforeMs = performance.now() - this.faultSettings.hostLagMs;
		const index = this.hostLists.findLastIndex(({atMs}) => atMs <= beforeMs);
		return this.hostLists[Math.max(index, 0)]!.hosts;
	}

	private count(name: string): void {
		this.counters[name] = (this.counters[name] ?? 0) + 1;
	}
}

/** Reads the first JSON line of a body that may stay open. */
async function firstLine(request: IncomingMessage): Promise<string> {
	return new Promise((resolve, reject) => {
		let text = '';
		const onData = (chunk: Buffer) => {
			text += chunk.toString('utf8');
			if (text.includes('\n') || isJson(text)) {
				request.off('data', onData);
				resolve(text.split('\n')[0]!);
			} else if (text.length > maximumBodyBytes) {
				reject(new GatewayError(400, 3, 'the watch request is too large'));
			}
		};

		request.on('data', onData);
		request.once('end', () => {
			resolve(text.split('\n')[0]!);
		});
		request.once('error', reject);
	});
}

function isJson(text: string): boolean {
	try {
		JSON.parse(text);
		return true;
	} catch {
		return false;
	}
}
