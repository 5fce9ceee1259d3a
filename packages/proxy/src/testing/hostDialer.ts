import {type Clock, deferred} from '@crocusloom/model';
import {
	type BackendConnection, type BackendDialer, type BackendServer, ConnectionError,
} from '../ports.js';
import {
	type Answer, type BackendCommand, type BackendRequest, type ServerStatus,
} from '../statements/statement.js';

type CommandListener = (serverId: string, command: BackendCommand) => void;

/** Dialer of one host, whose paths to servers can be cut in both directions without a reset. */
export class HostDialer implements BackendDialer {
	/** Ids of the servers to which the path is cut. */
	readonly cutServers = new Set<string>();
	/** Called before each command that this host sends. */
	onCommand: CommandListener | undefined;

	constructor(private readonly dialer: BackendDialer, private readonly clock: Clock) {}

	async dial(server: BackendServer, timeoutMs: number): Promise<BackendConnection> {
		if (this.cutServers.has(server.id)) {
			await this.clock.sleep(timeoutMs);
			throw new ConnectionError({kind: 'unreachable', message: 'cut off'}, 'connect', server.id);
		}

		const connection = await this.dialer.dial(server, timeoutMs);
		return new CuttableConnection(connection, () => this.cutServers.has(server.id), command => {
			this.onCommand?.(server.id, command);
		});
	}

	async isReachable(server: BackendServer, timeoutMs: number): Promise<boolean> {
		if (this.cutServers.has(server.id)) {
			await this.clock.sleep(timeoutMs);
			return false;
		}

		return this.dialer.isReachable(server, timeoutMs);
	}
}

/** Connection whose requests and answers are lost while its path is cut. */
class CuttableConnection implements BackendConnection {
	private readonly closed = deferred<never>();

	constructor(private readonly connection: BackendConnection, private readonly isCut: () => boolean, private readonly onCommand: (command: BackendCommand) => void) {
		this.closed.promise.catch(() => undefined);
	}

	get isOpen(): boolean {
		return this.connection.isOpen;
	}

	async run(request: BackendRequest): Promise<Answer> {
		this.onCommand(request.command);
		if (this.isCut()) {
			return this.closed.promise;
		}

		const answer = await this.connection.run(request);
		return this.isCut() ? this.closed.promise : answer;
	}

	readStatus(answer: Answer): ServerStatus | undefined {
		return this.connection.readStatus(answer);
	}

	onClose(listener: () => void): void {
		this.connection.onClose(listener);
	}

	close(): void {
		this.connection.close();
		this.closed.reject(new ConnectionError({kind: 'closed', message: 'closed'}, 'execute', 'server'));
	}
}
