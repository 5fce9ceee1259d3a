/**
 * Minimal in-memory PostgreSQL server behind a fake Dispatcher. Each unit of work uses the connection that has been idle
 * longest, so that consecutive units of work run on different connections.
 */
import {
	emptyConfiguration,
	FailureError,
	type Configuration,
	type Dispatcher,
	type ExchangeOptions,
	type ExchangeResult,
	type Failure,
	type FrameSink,
	type Resource,
	type ResourceKind,
	type SpecByKind,
	type UnitOfWork,
	type WorkIntent,
} from '@crocusloom/model';
import {
	backendTypes, buildFrame, commandComplete, dataRow, errorResponse, frameHeaderBytes, FrameReader, frontendTypes, readCString, readyForQuery, rowDescription,
} from '@crocusloom/wire';

type StatementResult = {readonly rows?: ReadonlyArray<string | null>; readonly tag: string; readonly isQuery: boolean};
type SqlError = {readonly sqlState: string; readonly message: string};
type Statement = {readonly text: string};
type Portal = {readonly text: string; readonly values: readonly string[]};

const frame = (type: number, body: Buffer = Buffer.alloc(0)): Buffer => buildFrame(type, body);

/** Backend connection that understands the few statements that the tests use. */
export class FakeConnection {
	readonly settings = new Map<string, string>();
	readonly statements = new Map<string, Statement>();
	status: 'I' | 'T' | 'E' = 'I';
	private readonly portals = new Map<string, Portal>();
	private undoActions: Array<() => void> = [];
	/** Savepoints of the open transaction, with the settings to which ROLLBACK TO returns. */
	private savepoints: Array<{readonly name: string; readonly settings: ReadonlyMap<string, string>}> = [];
	private isInTransactionBlock = false;

	private readonly commands: Readonly<Record<string, (text: string, values: readonly string[]) => StatementResult>> = {
		begin: () => {
			this.isInTransactionBlock = true;
			this.status = 'T';
			return {tag: 'BEGIN', isQuery: false};
		},
		commit: text => {
			if (text.includes('deferred')) {
				this.rollback();
				throw sqlError('23503', 'a deferred constraint is violated');
			}

			const tag = this.status === 'E' ? 'ROLLBACK' : 'COMMIT';
			if (this.status !== 'E') {
				this.undoActions = [];
			}

			this.endTransaction(text);
			return {tag, isQuery: false};
		},
		rollback: text => {
			const savepoint = /^\s*rollback\s+to\s+(?<name>\w+)/iv.exec(text)?.groups?.name;
			if (savepoint === undefined) {
				this.endTransaction(text);
			} else {
				this.rollbackTo(savepoint);
			}

			return {tag: 'ROLLBACK', isQuery: false};
		},
		savepoint: text => {
			this.savepoints.push({name: text.trim().split(/\s+/v)[1]!, settings: new Map(this.settings)});
			return {tag: 'SAVEPOINT', isQuery: false};
		},
		release: text => {
			this.savepoints.length = this.findSavepoint(text.trim().split(/\s+/v)[1]!);
			return {tag: 'RELEASE', isQuery: false};
		},
		set: text => {
			const groups = /^\s*set\s+local\s+(?<name>\w+)\s*=\s*'(?<value>[^']*)'/iv.exec(text)?.groups;
			if (groups) {
				this.settings.set(groups.name!, groups.value!);
			}

			return {tag: 'SET', isQuery: false};
		},
		insert: (text, values) => this.insert(text, values),
		update: text => {
			const groups = /answer = '(?<answer>[^']*)' where key = '(?<key>[^']*)'/iv.exec(text)!.groups!;
			this.server.recordedResponses.set(groups.key!, groups.answer!);
			return {tag: 'UPDATE 1', isQuery: false};
		},
		select: (text, values) => this.select(text, values),
	};

	constructor(readonly id: number, private readonly server: FakeBackend) {}

	/** Returns the response to frames that end with Query or Sync. */
	respond(frames: Buffer): {readonly frames: Buffer; readonly sqlState?: string} {
		const output: Buffer[] = [];
		let sqlState: string | undefined;
		for (const {type, bytes} of new FrameReader('fake').push(frames)) {
			if (sqlState !== undefined && type !== frontendTypes.sync) {
				continue;
			}

			try {
				this.respondToFrame(type, bytes, output);
			} catch (error) {
				const {sqlState: state, message} = (error as {readonly cause: SqlError}).cause;
				sqlState = state;
				this.status = this.isInTransactionBlock ? 'E' : 'I';
				output.push(errorResponse({sqlState: state, message}));
			}
		}

		this.endExchange(sqlState !== undefined);
		output.push(readyForQuery(this.status));
		return {frames: Buffer.concat(output), sqlState};
	}

	rollback(): void {
		for (const action of this.undoActions.toReversed()) {
			action();
		}

		this.undoActions = [];
		this.savepoints = [];
		this.isInTransactionBlock = false;
		this.status = 'I';
		this.settings.clear();
		this.portals.clear();
	}

	private endTransaction(text: string): void {
		this.rollback();
		if (/\band\s+chain\b/iv.test(text)) {
			this.isInTransactionBlock = true;
			this.status = 'T';
		}
	}

	private rollbackTo(name: string): void {
		const index = this.findSavepoint(name);
		this.savepoints.length = index + 1;
		this.settings.clear();
		for (const [settingName, value] of this.savepoints[index]!.settings) {
			this.settings.set(settingName, value);
		}

		this.status = 'T';
	}

	private findSavepoint(name: string): number {
		const index = this.savepoints.findLastIndex(savepoint => savepoint.name === name);
		if (index === -1) {
			throw sqlError('3B001', `no savepoint ${name}`);
		}

		return index;
	}

	private endExchange(isFailed: boolean): void {
		if (this.isInTransactionBlock) {
			return;
		}

		if (isFailed) {
			this.rollback();
		}

		this.undoActions = [];
		this.settings.clear();
		this.portals.clear();
	}

	private respondToFrame(type: number, bytes: Buffer, output: Buffer[]): void {
		const firstString = readCString(bytes, frameHeaderBytes + (type === frontendTypes.describe || type === frontendTypes.close ? 1 : 0));
		const secondString = firstString && type !== frontendTypes.sync ? readCString(bytes, firstString.nextOffset) : undefined;
		switch (type) {
			case frontendTypes.query: {
				this.runSimpleQuery(firstString!.text, output);
				break;
			}

			case frontendTypes.parse: {
				if (firstString!.text !== '' && this.statements.has(firstString!.text)) {
					throw sqlError('42P05', `statement ${firstString!.text} exists`);
				}

				if (secondString!.text.includes('syntax!')) {
					throw sqlError('42601', 'syntax error');
				}

				this.statements.set(firstString!.text, {text: secondString!.text});
				output.push(frame(backendTypes.parseComplete));
				break;
			}

			case frontendTypes.bind: {
				const statement = this.statements.get(secondString!.text);
				if (!statement) {
					throw sqlError('26000', `no statement ${secondString!.text}`);
				}

				this.portals.set(firstString!.text, {text: statement.text, values: readValues(bytes, secondString!.nextOffset)});
				output.push(frame(backendTypes.bindComplete));
				break;
			}

			case frontendTypes.describe: {
				this.describe(bytes[frameHeaderBytes] === 0x53, firstString!.text, output);
				break;
			}

			case frontendTypes.execute: {
				const portal = this.portals.get(firstString!.text);
				if (!portal) {
					throw sqlError('34000', `no portal ${firstString!.text}`);
				}

				this.runStatement(portal.text, portal.values, output, false);
				break;
			}

			case frontendTypes.close: {
				this.portals.delete(firstString!.text);
				output.push(frame(backendTypes.closeComplete));
				break;
			}

			default:
		}
	}

	private describe(isStatement: boolean, name: string, output: Buffer[]): void {
		const text = (isStatement ? this.statements.get(name)?.text : this.portals.get(name)?.text) ?? '';
		if (isStatement) {
			output.push(frame(backendTypes.parameterDescription, Buffer.alloc(2)));
		}

		output.push(/^\s*select/iv.test(text) ? rowDescription([{name: 'value'}]) : frame(backendTypes.noData));
	}

	private runSimpleQuery(text: string, output: Buffer[]): void {
		this.statements.delete('');
		for (const part of text.split(';').map(piece => piece.trim()).filter(piece => piece !== '')) {
			this.runStatement(part, [], output, true);
		}
	}

	private runStatement(text: string, values: readonly string[], output: Buffer[], isSimple: boolean): void {
		this.server.executedStatements.push({connection: this.id, text, values});
		const result = this.execute(text, values);
		if (result.isQuery && isSimple) {
			output.push(rowDescription([{name: 'value'}]));
		}

		output.push(...(result.rows ?? []).map(row => dataRow([row])), commandComplete(result.tag));
	}

	private execute(text: string, values: readonly string[]): StatementResult {
		const command = (/^\s*(?<word>\w+)/v.exec(text)?.groups?.word ?? '').toLowerCase();
		if (this.status === 'E' && command !== 'rollback' && command !== 'commit') {
			throw sqlError('25P02', 'current transaction is aborted');
		}

		if (this.server.failingText !== undefined && text.includes(this.server.failingText)) {
			throw sqlError('53100', 'disk full');
		}

		if (text.includes('fail()')) {
			throw sqlError('22012', 'division by zero');
		}

		return (this.commands[command] ?? (() => ({tag: command.toUpperCase(), isQuery: false})))(text, values);
	}

	private insert(text: string, values: readonly string[]): StatementResult {
		const key = /into crocusloom_idempotency.*values \('(?<key>[^']*)'/iv.exec(text)?.groups?.key;
		if (key !== undefined) {
			if (this.server.recordedResponses.has(key)) {
				throw sqlError('23505', `key ${key} exists`);
			}

			this.server.recordedResponses.set(key, '');
			this.undoActions.push(() => {
				this.server.recordedResponses.delete(key);
			});
			return {tag: 'INSERT 0 1', isQuery: false};
		}

		const insertedValue = values[0] ?? /'(?<row>[^']*)'/v.exec(text)?.groups?.row ?? '';
		this.server.rows.push(insertedValue);
		this.undoActions.push(() => {
			this.server.rows.splice(this.server.rows.indexOf(insertedValue), 1);
		});
		return {tag: 'INSERT 0 1', isQuery: false};
	}

	private select(text: string, values: readonly string[]): StatementResult {
		for (const [, name, value] of text.matchAll(/set_config\('(?<name>[^']*)', (?:'(?<value>[^']*)'|NULL), true\)/gv)) {
			if (value === undefined) {
				this.settings.delete(name!);
			} else {
				this.settings.set(name!, value);
			}
		}

		const key = /from crocusloom_idempotency where key = '(?<key>[^']*)'/iv.exec(text)?.groups?.key;
		if (key !== undefined) {
			return {rows: [this.server.recordedResponses.get(key) ?? null], tag: 'SELECT 1', isQuery: true};
		}

		const setting = /current_setting\('(?<name>\w+)'\)/v.exec(text)?.groups?.name;
		const generatedCount = /generate\((?<count>\d+)\)/v.exec(text)?.groups?.count;
		const rows = generatedCount
			? Array.from({length: Number(generatedCount)}, (_, index) => `row ${index} ${'x'.repeat(1000)}`)
			: [setting ? this.settings.get(setting) ?? 'default' : values[0] ?? /'(?<row>[^']*)'/v.exec(text)?.groups?.row ?? 'one'];
		return {rows, tag: `SELECT ${rows.length}`, isQuery: true};
	}
}

function sqlError(sqlState: string, message: string): Error {
	return new Error(message, {cause: {sqlState, message}});
}

function readValues(bind: Buffer, start: number): string[] {
	let offset = start + 2 + (2 * bind.readInt16BE(start));
	const count = bind.readInt16BE(offset);
	offset += 2;
	return Array.from({length: count}, () => {
		const length = bind.readInt32BE(offset);
		const value = bind.toString('utf8', offset + 4, offset + 4 + length);
		offset += 4 + length;
		return value;
	});
}

/** Dispatcher with fake backend connections, their shared state, and faults that a test can inject. */
export class FakeBackend implements Dispatcher {
	readonly executedStatements: Array<{readonly connection: number; readonly text: string; readonly values: readonly string[]}> = [];
	readonly rows: string[] = [];
	readonly recordedResponses = new Map<string, string>();
	readonly intents: WorkIntent[] = [];
	readonly cancelledExchanges: string[] = [];
	openUnitCount = 0;
	/** Called before each exchange. If it returns a failure, the failure is thrown before the exchange runs, or afterwards if `isAfterExchange`. */
	findFault: ((frames: Buffer) => {readonly failure: Failure; readonly isAfterExchange: boolean} | undefined) | undefined;
	/** Statements that contain this text fail with 53100. */
	failingText: string | undefined;
	/** Exchanges wait for this promise before they run. */
	gate: Promise<void> | undefined;
	offsetBytes = 0;
	private readonly idleConnections: FakeConnection[];

	constructor(connectionCount = 3) {
		this.idleConnections = Array.from({length: connectionCount}, (_, index) => new FakeConnection(index, this));
	}

	async dispatch(intent: WorkIntent, frames: Buffer, sink: FrameSink, options: ExchangeOptions): Promise<{readonly work: UnitOfWork; readonly result: ExchangeResult}> {
		this.intents.push(intent);
		const connection = this.idleConnections.shift() ?? new FakeConnection(100 + this.executedStatements.length, this);
		this.openUnitCount++;
		let isReleased = false;
		const release = (): void => {
			if (!isReleased) {
				isReleased = true;
				this.openUnitCount--;
				connection.rollback();
				this.idleConnections.push(connection);
			}
		};

		const exchange = async (laterFrames: Buffer, laterSink: FrameSink, laterOptions: ExchangeOptions): Promise<ExchangeResult> => this.exchange(connection, laterFrames, laterSink, laterOptions);
		const onCancel = (): void => {
			this.cancelledExchanges.push('first');
		};

		options.cancelSignal?.addEventListener('abort', onCancel);
		try {
			const result = await exchange(frames, sink, options);
			return {
				work: {
					exchange, cancel: () => {
						this.cancelledExchanges.push('later');
					}, release,
				}, result,
			};
		} catch (error) {
			release();
			throw error;
		} finally {
			options.cancelSignal?.removeEventListener('abort', onCancel);
		}
	}

	explain = (): never => {
		throw new Error('not used');
	};

	holderStats = (): readonly never[] => [];

	private async exchange(connection: FakeConnection, frames: Buffer, sink: FrameSink, options: ExchangeOptions): Promise<ExchangeResult> {
		await this.gate;
		const fault = this.findFault?.(frames);
		if (fault && !fault.isAfterExchange) {
			throw new FailureError(fault.failure);
		}

		const missingStatements = (options.preparedStatements ?? []).filter(({name}) => !connection.statements.has(name));
		const {frames: response, sqlState} = connection.respond(Buffer.concat([...missingStatements.map(({parseFrame}) => parseFrame), frames]));
		if (fault) {
			throw new FailureError(fault.failure);
		}

		const hiddenBytes = sqlState !== undefined && response[0] === backendTypes.errorResponse ? 0 : missingStatements.length * frameHeaderBytes;
		for (const chunk of splitAtFrames(response.subarray(hiddenBytes))) {
			await sink(chunk);
		}

		this.offsetBytes += options.mayCommit ? 16 : 0;
		return {
			transactionStatus: connection.status, sqlState, database: 'db-a', waitMs: 0, runMs: 0, position: {term: 1, offsetBytes: this.offsetBytes},
		};
	}
}

/** Splits a response at frame boundaries into chunks of about 64 KB, as it arrives from a socket. */
function splitAtFrames(response: Buffer): Buffer[] {
	const parts: Buffer[] = [];
	let start = 0;
	let end = 0;
	for (const {bytes} of new FrameReader('fake').push(response)) {
		end += bytes.length;
		if (end - start > 65_536) {
			parts.push(response.subarray(start, end));
			start = end;
		}
	}

	return [...parts, response.subarray(start)];
}

const resourceEntry = <K extends ResourceKind>(kind: K, name: string, spec: SpecByKind[K]): [string, Resource<K>] => [name, {
	kind, name, revision: 1, spec,
}];

/** Configuration with two ranks, two freshness classes and three routes. */
export const fakeConfiguration: Configuration = {
	...emptyConfiguration,
	revision: 1,
	ranks: new Map([
		resourceEntry('ranks', 'urgent', {order: 1, targetMs: 100, floorShare: 0.2}),
		resourceEntry('ranks', 'late', {order: 2, targetMs: 500, floorShare: 0.2}),
	]),
	freshnessClasses: new Map([
		resourceEntry('freshnessClasses', 'own', {mode: 'session'}),
		resourceEntry('freshnessClasses', 'recent', {mode: 'bounded', maxAgeMs: 500}),
	]),
	routes: new Map([
		resourceEntry('routes', 'all', {
			database: 'app', group: 'g1', rank: 'urgent', freshness: 'own',
		}),
		resourceEntry('routes', 'by-application', {
			database: 'app', application: 'board', group: 'g2', rank: 'late', freshness: 'own',
		}),
		resourceEntry('routes', 'by-user', {
			database: 'app', user: 'clerk', group: 'g3', rank: 'late', freshness: 'own',
		}),
	]),
};
