import {type BackendConnection, ConnectionError} from './ports.js';
import {
	commandsToAlign, noValues, sharedPreparedName, type SessionValues,
} from './sessionValues.js';
import {type Answer, type BackendCommand, type PreparedStatement} from './statement.js';

/** Prepared statements kept on a connection; above that it is cleared, so that memory stays bounded on both sides. */
const maximumPrepared = 200;

/** A connection of a pool, with what is set on it. */
export class PooledConnection {
	/** Time at which it was given back last. */
	idleSinceMs = 0;
	/** True if its last answer left a transaction open or failed. */
	isInTransaction = false;
	private values: SessionValues = noValues;
	private readonly preparedNames = new Set<string>();

	constructor(readonly connection: BackendConnection, readonly server: string) {}

	get isOpen(): boolean {
		return this.connection.isOpen;
	}

	/** True if the connection has exactly these values set. */
	hasValues(values: SessionValues): boolean {
		return commandsToAlign(this.values, values).length === 0;
	}

	/**
	 * Sets the session's values and prepares the statement, as far as the connection lacks them.
	 * @param values - values of the session
	 * @param prepared - statement that will be executed
	 * @throws ConnectionError if the backend server does not accept one of the commands
	 */
	async align(values: SessionValues, prepared: PreparedStatement | undefined): Promise<void> {
		const commands = commandsToAlign(this.values, values);
		if (prepared && this.preparedNames.size >= maximumPrepared && !this.preparedNames.has(sharedPreparedName(prepared))) {
			commands.splice(0, commands.length, {kind: 'discard'}, ...commandsToAlign(noValues, values));
		}

		if (commands.some(({kind}) => kind === 'discard')) {
			this.preparedNames.clear();
		}

		if (prepared && !this.preparedNames.has(sharedPreparedName(prepared))) {
			commands.push({kind: 'prepare', preparedName: sharedPreparedName(prepared), prepared});
		}

		await Promise.all(commands.map(async command => this.setUp(command)));
		this.values = values;
		if (prepared) {
			this.preparedNames.add(sharedPreparedName(prepared));
		}
	}

	/** Forgets a prepared statement that the backend server does not know. */
	forgetPrepared(prepared: PreparedStatement): void {
		this.preparedNames.delete(sharedPreparedName(prepared));
	}

	close(): void {
		this.connection.close();
	}

	/** An answer with rows or a digest belongs to another statement, so the connection cannot be trusted any more. */
	private async setUp(command: BackendCommand): Promise<void> {
		const answer: Answer = await this.connection.run({command});
		if (answer.error !== undefined || answer.digest !== undefined || answer.rows.length > 0) {
			this.close();
			const message = `${command.kind} was answered with ${answer.error?.message ?? 'the result of a statement'}`;
			throw new ConnectionError({kind: 'protocol', message}, 'execute', this.server);
		}
	}
}
