import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {serialize} from 'pg-protocol';
import {
	emptyConfiguration, FailureError, noopMetrics, noopTracer, type BackendConnection, type BackendDialer, type Clock, type Configuration, type ConfigurationSource,
	type DatabaseView, type ExchangeOptions, type Failure, type GroupState, type GroupView, type LogPosition, type Member, type RankSpec, type WaitResult, type WorkRequest,
} from '@crocusloom/model';
import {
	backend, buildFrame, commandComplete, dataRow, errorResponse, FrameReader, frontend, readCString, readyForQuery, rowDescription, type Frame,
} from '@crocusloom/wire';
import {type HolderPorts} from '../heldDatabase.js';
import {Holder} from '../holder.js';

/** A clock that moves only when a test says so. */
export class ManualClock implements Clock {
	private now = 0;
	private sleepers: Array<{readonly atMs: number; readonly wake: () => void}> = [];

	nowMs(): number {
		return this.now;
	}

	wallMs(): number {
		return this.now;
	}

	async sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
		signal?.throwIfAborted();
		await new Promise<void>((resolve, reject) => {
			const abort = () => {
				this.sleepers = this.sleepers.filter(other => other !== sleeper);
				reject(signal!.reason as Error);
			};

			const sleeper = {
				atMs: this.now + durationMs,
				wake() {
					signal?.removeEventListener('abort', abort);
					resolve();
				},
			};
			this.sleepers.push(sleeper);
			signal?.addEventListener('abort', abort, {once: true});
		});
	}

	/** Moves time on, waking sleepers in order and letting their tasks run. */
	async advance(durationMs: number): Promise<void> {
		const endMs = this.now + durationMs;
		await settle();
		for (;;) {
			const due = this.sleepers.filter(({atMs}) => atMs <= endMs).toSorted((a, b) => a.atMs - b.atMs).at(0);
			if (!due) {
				break;
			}

			this.sleepers = this.sleepers.filter(other => other !== due);
			this.now = Math.max(this.now, due.atMs);
			due.wake();
			await settle();
		}

		this.now = endMs;
		await settle();
	}
}

/** Lets pending tasks of this process run. */
export async function settle(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

/** Waits for a condition on real sockets. */
export async function until(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await settle();
	}
}

/** A signal that never aborts. */
export function endlessSignal(): AbortSignal {
	return new AbortController().signal;
}

/** A promise that does not settle. */
export async function never<T = void>(): Promise<T> {
	return new Promise(() => {
		// Nothing resolves it.
	});
}

export function seededRandom(seed: number): () => number {
	let state = seed;
	return () => {
		state = ((state * 1_103_515_245) + 12_345) % 2_147_483_648;
		return state / 2_147_483_648;
	};
}

/** What a fake server answers to one session; shared by the in-process and the TCP form. */
export class FakeServer {
	position: LogPosition = {term: 1, offsetBytes: 100};
	readonly log: string[] = [];
	/** Answers of a statement wait for this when set. */
	gate: Promise<void> | undefined;
	dials = 0;
	openNow = 0;
	mostOpen = 0;
	dialing = 0;
	mostDialing = 0;
	/** Makes a dial fail. */
	refuses = false;
	dialGate: Promise<void> | undefined;
	/** Gives a longer answer or a fault for a statement text. */
	readonly answers = new Map<string, (session: FakeSession) => Buffer | Promise<Buffer>>();
	readonly sessions: FakeSession[] = [];

	readonly dialer: BackendDialer = {
		dial: async (_database, _address, _port, signal) => this.dial(signal),
	};

	private async dial(signal: AbortSignal): Promise<BackendConnection> {
		this.dials++;
		this.dialing++;
		this.mostDialing = Math.max(this.mostDialing, this.dialing);
		await this.dialGate;
		this.dialing--;
		if (this.refuses || signal.aborted) {
			throw new Error('connection refused');
		}

		const session = new FakeSession(this);
		this.sessions.push(session);
		this.openNow++;
		this.mostOpen = Math.max(this.mostOpen, this.openNow);
		return session.connection;
	}
}

/** One connection to a fake server. */
export class FakeSession {
	readonly closing = new AbortController();
	status: 'I' | 'T' | 'E' = 'I';
	cancels = 0;
	readonly prepared = new Set<string>();
	readonly connection: BackendConnection;
	private readonly reader = new FrameReader('fake server');
	private readonly output: Buffer[] = [];
	private wake: (() => void) | undefined;
	private queue: Promise<void> = Promise.resolve();
	private skipsToSync = false;
	private bound = '';

	constructor(private readonly server: FakeServer, private readonly send?: (bytes: Buffer) => void) {
		this.connection = {
			closed: this.closing.signal,
			preparedStatements: new Set(),
			write: frames => {
				this.take(frames);
			},
			read: () => this.read(),
			cancel: () => {
				this.cancels++;
			},
			close: () => {
				this.end();
			},
		};
	}

	take(bytes: Buffer): void {
		for (const frame of this.reader.push(bytes)) {
			this.queue = this.queue.then(async () => this.handle(frame));
		}
	}

	end(): void {
		if (!this.closing.signal.aborted) {
			this.server.openNow--;
			this.closing.abort();
			this.wake?.();
		}
	}

	put(bytes: Buffer): void {
		if (this.send) {
			this.send(bytes);
			return;
		}

		this.output.push(bytes);
		this.wake?.();
	}

	private async * read(): AsyncIterable<Buffer> {
		while (!this.closing.signal.aborted) {
			if (this.output.length > 0) {
				yield Buffer.concat(this.output.splice(0));
				continue;
			}

			await new Promise<void>(resolve => {
				this.wake = resolve;
			});
		}
	}

	private async handle({type, bytes}: Frame): Promise<void> {
		if (type === frontend.query) {
			await this.query(readCString(bytes, 5)!.text);
		} else if (type === frontend.sync) {
			this.skipsToSync = false;
			this.put(readyForQuery(this.status));
		} else if (!this.skipsToSync) {
			await this.extended(type, bytes);
		}
	}

	private async extended(type: number, bytes: Buffer): Promise<void> {
		const name = readCString(bytes, 5)?.text ?? '';
		switch (type) {
			case frontend.parse: {
				const {text} = readCString(bytes, 6 + Buffer.byteLength(name))!;
				this.skipsToSync = text.startsWith('BAD') || this.prepared.has(name);
				this.prepared.add(name);
				this.put(this.skipsToSync ? errorResponse({sqlState: '42601', message: `syntax error in ${text}`}) : buildFrame(backend.parseComplete, Buffer.alloc(0)));

				break;
			}

			case frontend.bind: {
				this.bound = readCString(bytes, 6 + Buffer.byteLength(name))!.text;
				this.skipsToSync = this.bound !== '' && !this.prepared.has(this.bound);
				this.put(this.skipsToSync ? errorResponse({sqlState: '26000', message: 'no such statement'}) : buildFrame(backend.bindComplete, Buffer.alloc(0)));

				break;
			}

			case frontend.execute: {
				this.put(await this.execute(this.bound));

				break;
			}
		// No default
		}
	}

	private async query(text: string): Promise<void> {
		if (text.includes('crocusloom_position')) {
			const {term, offsetBytes} = this.server.position;
			const answer = [rowDescription([{name: 'log_term'}, {name: 'log_offset'}]), dataRow([String(term), String(offsetBytes)]), commandComplete('SELECT 1')];
			this.put(Buffer.concat([...(this.status === 'E' ? [errorResponse({sqlState: '25P02', message: 'aborted'})] : answer), readyForQuery(this.status)]));
			return;
		}

		const answer = await this.execute(text);
		this.put(Buffer.concat([answer, readyForQuery(this.status)]));
	}

	private async execute(text: string): Promise<Buffer> {
		this.server.log.push(text);
		await this.server.gate;
		const special = this.server.answers.get(text);
		if (special) {
			return special(this);
		}

		if (text === 'FAIL') {
			this.status = this.status === 'I' ? 'I' : 'E';
			return errorResponse({sqlState: '22012', message: 'division by zero'});
		}

		if (text === 'BEGIN') {
			this.status = 'T';
		} else if (text === 'COMMIT' || text === 'ROLLBACK') {
			this.status = 'I';
		} else {
			return Buffer.concat([rowDescription([{name: 'answer'}]), dataRow([text]), commandComplete('SELECT 1')]);
		}

		return commandComplete(text);
	}
}

/** A fake server on a TCP port, with MD5 or cleartext login. */
export class FakeTcpServer {
	readonly cancels: Buffer[] = [];
	readonly passwords: string[] = [];
	readonly startups: string[] = [];
	private readonly server: Server;
	private readonly sockets = new Set<Socket>();

	constructor(readonly fake: FakeServer, private readonly method: 'trust' | 'cleartext' | 'md5' = 'trust') {
		this.server = createServer(socket => {
			socket.setNoDelay(true);
			this.sockets.add(socket);
			socket.on('error', () => undefined);
			socket.once('data', (first: Buffer) => {
				this.startUp(socket, first);
			});
		});
	}

	async listen(): Promise<number> {
		return new Promise(resolve => {
			this.server.listen(0, '127.0.0.1', () => {
				resolve((this.server.address() as AddressInfo).port);
			});
		});
	}

	close(): void {
		this.server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	private startUp(socket: Socket, first: Buffer): void {
		if (first.readInt32BE(4) === 80_877_102) {
			this.cancels.push(first.subarray(8));
			socket.end();
			return;
		}

		this.startups.push(first.toString('utf8', 8));
		if (this.method === 'trust') {
			this.ready(socket);
			return;
		}

		const request = this.method === 'md5' ? Buffer.from([0, 0, 0, 5, 1, 2, 3, 4]) : Buffer.from([0, 0, 0, 3]);
		socket.write(buildFrame(backend.authentication, request));
		socket.once('data', (password: Buffer) => {
			this.passwords.push(readCString(password, 5)!.text);
			this.ready(socket);
		});
	}

	private ready(socket: Socket): void {
		const session = new FakeSession(this.fake, bytes => {
			// Written in two parts, so that frames are cut at other places than frame boundaries.
			const middle = Math.floor(bytes.length / 2);
			socket.write(bytes.subarray(0, middle));
			socket.write(bytes.subarray(middle));
		});
		this.fake.sessions.push(session);
		socket.write(buildFrame(backend.authentication, Buffer.from([0, 0, 0, 0])));
		socket.write(buildFrame(backend.backendKeyData, Buffer.from([0, 0, 0, 7, 0, 0, 0, 9])));
		socket.write(readyForQuery('I'));
		socket.on('data', (bytes: Buffer) => {
			session.take(bytes);
		});
		session.closing.signal.addEventListener('abort', () => {
			socket.destroy();
		});
	}
}

/** A group view that a test sets. */
export class FakeView implements GroupView {
	readonly waits: LogPosition[] = [];
	answer: WaitResult = 'reached';
	ages = new Map<string, number>();
	reaches = true;
	gate: Promise<void> | undefined;

	constructor(public current: GroupState) {}

	state(): GroupState {
		return this.current;
	}

	async waitForMajority(position: LogPosition, _timeoutMs: number, signal: AbortSignal): Promise<WaitResult> {
		this.waits.push(position);
		const aborted = new Promise<never>((_resolve, reject) => {
			signal.addEventListener('abort', () => {
				reject(signal.reason as Error);
			}, {once: true});
		});
		await (this.gate && Promise.race([this.gate, aborted]));
		return this.answer;
	}

	async commitPosition(): Promise<LogPosition> {
		return this.current.majorityPosition;
	}

	async waitForDatabase(): Promise<boolean> {
		return this.reaches;
	}

	provenAgeMs(database: string): number {
		return this.ages.get(database) ?? Infinity;
	}

	promotions(): [] {
		return [];
	}
}

export function groupState(overrides: Partial<GroupState> = {}): GroupState {
	const view = (database: string, role: 'primary' | 'replica'): DatabaseView => ({
		database, reachable: true, role, fencedTerm: 1, position: {term: 1, offsetBytes: 100}, provenAgeMs: 0, silentMs: 0,
	});
	return {
		group: 'g',
		term: 1,
		primary: 'a',
		majorityPosition: {term: 1, offsetBytes: 50},
		databases: [view('a', 'primary'), view('b', 'replica'), view('c', 'replica')],
		confirmedAgeMs: 0,
		reportedBy: 'h1',
		...overrides,
	};
}

export const threeRanks: Readonly<Record<string, RankSpec>> = {
	first: {order: 1, targetMs: 50, floorShare: 0.5},
	second: {order: 2, targetMs: 500, floorShare: 0.2},
	third: {order: 3, targetMs: 5000, floorShare: 0.1},
};

/** A configuration with one group of three databases. */
export class FakeConfiguration implements ConfigurationSource {
	private readonly listeners = new Set<(configuration: Configuration) => void>();
	private configuration: Configuration;

	constructor(port = 1, acknowledgement: 'majority' | 'primary' = 'majority') {
		const databases = ['a', 'b', 'c'].map(name => ({
			name, address: '127.0.0.1', port, failureDomain: 'd', leaving: false,
		}));
		const spec = {
			databases, slotsPerDatabase: 3, connectionsPerDatabase: 20, acknowledgement,
		};
		const ranks = Object.entries(threeRanks).map(([name, rank]) => [name, {
			kind: 'ranks' as const, name, revision: 1, spec: rank,
		}] as const);
		this.configuration = {
			...emptyConfiguration,
			revision: 1,
			databaseGroups: new Map([['g', {
				kind: 'databaseGroups', name: 'g', revision: 1, spec,
			}]]),
			ranks: new Map(ranks),
		};
	}

	current(): Configuration {
		return this.configuration;
	}

	onChange(listener: (configuration: Configuration) => void): void {
		this.listeners.add(listener);
	}

	/** Marks a database as leaving. */
	markLeaving(name: string): void {
		const group = this.configuration.databaseGroups.get('g')!;
		const databases = group.spec.databases.map(database => ({...database, leaving: database.leaving || database.name === name}));
		this.configuration = {...this.configuration, databaseGroups: new Map([['g', {...group, spec: {...group.spec, databases}}]])};
		for (const listener of this.listeners) {
			listener(this.configuration);
		}
	}
}

export function holderPorts(clock: Clock, dialer: BackendDialer, view: GroupView): HolderPorts {
	return {
		clock, dialer, random: {next: () => 0.5}, groupViews: {get: () => view}, metrics: noopMetrics, tracer: noopTracer,
	};
}

export function workRequest(overrides: Partial<WorkRequest> = {}): WorkRequest {
	return {
		group: 'g', database: 'a', mode: 'write', rank: 'first', callerKey: 'caller', waitLimitMs: 1000, ...overrides,
	};
}

export function exchangeOptions(overrides: Partial<ExchangeOptions> = {}): ExchangeOptions {
	return {mayCommit: true, signal: new AbortController().signal, ...overrides};
}

export function query(text: string): Buffer {
	return serialize.query(text);
}

/** A sink that records the types of the frames it receives. */
export class RecordingSink {
	readonly parts: Buffer[] = [];

	readonly sink = (frames: Buffer): void => {
		this.parts.push(Buffer.from(frames));
	};

	/** Types of the received frames, for example `TDCZ`. */
	get types(): string {
		return new FrameReader('sink').push(Buffer.concat(this.parts)).map(({type}) => String.fromCodePoint(type)).join('');
	}

	/** Received bytes as text, to look for a statement's own answer. */
	get text(): string {
		return Buffer.concat(this.parts).toString('latin1');
	}
}

/** A holder of a fake server's databases on a manual clock. */
export function setUp(acknowledgement: 'majority' | 'primary' = 'majority') {
	const clock = new ManualClock();
	const server = new FakeServer();
	const view = new FakeView(groupState());
	const configuration = new FakeConfiguration(1, acknowledgement);
	const holder = new Holder(holderPorts(clock, server.dialer, view), configuration, new AbortController().signal);
	return {
		clock, server, view, configuration, holder,
	};
}

/** The failure with which a promise rejects; undefined when it resolves. */
export async function outcomeOf(promise: Promise<unknown>): Promise<Failure | undefined> {
	try {
		await promise;
		return undefined;
	} catch (error) {
		if (error instanceof FailureError) {
			return error.failure;
		}

		throw error;
	}
}

/** The failure with which a promise rejects. */
export async function failureOf(promise: Promise<unknown>): Promise<Failure> {
	const failure = await outcomeOf(promise);
	if (failure) {
		return failure;
	}

	throw new Error('no failure');
}

/** A live peer with a work port on this machine. */
export function member(workPort: number): Member {
	return {
		host: 'peer', incarnation: 1, failureDomain: 'd', address: '127.0.0.1', peerPort: 0, workPort, operatorPort: 0, state: 'alive', leaving: false, configurationRevision: 0, silentMs: 0,
	};
}
