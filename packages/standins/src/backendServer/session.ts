/**
 * The query phase of one connection.
 */
import {
	backendTypes, buildFrame, commandComplete, dataRow, errorResponse, frontendTypes, readyForQuery, rowDescription, type Frame,
} from '@crocusloom/wire';
import {
	parseStatements, type Statement,
} from './ast.js';
import {
	readBind, readExecute, readNamed, readParse, readText,
} from './messages.js';
import {type Result} from './result.js';
import {StatementRunner, type ServerParts} from './runner.js';
import {describeColumns} from './columns.js';
import {serverSqlStates, SqlError} from './sqlError.js';
import {kindOf, parameterCount, type StatementKind} from './statements.js';
import {toText, type Value} from './values.js';

type Prepared = {readonly statement?: Statement; readonly typeIds: readonly number[]};
type Portal = {readonly prepared: Prepared; readonly values: readonly Value[]; result?: Result; sentRows: number};

/** Sends bytes to the caller. */
export type Output = (bytes: Buffer) => Promise<void>;

/** Thrown to close the connection instead of sending an answer that a test asked to drop. */
export class AnswerDroppedError extends Error {}

const emptyFrame = Buffer.alloc(0);
const textTypeId = 25;

export class Session {
	readonly runner: StatementRunner;
	private readonly prepared = new Map<string, Prepared>();
	private readonly portals = new Map<string, Portal>();
	private pending: Buffer[] = [];
	private exchangeKinds = new Set<StatementKind>();
	private skipsToSync = false;

	private readonly handlers: Readonly<Record<number, (frame: Frame) => Promise<void> | void>> = {
		[frontendTypes.query]: async frame => this.simpleQuery(readText(frame)),
		[frontendTypes.parse]: frame => {
			this.parse(frame);
		},
		[frontendTypes.bind]: frame => {
			this.bind(frame);
		},
		[frontendTypes.describe]: frame => {
			this.describe(frame);
		},
		[frontendTypes.execute]: async frame => this.executePortal(frame),
		[frontendTypes.close]: frame => {
			this.close(frame);
		},
		[frontendTypes.flush]: async () => this.flush(),
		[frontendTypes.sync]: async () => this.sync(),
	};

	constructor(private readonly parts: ServerParts, private readonly output: Output) {
		this.runner = new StatementRunner(parts);
	}

	/**
	 * Handles one message of the caller.
	 * @returns false after Terminate
	 * @throws AnswerDroppedError when the connection must be closed without the answer
	 */
	async handle(frame: Frame): Promise<boolean> {
		if (frame.type === frontendTypes.terminate) {
			return false;
		}

		if (this.skipsToSync && frame.type !== frontendTypes.sync) {
			return true;
		}

		const handler = this.handlers[frame.type];
		if (!handler) {
			this.reportError(new SqlError(serverSqlStates.featureNotSupported, `message type ${frame.type} is not supported`));
			return true;
		}

		try {
			await handler(frame);
		} catch (error) {
			if (error instanceof AnswerDroppedError) {
				throw error;
			}

			this.runner.fail();
			this.reportError(error);
			this.skipsToSync = true;
		}

		return true;
	}

	private async simpleQuery(text: string): Promise<void> {
		try {
			const statements = parseStatements(text);
			if (statements.length === 0) {
				this.pending.push(buildFrame(backendTypes.emptyQueryResponse, emptyFrame));
			}

			for (const statement of statements) {
				const result = await this.run(statement, []);
				this.sendResult(result, true);
			}

			this.runner.endImplicit();
		} catch (error) {
			this.runner.fail();
			this.reportError(error);
		}

		await this.ready();
	}

	private parse(frame: Frame): void {
		const {name, text, typeIds} = readParse(frame);
		const statements = parseStatements(text);
		if (statements.length > 1) {
			throw new SqlError(serverSqlStates.syntaxError, 'cannot insert multiple commands into a prepared statement');
		}

		if (name !== '' && this.prepared.has(name)) {
			throw new SqlError('42P05', `prepared statement "${name}" already exists`);
		}

		this.prepared.set(name, {statement: statements[0], typeIds});
		this.pending.push(buildFrame(backendTypes.parseComplete, emptyFrame));
	}

	private bind(frame: Frame): void {
		const {portal, statement, values} = readBind(frame);
		const prepared = this.findPrepared(statement);
		const expected = prepared.statement ? parameterCount(prepared.statement) : 0;
		if (values.length < expected) {
			throw new SqlError(serverSqlStates.protocolViolation, `bind message supplies ${values.length} parameters, but the statement requires ${expected}`);
		}

		this.portals.set(portal, {prepared, values, sentRows: 0});
		this.pending.push(buildFrame(backendTypes.bindComplete, emptyFrame));
	}

	private describe(frame: Frame): void {
		const {kind, name} = readNamed(frame);
		const prepared = kind === 'S' ? this.findPrepared(name) : this.findPortal(name).prepared;
		if (kind === 'S') {
			this.pending.push(parameterDescription(prepared));
		}

		const columns = prepared.statement && describeColumns(prepared.statement, this.runner.current.overlay);
		this.pending.push(columns ? rowDescription(columns) : buildFrame(backendTypes.noData, emptyFrame));
	}

	private async executePortal(frame: Frame): Promise<void> {
		const {portal: name, maximumRows} = readExecute(frame);
		const portal = this.findPortal(name);
		const {statement} = portal.prepared;
		if (!statement) {
			this.pending.push(buildFrame(backendTypes.emptyQueryResponse, emptyFrame));
			return;
		}

		portal.result ??= await this.run(statement, portal.values);
		const {rows, tag} = portal.result;
		const end = maximumRows > 0 ? Math.min(rows.length, portal.sentRows + maximumRows) : rows.length;
		this.sendRows(rows.slice(portal.sentRows, end));
		portal.sentRows = end;
		this.pending.push(end < rows.length ? buildFrame(backendTypes.portalSuspended, emptyFrame) : commandComplete(tag));
	}

	private close(frame: Frame): void {
		const {kind, name} = readNamed(frame);
		(kind === 'S' ? this.prepared : this.portals).delete(name);
		this.pending.push(buildFrame(backendTypes.closeComplete, emptyFrame));
	}

	private async sync(): Promise<void> {
		this.skipsToSync = false;
		try {
			this.runner.endImplicit();
		} catch (error) {
			this.reportError(error);
		}

		await this.ready();
	}

	private async run(statement: Statement, values: readonly Value[]): Promise<Result> {
		this.exchangeKinds.add(kindOf(statement));
		return this.runner.run(statement, values);
	}

	private async ready(): Promise<void> {
		const kinds = this.exchangeKinds;
		this.exchangeKinds = new Set();
		if (this.runner.status === 'I') {
			this.portals.clear();
		}

		if (this.parts.faults.takeDrop(kinds)) {
			this.parts.counters.count('answersDropped');
			throw new AnswerDroppedError();
		}

		this.pending.push(readyForQuery(this.runner.status));
		await this.flush();
	}

	private async flush(): Promise<void> {
		const bytes = Buffer.concat(this.pending);
		this.pending = [];
		if (bytes.length > 0) {
			await this.output(bytes);
		}
	}

	private sendResult({columns, rows, tag}: Result, withDescription: boolean): void {
		if (columns && withDescription) {
			this.pending.push(rowDescription(columns));
		}

		this.sendRows(rows);
		this.pending.push(commandComplete(tag));
	}

	private sendRows(rows: Result['rows']): void {
		for (const row of rows) {
			this.pending.push(dataRow(row.map(value => toText(value))));
		}
	}

	private reportError(error: unknown): void {
		const {sqlState, message, constraint} = error instanceof SqlError ? error : new SqlError('XX000', String(error));
		this.pending.push(errorResponse({sqlState, message, constraint}));
	}

	private findPrepared(name: string): Prepared {
		const prepared = this.prepared.get(name);
		if (!prepared) {
			throw new SqlError(serverSqlStates.undefinedStatement, `prepared statement "${name}" does not exist`);
		}

		return prepared;
	}

	private findPortal(name: string): Portal {
		const portal = this.portals.get(name);
		if (!portal) {
			throw new SqlError(serverSqlStates.undefinedPortal, `portal "${name}" does not exist`);
		}

		return portal;
	}
}

function parameterDescription({statement, typeIds}: Prepared): Buffer {
	const count = Math.max(typeIds.length, statement ? parameterCount(statement) : 0);
	const body = Buffer.alloc(2 + (4 * count));
	body.writeInt16BE(count);
	for (let index = 0; index < count; index++) {
		const typeId = typeIds[index] ?? 0;
		body.writeInt32BE(typeId === 0 ? textTypeId : typeId, 2 + (4 * index));
	}

	return buildFrame(backendTypes.parameterDescription, body);
}
