import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {serialize} from 'pg-protocol';
import {
	emptyConfiguration, FailureError, noopMetrics, noopTracer, type BackendConnection, type BackendDialer, type Clock, type Configuration, type ConfigurationSource,
	type DatabaseView, type ExchangeOptions, type Failure, type GroupState, type GroupView, type LogPosition, type Member, type RankSpec, type WaitResult, type WorkRequest,
} from '@crocusloom/model';
import {FakeClock} from '@crocusloom/model/testing';
import {
	backendTypes, buildFrame, commandComplete, dataRow, errorResponse, FrameReader, frontendTypes, readCString, readyForQuery, rowDescription, type Frame,
} from '@crocusloom/wire';
import {type HolderPorts} from '../heldDatabase.js';
import {Holder} from '../holder.js';

/** Runs the pending tasks of the event loop. */
export async function runPendingTasks(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

/** Waits until a condition that depends on real I/O is met. */
export async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await runPendingTasks();
	}
}

/** Returns a signal that never aborts. */
export function neverAbortingSignal(): AbortSignal {
	return new AbortController().signal;
}

/** Returns a promise that never settles. */
export async function neverSettling<T = void>(): Promise<T> {
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

/** State and responses of a fake PostgreSQL server, for in-process and TCP connections. */
export class FakeServer {
	position: LogPosition = {term: 1, offsetBytes: 100};
	readonly executedTexts: string[] = [];
	/** If set, the responses to statements are delayed until it resolves. */
	responseGate: Promise<void> | undefined;
	dialCount = 0;
	openCount = 0;
	maximumOpenCount = 0;
	dialingCount = 0;
	maximumDialingCount = 0;
	/** If true, dials fail. */
	isRefusingDials = false;
	dialGate: Promise<void> | undefined;
	/** Custom responses or faults by statement text. */
	readonly responses = new Map<string, (session: FakeSession) => Buffer | Promise<Buffer>>();
	readonly sessions: FakeSession[] = [];

	readonly dialer: BackendDialer = {
		dial: async (_database, _address, _port, signal) => this.dial(signal),
	};

	private async dial(signal: AbortSignal): Promise<BackendConnection> {
		this.dialCount++;
		this.dialingCount++;
		this.maximumDialingCount = Math.max(this.maximumDialingCount, this.dialingCount);
		await this.dialGate;
		this.dialingCount--;
		if (this.isRefusingDials || signal.aborted) {
			throw new Error('connection refused');
		}

		const session = new FakeSession(this);
		this.sessions.push(session);
		this.openCount++;
		this.maximumOpenCount = Math.max(this.maximumOpenCount, this.openCount);
		return session.connection;
	}
}

/** One connection to a fake server. */
export class FakeSession {
	readonly closeController = new AbortController();
	status: 'I' | 'T' | 'E' = 'I';
	cancelCount = 0;
	readonly prepared = new Set<string>();
	readonly connection: BackendConnection;
	private readonly reader = new FrameReader('fake server');
	private readonly output: Buffer[] = [];
	private wakeReader: (() => void) | undefined;
	private pendingFrames: Promise<void> = Promise.resolve();
	private isSkippingToSync = false;
	private boundStatement = '';

	constructor(private readonly server: FakeServer, private readonly send?: (bytes: Buffer) => void) {
		this.connection = {
			closed: this.closeController.signal,
			preparedStatements: new Set(),
			write: frames => {
				this.receive(frames);
			},
			read: () => this.read(),
			cancel: () => {
				this.cancelCount++;
			},
			close: () => {
				this.close();
			},
		};
	}

	receive(bytes: Buffer): void {
		for (const frame of this.reader.push(bytes)) {
			this.pendingFrames = this.pendingFrames.then(async () => this.handleFrame(frame));
		}
	}

	close(): void {
		if (!this.closeController.signal.aborted) {
			this.server.openCount--;
			this.closeController.abort();
			this.wakeReader?.();
		}
	}

	emit(bytes: Buffer): void {
		if (this.send) {
			this.send(bytes);
			return;
		}

		this.output.push(bytes);
		this.wakeReader?.();
	}

	private async * read(): AsyncIterable<Buffer> {
		while (!this.closeController.signal.aborted) {
			if (this.output.length > 0) {
				yield Buffer.concat(this.output.splice(0));
				continue;
			}

			await new Promise<void>(resolve => {
				this.wakeReader = resolve;
			});
		}
	}

	private async handleFrame({type, bytes}: Frame): Promise<void> {
		if (type === frontendTypes.query) {
			await this.handleQuery(readCString(bytes, 5)!.text);
		} else if (type === frontendTypes.sync) {
			this.isSkippingToSync = false;
			this.emit(readyForQuery(this.status));
		} else if (!this.isSkippingToSync) {
			await this.handleExtended(type, bytes);
		}
	}

	private async handleExtended(type: number, bytes: Buffer): Promise<void> {
		const name = readCString(bytes, 5)?.text ?? '';
		switch (type) {
			case frontendTypes.parse: {
				const {text} = readCString(bytes, 6 + Buffer.byteLength(name))!;
				this.isSkippingToSync = text.startsWith('BAD') || this.prepared.has(name);
				this.prepared.add(name);
				this.emit(this.isSkippingToSync ? errorResponse({sqlState: '42601', message: `syntax error in ${text}`}) : buildFrame(backendTypes.parseComplete, Buffer.alloc(0)));

				break;
			}

			case frontendTypes.bind: {
				this.boundStatement = readCString(bytes, 6 + Buffer.byteLength(name))!.text;
				this.isSkippingToSync = this.boundStatement !== '' && !this.prepared.has(this.boundStatement);
				this.emit(this.isSkippingToSync ? errorResponse({sqlState: '26000', message: 'no such statement'}) : buildFrame(backendTypes.bindComplete, Buffer.alloc(0)));

				break;
			}

			case frontendTypes.execute: {
				this.emit(await this.execute(this.boundStatement));

				break;
			}
		// No default
		}
	}

	private async handleQuery(text: string): Promise<void> {
		if (text.includes('crocusloom_position')) {
			const {term, offsetBytes} = this.server.position;
			const positionResponse = [rowDescription([{name: 'log_term'}, {name: 'log_offset'}]), dataRow([String(term), String(offsetBytes)]), commandComplete('SELECT 1')];
			this.emit(Buffer.concat([...(this.status === 'E' ? [errorResponse({sqlState: '25P02', message: 'aborted'})] : positionResponse), readyForQuery(this.status)]));
			return;
		}

		const response = await this.execute(text);
		this.emit(Buffer.concat([response, readyForQuery(this.status)]));
	}

	private async execute(text: string): Promise<Buffer> {
		this.server.executedTexts.push(text);
		await this.server.responseGate;
		const customResponse = this.server.responses.get(text);
		if (customResponse) {
			return customResponse(this);
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

/** A fake server on a TCP port, with trust, cleartext or MD5 authentication. */
export class FakeTcpServer {
	readonly cancelKeys: Buffer[] = [];
	readonly passwords: string[] = [];
	readonly startupMessages: string[] = [];
	private readonly server: Server;
	private readonly sockets = new Set<Socket>();

	constructor(readonly fake: FakeServer, private readonly authenticationMethod: 'trust' | 'cleartext' | 'md5' = 'trust') {
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
			this.cancelKeys.push(first.subarray(8));
			socket.end();
			return;
		}

		this.startupMessages.push(first.toString('utf8', 8));
		if (this.authenticationMethod === 'trust') {
			this.completeStartup(socket);
			return;
		}

		const request = this.authenticationMethod === 'md5' ? Buffer.from([0, 0, 0, 5, 1, 2, 3, 4]) : Buffer.from([0, 0, 0, 3]);
		socket.write(buildFrame(backendTypes.authentication, request));
		socket.once('data', (password: Buffer) => {
			this.passwords.push(readCString(password, 5)!.text);
			this.completeStartup(socket);
		});
	}

	private completeStartup(socket: Socket): void {
		const session = new FakeSession(this.fake, bytes => {
			// Written in two parts, so that frames are split.
			const middle = Math.floor(bytes.length / 2);
			socket.write(bytes.subarray(0, middle));
			socket.write(bytes.subarray(middle));
		});
		this.fake.sessions.push(session);
		socket.write(buildFrame(backendTypes.authentication, Buffer.from([0, 0, 0, 0])));
		socket.write(buildFrame(backendTypes.backendKeyData, Buffer.from([0, 0, 0, 7, 0, 0, 0, 9])));
		socket.write(readyForQuery('I'));
		socket.on('data', (bytes: Buffer) => {
			session.receive(bytes);
		});
		session.closeController.signal.addEventListener('abort', () => {
			socket.destroy();
		});
	}
}

/** A group view whose state and results a test sets. */
export class FakeView implements GroupView {
	readonly majorityWaits: LogPosition[] = [];
	majorityResult: WaitResult = 'reached';
	provenAgesMs = new Map<string, number>();
	isPositionReached = true;
	majorityGate: Promise<void> | undefined;

	constructor(public currentState: GroupState) {}

	state(): GroupState {
		return this.currentState;
	}

	async waitForMajority(position: LogPosition, _timeoutMs: number, signal: AbortSignal): Promise<WaitResult> {
		this.majorityWaits.push(position);
		const aborted = new Promise<never>((_resolve, reject) => {
			signal.addEventListener('abort', () => {
				reject(signal.reason as Error);
			}, {once: true});
		});
		await (this.majorityGate && Promise.race([this.majorityGate, aborted]));
		return this.majorityResult;
	}

	async commitPosition(): Promise<LogPosition> {
		return this.currentState.majorityPosition;
	}

	async waitForDatabase(): Promise<boolean> {
		return this.isPositionReached;
	}

	provenAgeMs(database: string): number {
		return this.provenAgesMs.get(database) ?? Infinity;
	}

	promotions(): [] {
		return [];
	}
}

export function groupState(overrides: Partial<GroupState> = {}): GroupState {
	const databaseView = (database: string, role: 'primary' | 'replica'): DatabaseView => ({
		database, reachable: true, role, fencedTerm: 1, position: {term: 1, offsetBytes: 100}, provenAgeMs: 0, silentMs: 0,
	});
	return {
		group: 'g',
		term: 1,
		primary: 'a',
		majorityPosition: {term: 1, offsetBytes: 50},
		databases: [databaseView('a', 'primary'), databaseView('b', 'replica'), databaseView('c', 'replica')],
		confirmedAgeMs: 0,
		reportedBy: 'h1',
		...overrides,
	};
}

export const rankSpecs: Readonly<Record<string, RankSpec>> = {
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
		const ranks = Object.entries(rankSpecs).map(([name, rank]) => [name, {
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

/** A sink that records the frames that it receives. */
export class RecordingSink {
	readonly parts: Buffer[] = [];

	readonly sink = (frames: Buffer): void => {
		this.parts.push(Buffer.from(frames));
	};

	/** Types of the received frames, for example `TDCZ`. */
	get types(): string {
		return new FrameReader('sink').push(Buffer.concat(this.parts)).map(({type}) => String.fromCodePoint(type)).join('');
	}

	/** Received bytes as text, to search for the response to a statement. */
	get text(): string {
		return Buffer.concat(this.parts).toString('latin1');
	}
}

/** Creates a holder with a fake server and a manual clock. */
export function setUp(acknowledgement: 'majority' | 'primary' = 'majority') {
	const clock = new FakeClock();
	const server = new FakeServer();
	const view = new FakeView(groupState());
	const configuration = new FakeConfiguration(1, acknowledgement);
	const holder = new Holder(holderPorts(clock, server.dialer, view), configuration, new AbortController().signal);
	return {
		clock, server, view, configuration, holder,
	};
}

/** Returns the failure with which a promise rejects, or undefined if it resolves. */
export async function failureIfRejected(promise: Promise<unknown>): Promise<Failure | undefined> {
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

/**
 * Returns the failure with which a promise rejects.
 * @throws Error if the promise resolves
 */
export async function failureOf(promise: Promise<unknown>): Promise<Failure> {
	const failure = await failureIfRejected(promise);
	if (failure) {
		return failure;
	}

	throw new Error('the promise resolved instead of rejecting');
}

/** Returns a live peer whose work server listens on this host. */
export function member(workPort: number): Member {
	return {
		host: 'peer', incarnation: 1, failureDomain: 'd', address: '127.0.0.1', peerPort: 0, workPort, operatorPort: 0, state: 'alive', leaving: false, configurationRevision: 0, silentMs: 0,
	};
}
