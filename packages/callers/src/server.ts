import {createServer, type Server, type Socket} from 'node:net';
import {createSecureContext, type SecureContext} from 'node:tls';
import {FailureError, sqlStates} from '@crocusloom/model';
import {
	backendTypes, buildFrame, loadClassifier, parameterStatus, readyForQuery,
} from '@crocusloom/wire';
import {authenticationOk, Authenticator} from './authentication.js';
import {CancelRegistry, type CancelKey} from './cancel.js';
import {CallerChannel} from './channel.js';
import {
	buildFailureResponse, callerSqlStates, protocolError, shutdownFailure, toCallerFailure,
} from './errors.js';
import {chooseRoute} from './routes.js';
import {Session} from './session.js';
import {reportedParameterValues, SessionSettings} from './settings.js';
import {parseStartupOptions, readStartup} from './startup.js';
import {defaultCallerLimits, type CallerLimits, type CallerServerOptions} from './types.js';

/** Startup parameters that are not session settings. */
const nonSettingParameters: ReadonlySet<string> = new Set(['user', 'database', 'options', 'replication']);
/** Number of connections above the limit that are refused with an error (53300). Further connections are closed without one. */
const maximumExcessConnections = 64;

/** Accepts connections of callers and runs a session for each. */
export class CallerServer {
	private readonly limits: CallerLimits;
	private readonly sessions = new Set<Session>();
	/** Connections that have not completed authentication. */
	private readonly startingConnections = new Set<CallerChannel>();
	private readonly connections = new Set<CallerChannel>();
	private readonly authenticator: Authenticator;
	private readonly cancelRegistry: CancelRegistry;
	private readonly secureContext: SecureContext | undefined;
	private server: Server | undefined;
	private isDraining = false;
	private resolveDrained: (() => void) | undefined;

	constructor(private readonly options: CallerServerOptions) {
		this.limits = {...defaultCallerLimits, ...options.limits};
		this.authenticator = new Authenticator(options.users);
		this.cancelRegistry = new CancelRegistry(options.membership, options.peers, options.log);
		this.secureContext = options.tls && createSecureContext({key: options.tls.key, cert: options.tls.certificate});
	}

	/** Number of connected callers. */
	get callerCount(): number {
		return this.connections.size;
	}

	/**
	 * Starts accepting callers.
	 * @param signal - closes the server and all connections when it aborts
	 * @returns the port on which the server listens
	 */
	async listen(signal: AbortSignal): Promise<number> {
		await loadClassifier();
		const server = createServer({noDelay: true, keepAlive: true}, socket => {
			void this.handleConnection(socket);
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
	 * Stops accepting callers and closes all connections: idle ones immediately, the others when their transaction has ended.
	 * @param deadlineMs - time after which the remaining connections are closed as well
	 */
	async drain(deadlineMs: number): Promise<void> {
		this.isDraining = true;
		this.server?.close();
		for (const channel of this.startingConnections) {
			channel.end(buildFailureResponse(shutdownFailure(channel.peer), 'FATAL'));
		}

		for (const session of this.sessions) {
			session.drain();
		}

		const deadlineController = new AbortController();
		const deadline = this.options.clock.sleep(deadlineMs, deadlineController.signal).catch(() => undefined);
		await Promise.race([deadline, this.waitUntilAllClosed()]);
		deadlineController.abort();
		for (const session of this.sessions) {
			session.shutDown();
		}

		for (const channel of this.connections) {
			channel.end();
		}

		// Each channel destroys its socket at most one second after it was ended.
		await this.waitUntilAllClosed();
	}

	private close(): void {
		this.server?.close();
		for (const channel of this.connections) {
			channel.socket.destroy();
		}
	}

	private async waitUntilAllClosed(): Promise<void> {
		return new Promise(resolve => {
			this.resolveDrained = resolve;
			this.resolveIfDrained();
		});
	}

	private resolveIfDrained(): void {
		if (this.isDraining && this.connections.size === 0) {
			this.resolveDrained?.();
		}
	}

	private async handleConnection(socket: Socket): Promise<void> {
		const peer = `${socket.remoteAddress ?? 'unknown'}:${socket.remotePort ?? 0}`;
		const channel = new CallerChannel(socket, peer, this.limits, this.options.clock);
		this.trackConnection(channel);
		if (this.connections.size > this.limits.maximumCallers + maximumExcessConnections) {
			socket.destroy();
			return;
		}

		const startupTimerController = new AbortController();
		void this.enforceStartupTimeout(channel, startupTimerController.signal);
		try {
			await this.handleStartup(channel, startupTimerController);
		} catch (error) {
			channel.end(buildFailureResponse(toCallerFailure(error, peer), 'FATAL'));
		} finally {
			startupTimerController.abort();
		}
	}

	private trackConnection(channel: CallerChannel): void {
		this.connections.add(channel);
		this.startingConnections.add(channel);
		this.options.metrics.gauge('callers_connections', this.connections.size);
		channel.socket.once('close', () => {
			this.connections.delete(channel);
			this.startingConnections.delete(channel);
			this.options.metrics.gauge('callers_connections', this.connections.size);
			this.resolveIfDrained();
		});
	}

	/** Closes the connection if startup and authentication take too long. */
	private async enforceStartupTimeout(channel: CallerChannel, signal: AbortSignal): Promise<void> {
		try {
			await this.options.clock.sleep(this.limits.startupTimeoutMs, signal);
		} catch {
			return;
		}

		this.options.metrics.count('callers_startup_timeouts');
		channel.end(buildFailureResponse({
			kind: 'protocol', step: 'startup', peer: channel.peer, sqlState: sqlStates.protocolViolation, message: `startup took longer than ${this.limits.startupTimeoutMs} ms`,
		}, 'FATAL'));
	}

	private async handleStartup(plainChannel: CallerChannel, startupTimerController: AbortController): Promise<void> {
		const request = await readStartup(plainChannel, {
			secureContext: this.secureContext,
			createTlsChannel: socket => {
				const channel = new CallerChannel(socket, plainChannel.peer, this.limits, this.options.clock);
				plainChannel.setTlsChannel(channel);
				return channel;
			},
		});
		if (request.kind === 'closed') {
			plainChannel.end();
		} else if (request.kind === 'cancel') {
			await this.cancelRegistry.cancel(request.key);
			plainChannel.end();
		} else {
			await this.runSession(request.channel, request.parameters, () => {
				startupTimerController.abort();
				this.startingConnections.delete(plainChannel);
			});
		}
	}

	private async runSession(channel: CallerChannel, startupParameters: ReadonlyMap<string, string>, onStarted: () => void): Promise<void> {
		try {
			this.checkAdmission(channel, startupParameters);
			channel.startFrameMode();
			await this.authenticator.authenticate(channel, startupParameters.get('user')!);
			const settings = this.readSettings(channel, startupParameters);
			const session = this.createSession(channel, startupParameters, settings);
			const key = this.cancelRegistry.register(() => {
				session.cancel();
			});
			onStarted();
			await this.runRegisteredSession(channel, session, {key, settings});
		} catch (error) {
			channel.end(buildFailureResponse(toCallerFailure(error, channel.peer), 'FATAL'));
		}
	}

	private async runRegisteredSession(channel: CallerChannel, session: Session, {key, settings}: {readonly key: CancelKey; readonly settings: SessionSettings}): Promise<void> {
		this.sessions.add(session);
		channel.removePreAuthenticationLimit();
		try {
			await channel.write([Buffer.concat([
				authenticationOk,
				...reportedParameterValues(settings).map(([name, value]) => parameterStatus(name, value)),
				buildBackendKeyData(key),
				readyForQuery('I'),
			])]);
			if (this.isDraining) {
				session.drain();
			}

			await session.run();
		} finally {
			this.sessions.delete(session);
			this.cancelRegistry.unregister(key);
		}
	}

	private checkAdmission(channel: CallerChannel, startupParameters: ReadonlyMap<string, string>): void {
		if (this.isDraining) {
			throw new FailureError(shutdownFailure(channel.peer));
		}

		if (this.connections.size > this.limits.maximumCallers) {
			throw protocolError('startup', channel.peer, callerSqlStates.tooManyConnections, `more than ${this.limits.maximumCallers} callers are connected`);
		}

		if (!startupParameters.get('user')) {
			throw protocolError('startup', channel.peer, sqlStates.protocolViolation, 'the startup message contains no user name');
		}

		if (!['off', 'false', '0', 'no'].includes(startupParameters.get('replication') ?? 'off')) {
			throw protocolError('startup', channel.peer, callerSqlStates.featureNotSupported, 'replication connections are not supported');
		}
	}

	private readSettings(channel: CallerChannel, startupParameters: ReadonlyMap<string, string>): SessionSettings {
		const configuration = this.options.configuration.current();
		const settings = new SessionSettings(channel.peer);
		const settingParameters = [...startupParameters].filter(([name]) => !nonSettingParameters.has(name) && !name.startsWith('_pq_.'));
		for (const [name, value] of [...parseStartupOptions(startupParameters.get('options') ?? '', channel.peer), ...settingParameters]) {
			settings.set(name.toLowerCase(), value, configuration);
		}

		settings.keepStartupParameters();
		return settings;
	}

	private createSession(channel: CallerChannel, startupParameters: ReadonlyMap<string, string>, settings: SessionSettings): Session {
		const user = startupParameters.get('user')!;
		const identity = {user, database: startupParameters.get('database') ?? user, application: settings.application};
		chooseRoute(this.options.configuration.current(), identity, settings, channel.peer);
		return new Session({
			options: this.options, limits: this.limits, channel, identity, settings,
		});
	}
}

function buildBackendKeyData(key: CancelKey): Buffer {
	const body = Buffer.allocUnsafe(8);
	body.writeUInt32BE(key.processId, 0);
	body.writeUInt32BE(key.secret, 4);
	return buildFrame(backendTypes.backendKeyData, body);
}
