import {type TransactionCommand} from '@crocusloom/wire';
import {changesBetween, withChanges, type ParameterValues} from './parameterChanges.js';

/** A transaction control command of an exchange, with the parameters of the session at its place in the exchange. */
export type TransactionStep = {readonly command: TransactionCommand; readonly parameters: ParameterValues};

/** How an exchange ended. */
export type ExchangeOutcome = {
	readonly isFailed: boolean;
	/** True if the transaction had failed before the exchange, so that COMMIT rolls it back. */
	readonly hadFailedBefore: boolean;
	/** True if no transaction is open after the exchange. */
	readonly isEnded: boolean;
};

/** Access to the parameters of the session. */
export type ParameterHolder = {serverParameters: ParameterValues};

/** Savepoints of one name that follow each other without a change of parameters. */
type Savepoints = {readonly name: string; readonly parameters: ParameterValues; readonly applied: ParameterValues; readonly count: number};

/** Maximum number of savepoints in a transaction; those that follow each other with one name and the same parameters count once. */
const maximumSavepoints = 10_000;

const noParameters: ParameterValues = new Map();

/**
 * Parameters of a session in the open transaction. As in PostgreSQL, a value that is set in a transaction is taken back with it, and one
 * that is set after a savepoint is taken back with ROLLBACK TO. On the connection, the same happens to the values applied there.
 */
export class TransactionParameters {
	/** Parameters to which ROLLBACK returns; undefined outside a transaction. */
	private before: ParameterValues | undefined;
	private savepoints: Savepoints[] = [];
	private appliedParameters = noParameters;

	private readonly handlers: {readonly [K in TransactionCommand['kind']]: (command: Extract<TransactionCommand, {kind: K}>, parameters: ParameterValues) => void} = {
		begin: (_command, parameters) => {
			this.before ??= parameters;
		},
		commit: (command, parameters) => {
			this.before = command.isChained ? parameters : undefined;
			this.clearTransaction();
		},
		rollback: (command, parameters) => {
			this.returnTo(this.before, parameters);
			this.before = command.isChained ? this.before : undefined;
			this.clearTransaction();
		},
		savepoint: ({savepoint}, parameters) => {
			this.addSavepoint(savepoint, parameters);
		},
		release: ({savepoint}) => {
			this.releaseSavepoint(savepoint);
		},
		rollbackTo: ({savepoint}, parameters) => {
			const index = this.findSavepoint(savepoint);
			if (index !== -1) {
				this.savepoints.length = index + 1;
				this.returnTo(this.savepoints[index]!.parameters, parameters);
				this.appliedParameters = this.savepoints[index]!.applied;
			}
		},
	};

	constructor(private readonly holder: ParameterHolder) {}

	/** Parameters that are in force on the connection of the open transaction. */
	get applied(): ParameterValues {
		return this.appliedParameters;
	}

	/** Returns whether the transaction has room for the savepoints of an exchange. */
	hasRoomFor(steps: readonly TransactionStep[]): boolean {
		const added = steps.flatMap(({command, parameters}) => command.kind === 'savepoint' ? [{name: command.savepoint, parameters}] : []);
		const addedCount = added.filter(({name, parameters}, index) => {
			const previous = index === 0 ? this.savepoints.at(-1) : added[index - 1];
			return previous?.name !== name || previous.parameters !== parameters;
		}).length;
		return addedCount === 0 || this.savepoints.length + addedCount <= maximumSavepoints;
	}

	/** Records that the parameters of the session were applied on the connection. */
	markApplied(): void {
		this.appliedParameters = this.holder.serverParameters;
	}

	/**
	 * Follows the transaction control of an exchange that has run. If it failed, only commands that can leave a transaction open are
	 * followed, and a transaction that has ended counts as rolled back.
	 */
	follow(steps: readonly TransactionStep[], {isFailed, hadFailedBefore, isEnded}: ExchangeOutcome): void {
		let isRolledBackByCommit = hadFailedBefore;
		for (const {command, parameters} of steps) {
			const isRollback = command.kind === 'commit' && isRolledBackByCommit;
			isRolledBackByCommit &&= command.kind !== 'rollbackTo' && command.kind !== 'rollback' && command.kind !== 'commit';
			if (!isFailed || command.kind === 'begin' || command.kind === 'savepoint') {
				this.handle(isRollback ? {...command, kind: 'rollback'} : command, parameters);
			}
		}

		if (isEnded) {
			this.rollBack();
		}
	}

	/** Takes back the values of the open transaction, if there is one. */
	rollBack(): void {
		this.returnTo(this.before, this.holder.serverParameters);
		this.clear();
	}

	/** Forgets the transaction, which has ended. The session keeps its values. */
	clear(): void {
		this.before = undefined;
		this.clearTransaction();
	}

	private handle(command: TransactionCommand, parameters: ParameterValues): void {
		(this.handlers[command.kind] as (command: TransactionCommand, parameters: ParameterValues) => void)(command, parameters);
	}

	/** Returns to earlier parameters, and keeps what the exchange set after the command. */
	private returnTo(earlier: ParameterValues | undefined, parametersAtCommand: ParameterValues): void {
		if (earlier) {
			this.holder.serverParameters = withChanges(earlier, changesBetween(parametersAtCommand, this.holder.serverParameters));
		}
	}

	private clearTransaction(): void {
		this.savepoints = [];
		this.appliedParameters = noParameters;
	}

	private addSavepoint(name: string, parameters: ParameterValues): void {
		const applied = this.appliedParameters;
		const last = this.savepoints.at(-1);
		const isRepeated = last?.name === name && last.parameters === parameters && last.applied === applied;
		if (isRepeated) {
			this.savepoints.pop();
		}

		this.savepoints.push({
			name, parameters, applied, count: isRepeated ? last.count + 1 : 1,
		});
	}

	private releaseSavepoint(name: string): void {
		const index = this.findSavepoint(name);
		const savepoints = this.savepoints[index];
		if (savepoints) {
			this.savepoints.length = index;
			this.savepoints.push(...(savepoints.count > 1 ? [{...savepoints, count: savepoints.count - 1}] : []));
		}
	}

	private findSavepoint(name: string): number {
		return this.savepoints.findLastIndex(savepoint => savepoint.name === name);
	}
}
