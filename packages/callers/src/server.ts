import {createServer, type Server, type Socket} from 'node:net';
import {createSecureContext, type SecureContext} from 'node:tls';
import {FailureError, sqlStates} from '@crocusloom/model';
import {
	backend, buildFrame, loadClassifier, parameterStatus, readyForQuery,
} from '@crocusloom/wire';
import {Authenticator, authenticationOk} from './authentication.js';
import {CancelRegistry, type CancelKey} from './cancel.js';
import {CallerChannel} from './channel.js';
import {
	callerSqlStates, failureOf, failureResponse, refusal, shutDownFailure,
} from './errors.js';
import {chooseRoute} from './routes.js';
import {Session} from './session.js';
import {reportedValues, SessionSettings} from './settings.js';
import {parseStartupOptions, readStartup} from './startup.js';
import {defaultCallerLimits, type CallerLimits, type CallerServerOptions} from './types.js';

/** Startup parameters that are not settings. */
const notSettings: ReadonlySet<string> = new Set(['user', 'database', 'options', 'replication']);
/** Connections beyond the limit that are still answered with 53300; further ones are closed at once. */
const refusalReserve = 64;

/** Accepts callers and serves each with one task. */
export class CallerServer {
	private readonly limits: CallerLimits;
	private readonly sessions = new Set<Session>();
	/** Connections before the end of authentication. */
	private readonly starting = new Set<CallerChannel>();
	private readonly connections = new Set<CallerChannel>();
	private readonly authenticator: Authenticator;
	private readonly cancels: CancelRegistry;
	private readonly secureContext: SecureContext | undefined;
	private server: Server | undefined;
	private isDraining = false;
	private wakeDrain: (() => void) | undefined;

	constructor(private readonly options: CallerServerOptions) {
		this.limits = {...defaultCallerLimits, ...options.limits};
		this.authenticator = new Authenticator(options.users);
		this.cancels = new CancelRegistry(options.membership, options.peers, options.log);
		this.secureContext = options.tls && createSecureContext({key: options.tls.key, cert: options.tls.certificate});
	}

	/** Callers connected now. */
	get callerCount(): number {
		return this.connections.size;
	}

	/**
	 * Starts to accept callers.
	 * @param signal - closes the server and all connections when it aborts
	 * @returns the port
	 */
	async listen(signal: AbortSignal): Promise<number> {
		await loadClassifier();
		const server = createServer({noDelay: true, keepAlive: true}, socket => {
			void this.serve(socket);
		});
		this.server = server;
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(this.options.port, this.options.address, resolve);
		});
		signal.addEventListener('abort', () => {
			this.close();
		}, {once: true});
		const address = server.address();
		return typeof address === 'object' && address ? address.port : this.options.port;
	}

	/**
	 * Stops accepting; idle callers are closed at once, others when their transaction has ended.
	 * @param deadlineMs - time after which the remaining ones are closed as well
	 */
	async drain(deadlineMs: number): Promise<void> {
		this.isDraining = true;
		this.server?.close();
		for (const channel of this.starting) {
			channel.end(failureResponse(shutDownFailure(channel.peer), 'FATAL'));
		}

		for (const session of this.sessions) {
			session.drain();
		}

		const timer = new AbortController();
		const deadline = this.options.clock.sleep(deadlineMs, timer.signal).catch(() => undefined);
		await Promise.race([deadline, this.allClosed()]);
		timer.abort();
		for (const session of this.sessions) {
			session.shutDown();
		}

		for (const channel of this.connections) {
			channel.end();
		}

		// Channels that have ended close by themselves a second later at the latest.
		await this.allClosed();
	}

	private close(): void {
		this.server?.close();
		for (const channel of this.connections) {
			channel.socket.destroy();
		}
	}

	private async allClosed(): Promise<void> {
		return new Promise(resolve => {
			this.wakeDrain = resolve;
			this.checkDrained();
		});
	}

	private checkDrained(): void {
		if (this.isDraining && this.connections.size === 0) {
			this.wakeDrain?.();
		}
	}

	private async serve(socket: Socket): Promise<void> {
		const peer = `${socket.remoteAddress ?? 'unknown'}:${socket.remotePort ?? 0}`;
		const channel = new CallerChannel(socket, peer, this.limits, this.options.clock);
		this.track(channel);
		if (this.connections.size > this.limits.maximumCallers + refusalReserve) {
			socket.destroy();
			return;
		}

		const timer = new AbortController();
		void this.closeLate(channel, timer.signal);
		try {
			await this.start(channel, timer);
		} catch (error) {
			channel.end(failureResponse(failureOf(error, peer), 'FATAL'));
		} finally {
			timer.abort();
		}
	}

	private track(channel: CallerChannel): void {
		this.connections.add(channel);
		this.starting.add(channel);
		this.options.metrics.gauge('callers_connections', this.connections.size);
		channel.socket.once('close', () => {
			this.connections.delete(channel);
			this.starting.delete(channel);
			this.options.metrics.gauge('callers_connections', this.connections.size);
			this.checkDrained();
		});
	}

	/** Closes a connection whose startup takes too long. */
	private async closeLate(channel: CallerChannel, signal: AbortSignal): Promise<void> {
		try {
			await this.options.clock.sleep(this.limits.startupMs, signal);
		} catch {
			return;
		}

		this.options.metrics.count('callers_startup_timeouts');
		channel.end(failureResponse({
			kind: 'protocol', step: 'startup', peer: channel.peer, sqlState: sqlStates.protocolViolation, message: `startup took longer than ${this.limits.startupMs} ms`,
		}, 'FATAL'));
	}

	private async start(initial: CallerChannel, timer: AbortController): Promise<void> {
		const request = await readStartup(initial, {
			secureContext: this.secureContext,
			wrap: socket => {
				const channel = new CallerChannel(socket, initial.peer, this.limits, this.options.clock);
				initial.layer(channel);
				return channel;
			},
		});
		if (request.kind === 'closed') {
			initial.end();
		} else if (request.kind === 'cancel') {
			await this.cancels.cancel(request.key);
			initial.end();
		} else {
			await this.runSession(request.channel, request.parameters, () => {
				timer.abort();
				this.starting.delete(initial);
			});
		}
	}

	private async runSession(channel: CallerChannel, parameters: ReadonlyMap<string, string>, onStarted: () => void): Promise<void> {
		try {
			this.checkAdmission(channel, parameters);
			channel.startFrames();
			await this.authenticator.authenticate(channel, parameters.get('user')!);
			const settings = this.readSettings(channel, parameters);
			const session = this.makeSession(channel, parameters, settings);
			const key = this.cancels.register(() => {
				session.cancel();
			});
			onStarted();
			await this.runRegistered(channel, session, {key, settings});
		} catch (error) {
			channel.end(failureResponse(failureOf(error, channel.peer), 'FATAL'));
		}
	}

	private async runRegistered(channel: CallerChannel, session: Session, {key, settings}: {readonly key: CancelKey; readonly settings: SessionSettings}): Promise<void> {
		this.sessions.add(session);
		channel.acceptLargeFrames();
		try {
			await channel.write([Buffer.concat([
				authenticationOk,
				...reportedValues(settings).map(([name, value]) => parameterStatus(name, value)),
				backendKeyData(key),
				readyForQuery('I'),
			])]);
			if (this.isDraining) {
				session.drain();
			}

			await session.run();
		} finally {
			this.sessions.delete(session);
			this.cancels.unregister(key);
		}
	}

	private checkAdmission(channel: CallerChannel, parameters: ReadonlyMap<string, string>): void {
		if (this.isDraining) {
			throw new FailureError(shutDownFailure(channel.peer));
		}

		if (this.connections.size > this.limits.maximumCallers) {
			throw refusal('startup', channel.peer, callerSqlStates.tooManyConnections, `more than ${this.limits.maximumCallers} callers are connected`);
		}

		if (!parameters.get('user')) {
			throw refusal('startup', channel.peer, sqlStates.protocolViolation, 'no user name in the startup message');
		}

		if (!['off', 'false', '0', 'no'].includes(parameters.get('replication') ?? 'off')) {
			throw refusal('startup', channel.peer, callerSqlStates.featureNotSupported, 'replication connections are not served');
		}
	}

	private readSettings(channel: CallerChannel, parameters: ReadonlyMap<string, string>): SessionSettings {
		const configuration = this.options.configuration.current();
		const settings = new SessionSettings(channel.peer);
		const given = [...parameters].filter(([name]) => !notSettings.has(name) && !name.startsWith('_pq_.'));
		for (const [name, value] of [...parseStartupOptions(parameters.get('options') ?? '', channel.peer), ...given]) {
			settings.set(name.toLowerCase(), value, configuration);
		}

		return settings;
	}

	private makeSession(channel: CallerChannel, parameters: ReadonlyMap<string, string>, settings: SessionSettings): Session {
		const user = parameters.get('user')!;
		const identity = {user, database: parameters.get('database') ?? user, application: settings.application};
		chooseRoute(this.options.configuration.current(), identity, settings, channel.peer);
		return new Session({
			options: this.options, limits: this.limits, channel, identity, settings,
		});
	}
}

function backendKeyData(key: CancelKey): Buffer {
	const body = Buffer.allocUnsafe(8);
	body.writeUInt32BE(key.processId, 0);
	body.writeUInt32BE(key.secret, 4);
	return buildFrame(backend.backendKeyData, body);
}
