import {type Configuration} from '@crocusloom/model';
import {
	backendTypes, buildFrame, commandComplete, dataRow, errorResponse, rowDescription,
} from '@crocusloom/wire';
import {callerSqlStates, protocolError} from './errors.js';
import {type LocalCommand} from './localCommands.js';
import {type SessionStatements} from './preparedStatements.js';
import {type SessionSettings} from './settings.js';

const noData = buildFrame(backendTypes.noData, Buffer.alloc(0));
const noTransactionWarning = Buffer.from(errorResponse({severity: 'WARNING', sqlState: '25P01', message: 'there is no transaction in progress'}));
noTransactionWarning[0] = backendTypes.noticeResponse;

/** State on which commands act. */
export type CommandContext = {
	readonly peer: string;
	readonly settings: SessionSettings;
	readonly statements: SessionStatements;
	readonly configuration: () => Configuration;
	/** Ends a lost transaction. Returns true if there was one. */
	readonly endLostTransaction: () => boolean;
};

/** Runs the session statements that the proxy handles itself. */
export class CommandRunner {
	private readonly commandHandlers: {readonly [K in LocalCommand['kind']]: (command: Extract<LocalCommand, {kind: K}>, isSimple: boolean) => Buffer} = {
		set: ({name, value}) => {
			this.context.settings.set(name, value, this.context.configuration());
			return commandComplete('SET');
		},
		reset: ({name}) => {
			this.context.settings.reset(name);
			return commandComplete('RESET');
		},
		resetAll: () => {
			this.context.settings.resetAll();
			return commandComplete('RESET');
		},
		show: (command, isSimple) => this.show(command.name, isSimple),
		discardAll: () => {
			this.context.settings.resetAll();
			this.context.statements.clear();
			return commandComplete('DISCARD ALL');
		},
		deallocate: ({name}) => {
			this.context.statements.get(name);
			this.context.statements.remove(name);
			return commandComplete('DEALLOCATE');
		},
		deallocateAll: () => {
			this.context.statements.clear();
			return commandComplete('DEALLOCATE ALL');
		},
		endTransaction: () => this.context.endLostTransaction() ? commandComplete('ROLLBACK') : Buffer.concat([noTransactionWarning, commandComplete('ROLLBACK')]),
	};

	constructor(private readonly context: CommandContext) {}

	/** Returns the frames that describe the result of the commands. */
	describe(commands: readonly LocalCommand[]): Buffer {
		const [command] = commands;
		return command?.kind === 'show' ? rowDescription([{name: command.name}]) : noData;
	}

	/**
	 * Runs commands.
	 * @param isSimple - true to send RowDescription before the rows, as the simple protocol does
	 * @returns response frames without ReadyForQuery
	 * @throws FailureError for an invalid name or value
	 */
	run(commands: readonly LocalCommand[], isSimple: boolean): Buffer {
		return Buffer.concat(commands.map(command => this.runCommand(command, isSimple)));
	}

	private runCommand(command: LocalCommand, isSimple: boolean): Buffer {
		return (this.commandHandlers[command.kind] as (command: LocalCommand, isSimple: boolean) => Buffer)(command, isSimple);
	}

	private show(name: string, isSimple: boolean): Buffer {
		const value = this.context.settings.show(name);
		if (value === undefined) {
			throw protocolError('classify', this.context.peer, callerSqlStates.invalidParameterValue, `unrecognized option "${name}"`);
		}

		const rows = [dataRow([value]), commandComplete('SHOW')];
		return Buffer.concat(isSimple ? [rowDescription([{name}]), ...rows] : rows);
	}
}
