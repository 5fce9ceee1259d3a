/**
 * A tiny PostgreSQL responder behind a fake Dispatcher. Each unit of work takes the connection that was idle longest,
 * so that consecutive units run on different connections.
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
	backend, buildFrame, commandComplete, dataRow, errorResponse, frameHeaderBytes, FrameReader, frontend, readCString, readyForQuery, rowDescription,
} from '@crocusloom/wire';

type Result = {readonly rows?: ReadonlyArray<string | null>; readonly tag: string; readonly isQuery: boolean};
type SqlError = {readonly sqlState: string; readonly message: string};
type Statement = {readonly text: string};
type Portal = {readonly text: string; readonly values: readonly string[]};

const frameOf = (type: number, body: Buffer = Buffer.alloc(0)): Buffer => buildFrame(type, body);

export class FakeConnection {
	readonly settings = new Map<string, string>();
	readonly statements = new Map<string, Statement>();
	status: 'I' | 'T' | 'E' = 'I';
	private readonly portals = new Map<string, Portal>();
	private undo: Array<() => void> = [];
	private isBlock = false;

	private readonly commands: Readonly<Record<string, (text: string, values: readonly string[]) => Result>> = {
		begin: () => {
			this.isBlock = true;
			this.status = 'T';
			return {tag: 'BEGIN', isQuery: false};
		},
		commit: () => {
			const tag = this.status === 'E' ? 'ROLLBACK' : 'COMMIT';
			if (this.status !== 'E') {
				this.undo = [];
			}

			this.rollback();
			return {tag, isQuery: false};
		},
		rollback: () => {
			this.rollback();
			return {tag: 'ROLLBACK', isQuery: false};
		},
		insert: (text, values) => this.insert(text, values),
		update: text => {
			const groups = /answer = '(?<answer>[^']*)' where key = '(?<key>[^']*)'/iv.exec(text)!.groups!;
			this.server.answers.set(groups.key!, groups.answer!);
			return {tag: 'UPDATE 1', isQuery: false};
		},
		select: (text, values) => this.select(text, values),
	};

	constructor(readonly id: number, private readonly server: FakeBackend) {}

	/** Answers frames that end in Query or Sync. */
	answer(frames: Buffer): {readonly frames: Buffer; readonly sqlState?: string} {
		const output: Buffer[] = [];
		let sqlState: string | undefined;
		for (const {type, bytes} of new FrameReader('fake').push(frames)) {
			if (sqlState !== undefined && type !== frontend.sync) {
				continue;
			}

			try {
				this.answerFrame(type, bytes, output);
			} catch (error) {
				const {sqlState: state, message} = (error as {readonly cause: SqlError}).cause;
				sqlState = state;
				this.status = this.isBlock ? 'E' : 'I';
				output.push(errorResponse({sqlState: state, message}));
			}
		}

		this.endExchange(sqlState !== undefined);
		output.push(readyForQuery(this.status));
		return {frames: Buffer.concat(output), sqlState};
	}

	rollback(): void {
		for (const action of this.undo.toReversed()) {
			action();
		}

		this.undo = [];
		this.isBlock = false;
		this.status = 'I';
		this.settings.clear();
		this.portals.clear();
	}

	private endExchange(isFailed: boolean): void {
		if (this.isBlock) {
			return;
		}

		if (isFailed) {
			this.rollback();
		}

		this.undo = [];
		this.settings.clear();
		this.portals.clear();
	}

	private answerFrame(type: number, bytes: Buffer, output: Buffer[]): void {
		const first = readCString(bytes, frameHeaderBytes + (type === frontend.describe || type === frontend.close ? 1 : 0));
		const second = first && type !== frontend.sync ? readCString(bytes, first.nextOffset) : undefined;
		switch (type) {
			case frontend.query: {
				this.simple(first!.text, output);
				break;
			}

			case frontend.parse: {
				if (first!.text !== '' && this.statements.has(first!.text)) {
					throw sqlError('42P05', `statement ${first!.text} exists`);
				}

				if (second!.text.includes('syntax!')) {
					throw sqlError('42601', 'syntax error');
				}

				this.statements.set(first!.text, {text: second!.text});
				output.push(frameOf(backend.parseComplete));
				break;
			}

			case frontend.bind: {
				const statement = this.statements.get(second!.text);
				if (!statement) {
					throw sqlError('26000', `no statement ${second!.text}`);
				}

				this.portals.set(first!.text, {text: statement.text, values: readValues(bytes, second!.nextOffset)});
				output.push(frameOf(backend.bindComplete));
				break;
			}

			case frontend.describe: {
				this.describe(bytes[frameHeaderBytes] === 0x53, first!.text, output);
				break;
			}

			case frontend.execute: {
				const portal = this.portals.get(first!.text);
				if (!portal) {
					throw sqlError('34000', `no portal ${first!.text}`);
				}

				this.run(portal.text, portal.values, output, false);
				break;
			}

			case frontend.close: {
				this.portals.delete(first!.text);
				output.push(frameOf(backend.closeComplete));
				break;
			}

			default:
		}
	}

	private describe(isStatement: boolean, name: string, output: Buffer[]): void {
		const text = (isStatement ? this.statements.get(name)?.text : this.portals.get(name)?.text) ?? '';
		if (isStatement) {
			output.push(frameOf(backend.parameterDescription, Buffer.alloc(2)));
		}

		output.push(/^\s*select/iv.test(text) ? rowDescription([{name: 'value'}]) : frameOf(backend.noData));
	}

	private simple(text: string, output: Buffer[]): void {
		this.statements.delete('');
		for (const part of text.split(';').map(piece => piece.trim()).filter(piece => piece !== '')) {
			this.run(part, [], output, true);
		}
	}

	private run(text: string, values: readonly string[], output: Buffer[], isSimple: boolean): void {
		this.server.log.push({connection: this.id, text, values});
		const result = this.execute(text, values);
		if (result.isQuery && isSimple) {
			output.push(rowDescription([{name: 'value'}]));
		}

		output.push(...(result.rows ?? []).map(row => dataRow([row])), commandComplete(result.tag));
	}

	private execute(text: string, values: readonly string[]): Result {
		const command = (/^\s*(?<word>\w+)/v.exec(text)?.groups?.word ?? '').toLowerCase();
		if (this.status === 'E' && command !== 'rollback' && command !== 'commit') {
			throw sqlError('25P02', 'current transaction is aborted');
		}

		if (text.includes('fail()')) {
			throw sqlError('22012', 'division by zero');
		}

		return (this.commands[command] ?? (() => ({tag: command.toUpperCase(), isQuery: false})))(text, values);
	}

	private insert(text: string, values: readonly string[]): Result {
		const key = /into crocusloom_idempotency.*values \('(?<key>[^']*)'/iv.exec(text)?.groups?.key;
		if (key !== undefined) {
			if (this.server.answers.has(key)) {
				throw sqlError('23505', `key ${key} exists`);
			}

			this.server.answers.set(key, '');
			this.undo.push(() => {
				this.server.answers.delete(key);
			});
			return {tag: 'INSERT 0 1', isQuery: false};
		}

		const row = values[0] ?? /'(?<row>[^']*)'/v.exec(text)?.groups?.row ?? '';
		this.server.rows.push(row);
		this.undo.push(() => {
			this.server.rows.splice(this.server.rows.indexOf(row), 1);
		});
		return {tag: 'INSERT 0 1', isQuery: false};
	}

	private select(text: string, values: readonly string[]): Result {
		for (const [, name, value] of text.matchAll(/set_config\('(?<name>[^']*)', '(?<value>[^']*)', true\)/gv)) {
			this.settings.set(name!, value!);
		}

		const key = /from crocusloom_idempotency where key = '(?<key>[^']*)'/iv.exec(text)?.groups?.key;
		if (key !== undefined) {
			return {rows: [this.server.answers.get(key) ?? null], tag: 'SELECT 1', isQuery: true};
		}

		const setting = /current_setting\('(?<name>\w+)'\)/v.exec(text)?.groups?.name;
		const many = /generate\((?<count>\d+)\)/v.exec(text)?.groups?.count;
		const rows = many
			? Array.from({length: Number(many)}, (_, index) => `row ${index} ${'x'.repeat(1000)}`)
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

/** Shared state of the fake connections, with faults that a test sets. */
export class FakeBackend implements Dispatcher {
	readonly log: Array<{readonly connection: number; readonly text: string; readonly values: readonly string[]}> = [];
	readonly rows: string[] = [];
	readonly answers = new Map<string, string>();
	readonly intents: WorkIntent[] = [];
	readonly cancelled: string[] = [];
	openUnits = 0;
	/** Called before an exchange; a failure that it gives is thrown, after the exchange ran if `isAfter`. */
	fault: ((frames: Buffer) => {readonly failure: Failure; readonly isAfter: boolean} | undefined) | undefined;
	/** Exchanges wait for it. */
	gate: Promise<void> | undefined;
	offsetBytes = 0;
	private readonly idle: FakeConnection[];

	constructor(connectionCount = 3) {
		this.idle = Array.from({length: connectionCount}, (_, index) => new FakeConnection(index, this));
	}

	async dispatch(intent: WorkIntent, frames: Buffer, sink: FrameSink, options: ExchangeOptions): Promise<{readonly work: UnitOfWork; readonly result: ExchangeResult}> {
		this.intents.push(intent);
		const connection = this.idle.shift() ?? new FakeConnection(100 + this.log.length, this);
		this.openUnits++;
		let isReleased = false;
		const release = (): void => {
			if (!isReleased) {
				isReleased = true;
				this.openUnits--;
				connection.rollback();
				this.idle.push(connection);
			}
		};

		const exchange = async (later: Buffer, laterSink: FrameSink, laterOptions: ExchangeOptions): Promise<ExchangeResult> => this.exchange(connection, later, laterSink, laterOptions);
		const onCancel = (): void => {
			this.cancelled.push('first');
		};

		options.cancelSignal?.addEventListener('abort', onCancel);
		try {
			const result = await exchange(frames, sink, options);
			return {
				work: {
					exchange, cancel: () => {
						this.cancelled.push('later');
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
		const fault = this.fault?.(frames);
		if (fault && !fault.isAfter) {
			throw new FailureError(fault.failure);
		}

		const parsed = (options.preparedStatements ?? []).filter(({name}) => !connection.statements.has(name));
		const {frames: answer, sqlState} = connection.answer(Buffer.concat([...parsed.map(({parseFrame}) => parseFrame), frames]));
		if (fault) {
			throw new FailureError(fault.failure);
		}

		const hiddenBytes = sqlState !== undefined && answer[0] === backend.errorResponse ? 0 : parsed.length * frameHeaderBytes;
		for (const chunk of cutAtFrames(answer.subarray(hiddenBytes))) {
			await sink(chunk);
		}

		this.offsetBytes += options.mayCommit ? 16 : 0;
		return {
			transactionStatus: connection.status, sqlState, database: 'db-a', waitMs: 0, runMs: 0, position: {term: 1, offsetBytes: this.offsetBytes},
		};
	}
}

/** Cuts into parts of about 64 KB, as a socket does. */
function cutAtFrames(answer: Buffer): Buffer[] {
	const parts: Buffer[] = [];
	let start = 0;
	let end = 0;
	for (const {bytes} of new FrameReader('fake').push(answer)) {
		end += bytes.length;
		if (end - start > 65_536) {
			parts.push(answer.subarray(start, end));
			start = end;
		}
	}

	return [...parts, answer.subarray(start)];
}

const resource = <K extends ResourceKind>(kind: K, name: string, spec: SpecByKind[K]): [string, Resource<K>] => [name, {
	kind, name, revision: 1, spec,
}];

/** Two ranks, three freshness classes and four routes. */
export const fakeConfiguration: Configuration = {
	...emptyConfiguration,
	revision: 1,
	ranks: new Map([
		resource('ranks', 'urgent', {order: 1, targetMs: 100, floorShare: 0.2}),
		resource('ranks', 'late', {order: 2, targetMs: 500, floorShare: 0.2}),
	]),
	freshnessClasses: new Map([
		resource('freshnessClasses', 'own', {mode: 'session'}),
		resource('freshnessClasses', 'recent', {mode: 'bounded', maxAgeMs: 500}),
	]),
	routes: new Map([
		resource('routes', 'all', {
			database: 'app', group: 'g1', rank: 'urgent', freshness: 'own',
		}),
		resource('routes', 'by-application', {
			database: 'app', application: 'board', group: 'g2', rank: 'late', freshness: 'own',
		}),
		resource('routes', 'by-user', {
			database: 'app', user: 'clerk', group: 'g3', rank: 'late', freshness: 'own',
		}),
	]),
};
