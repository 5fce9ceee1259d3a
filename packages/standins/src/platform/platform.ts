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
import {TokenBucket} from './tokenBucket.js';
import {changeFaults, noPlatformFaults, type PlatformFaults} from './platformFaults.js';
import {Store} from './store.js';
import {Watch} from './watch.js';

export type PlatformOptions = {
	readonly host?: string;
	/** 0 picks a free port. */
	readonly port?: number;
	/** Absent: no control port; 0 picks a free port. */
	readonly controlPort?: number;
	/** Rate limit of writes; calls beyond it get status 429. */
	readonly writesPerSecond?: number;
	/** Rate limit of reads; calls beyond it get status 429. */
	readonly readsPerSecond?: number;
	/** Initial value of the fault setting of this name. */
	readonly hostLagMs?: number;
};

/** Number of calls by path; `refused` counts the calls rejected by the rate limit, `lost` the responses dropped by a fault. */
export type PlatformCounters = Readonly<Record<string, number>>;

const defaults = {
	host: '127.0.0.1', port: 0, writesPerSecond: 300, readsPerSecond: 2000,
} as const;

const hostsPath = '/hosts';
const watchPath = '/v3/watch';
const readPaths: ReadonlySet<string> = new Set(['/v3/kv/range', hostsPath, watchPath]);
/** Size limit of a request, which is larger than its values because of base64 and because a transaction has several operations. */
const maximumBodyBytes = 4 * maximumValueBytes;

/** A host list and when it was set. */
type HostListUpdate = {readonly atMs: number; readonly hosts: readonly ListedHost[]};

/** Stand-in for the platform: the key-value service and the host list that the proxies use. */
export class Platform {
	readonly store = new Store();
	private readonly leases = new Leases(this.store);
	private readonly gateway = new Gateway(this.store, this.leases);
	private readonly writeRateLimiter: TokenBucket;
	private readonly readRateLimiter: TokenBucket;
	private counters: Record<string, number> = {};
	private faultSettings: PlatformFaults;
	private hostListUpdates: readonly HostListUpdate[] = [{atMs: 0, hosts: []}];
	private server?: Server;
	private controlServer?: Server;

	constructor(private readonly options: PlatformOptions = {}) {
		this.writeRateLimiter = new TokenBucket(options.writesPerSecond ?? defaults.writesPerSecond);
		this.readRateLimiter = new TokenBucket(options.readsPerSecond ?? defaults.readsPerSecond);
		this.faultSettings = {...noPlatformFaults, hostLagMs: options.hostLagMs ?? 0};
	}

	get port(): number {
		return portOf(this.server!);
	}

	/** Port of the control API; undefined if there is none. */
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
			void this.handleRequest(request, response);
		});
		await listen(this.server, host, this.options.port ?? defaults.port);
		if (this.options.controlPort !== undefined) {
			this.controlServer = await startJsonServer(this.controlRoutes(), host, this.options.controlPort);
		}
	}

	/** Stops immediately and closes open calls and watches. */
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

	/** Sets the host list, which `GET /hosts` returns after `hostLagMs`. */
	setHosts(hosts: readonly ListedHost[]): void {
		this.hostListUpdates = [...this.hostListUpdates, {atMs: performance.now(), hosts}];
	}

	/** Changes fault settings. @throws TypeError on an unknown setting or a value of the wrong type */
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

	private controlRoutes(): JsonRoutes {
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

	private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const path = request.url ?? '';
		this.incrementCounter(path);
		if (this.faultSettings.down !== 'no') {
			this.simulateOutage(request);
			return;
		}

		if (!(readPaths.has(path) ? this.readRateLimiter : this.writeRateLimiter).tryTake()) {
			this.incrementCounter('refused');
			sendJson(response, 429, {error: 'rate limit exceeded', code: 8});
			return;
		}

		try {
			await (path === watchPath ? this.startWatch(request, response) : this.handleCall(path, request, response));
		} catch (error) {
			const {status, code} = error instanceof GatewayError ? error : {status: 400, code: 3};
			const message = error instanceof Error ? error.message : String(error);
			sendJson(response, status, {error: message, code, message});
		}
	}

	private simulateOutage(request: IncomingMessage): void {
		if (this.faultSettings.down === 'refuse') {
			request.socket.destroy();
		}
	}

	private async handleCall(path: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
		const responseBody = await this.executeCall(path, request);
		if (this.faultSettings.slowMs > 0) {
			await sleep(this.faultSettings.slowMs);
		}

		if (this.faultSettings.loseAnswers > 0) {
			this.faultSettings = {...this.faultSettings, loseAnswers: this.faultSettings.loseAnswers - 1};
			this.incrementCounter('lost');
			request.socket.destroy();
			return;
		}

		if (this.faultSettings.down === 'no') {
			sendJson(response, 200, responseBody);
		}
	}

	private async executeCall(path: string, request: IncomingMessage): Promise<unknown> {
		if (path === hostsPath && request.method === 'GET') {
			return this.laggedHosts();
		}

		const handler = Object.hasOwn(this.gateway.handlers, path) ? this.gateway.handlers[path] : undefined;
		if (!handler || request.method !== 'POST') {
			throw new GatewayError(404, 5, 'Not Found');
		}

		const body = await readJson(request, maximumBodyBytes);
		return handler(body as Readonly<Record<string, unknown>>);
	}

	private async startWatch(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const firstLine = await readFirstLine(request);
		const createRequest = (JSON.parse(firstLine) as {readonly create_request?: Readonly<Record<string, unknown>>}).create_request;
		if (!createRequest) {
			throw new GatewayError(400, 3, 'create_request is missing');
		}

		if (this.faultSettings.slowMs > 0) {
			await sleep(this.faultSettings.slowMs);
		}

		new Watch(this.store, this.gateway, createRequest, () => this.faultSettings.down === 'no' && !this.faultSettings.withholdEvents).start(request, response);
	}

	private laggedHosts(): readonly ListedHost[] {
		const cutoffMs = performance.now() - this.faultSettings.hostLagMs;
		const index = this.hostListUpdates.findLastIndex(({atMs}) => atMs <= cutoffMs);
		return this.hostListUpdates[Math.max(index, 0)]!.hosts;
	}

	private incrementCounter(name: string): void {
		this.counters[name] = (this.counters[name] ?? 0) + 1;
	}
}

/** Reads the first line of a request body, or a whole JSON value without a line end. The body may stay open afterwards. */
async function readFirstLine(request: IncomingMessage): Promise<string> {
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
