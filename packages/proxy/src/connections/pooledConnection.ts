import {type BackendStatementName} from '@crocusloom/model';
import {type BackendConnection, ConnectionError} from '../ports.js';
import {parameterSyncCommands, noParameters, type SessionParameters} from '../sessions/sessionParameters.js';
import {type Answer, type BackendCommand, type PreparedStatement} from '../statements/statement.js';

/** Maximum number of prepared statements on a connection. Beyond it the connection is reset before further work, which bounds memory on both sides. */
const maximumPreparedStatements = 200;
/** The same inside a transaction. A server may refuse a reset there, so it comes only after many more statements than a transaction has. */
const maximumPreparedInTransaction = 400;

/** Maximum length of the values that a connection in the pool keeps of its last session. */
const maximumIdleParameterBytes = 64 * 1024;

const discard: BackendCommand = {kind: 'discard'};

/** A pooled connection and the session state that is set on it. */
export class PooledConnection {
	/** Time at which the connection was last released to the pool. */
	idleSinceMs = 0;
	/** True if the last answer left a transaction open, including a failed one. */
	isInTransaction = false;
	/** True once this proxy has closed the connection. */
	isClosedHere = false;
	private parameters: SessionParameters = noParameters;
	/** Length of the names and values of the parameters; each character takes one byte on the wire. */
	private parameterBytes = 0;
	private readonly preparedNames = new Set<BackendStatementName>();
	/** False after the server did not know a prepared statement, so that it may lack the parameters as well. */
	private isStateKnown = true;

	/**
	 * @param openedMs - monotonic time in milliseconds at which the connection was opened
	 * @param number - number of the connection among those of this proxy to the server, for the log
	 */
	constructor(readonly backendConnection: BackendConnection, readonly serverId: string, readonly openedMs: number, readonly number: number) {}

	get isOpen(): boolean {
		return this.backendConnection.isOpen;
	}

	/** True if the values of its last session are too long to be kept, here and at the server, until the next session sets others. */
	get keepsTooMuch(): boolean {
		return this.parameterBytes > maximumIdleParameterBytes;
	}

	/** True if exactly these parameters are set on the connection. */
	hasParameters(parameters: SessionParameters): boolean {
		return this.isStateKnown && parameterSyncCommands(this.parameters, parameters).length === 0;
	}

	/**
	 * Sets the parameters of the session and prepares the statement, unless the connection already has them.
	 * @param parameters - parameters of the session
	 * @param prepared - prepared statement that is about to be executed
	 * @throws ConnectionError if the backend server does not accept one of the commands
	 */
	async syncSession(parameters: SessionParameters, prepared: PreparedStatement | undefined): Promise<void> {
		const commands = !this.isStateKnown || this.hasTooManyFor(prepared)
			? [discard, ...parameterSyncCommands(noParameters, parameters)]
			: parameterSyncCommands(this.parameters, parameters);

		if (commands.some(({kind}) => kind === 'discard')) {
			this.preparedNames.clear();
		}

		if (prepared && !this.preparedNames.has(prepared.backendName)) {
			commands.push({kind: 'prepare', preparedName: prepared.backendName, prepared});
		}

		try {
			await Promise.all(commands.map(async command => this.runSetupCommand(command)));
		} catch (error) {
			// Some of the commands may have been carried out, so that the state of the connection is not known.
			this.close();
			throw error;
		}

		this.isStateKnown = true;
		this.keepParameters(parameters);
		if (prepared) {
			this.preparedNames.add(prepared.backendName);
		}
	}

	/** Records that the backend server did not know a prepared statement, so that the connection is reset before further work. */
	forgetState(): void {
		this.isStateKnown = false;
	}

	close(): void {
		this.isClosedHere = true;
		this.backendConnection.close();
	}

	/** True if the connection must be reset before the statement. */
	private hasTooManyFor(prepared: PreparedStatement | undefined): boolean {
		const maximum = this.isInTransaction ? maximumPreparedInTransaction : maximumPreparedStatements;
		return prepared !== undefined && this.preparedNames.size >= maximum && !this.preparedNames.has(prepared.backendName);
	}

	private keepParameters(parameters: SessionParameters): void {
		if (parameters !== this.parameters) {
			this.parameters = parameters;
			this.parameterBytes = [...parameters].reduce((sumBytes, [name, value]) => sumBytes + name.length + value.length, 0);
		}
	}

	/**
	 * Runs a command that sets up the connection. An answer with rows or a digest belongs to another statement, so the
	 * connection is closed.
	 */
	private async runSetupCommand(command: BackendCommand): Promise<void> {
		const answer: Answer = await this.backendConnection.run({command});
		if (answer.error !== undefined || answer.digest !== undefined || answer.rows.length > 0) {
			this.close();
			const message = `${command.kind} was answered with ${answer.error?.message ?? 'the result of a statement'}`;
			throw new ConnectionError({kind: 'protocol', message}, 'execute', this.serverId);
		}
	}
}
