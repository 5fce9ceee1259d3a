/**
 * The query phase of a connection: simple and extended query protocol.
 */
import {
	backendTypes, buildFrame, commandComplete, dataRow, errorResponse, frontendTypes, readyForQuery, rowDescription, type Frame,
} from '@crocusloom/wire';
import {
	parseStatements, type Statement,
} from './ast.js';
import {
	readBind, readExecute, readDescribeOrClose, readParse, readQueryOrPassword,
} from './messages.js';
import {type StatementResult} from './result.js';
import {StatementRunner, type ServerComponents} from './statementRunner.js';
import {describeColumns} from './columns.js';
import {serverSqlStates, SqlError} from './sqlError.js';
import {statementKind, parameterCount, type StatementKind} from './statements.js';
import {toText, type Value} from './values.js';

type PreparedStatement = {readonly statement?: Statement; readonly parameterTypeIds: readonly number[]};
type Portal = {readonly prepared: PreparedStatement; readonly values: readonly Value[]; result?: StatementResult; sentRows: number};

/** Sends bytes to the client. */
export type SendBytes = (bytes: Buffer) => Promise<void>;

/** Thrown to close the connection when an injected fault drops the response. */
export class AnswerDroppedError extends Error {}

const emptyFrame = Buffer.alloc(0);
const textTypeId = 25;

/** Handles the messages of a client and sends the responses. */
export class Session {
	readonly runner: StatementRunner;
	private readonly preparedStatements = new Map<string, PreparedStatement>();
	private readonly portals = new Map<string, Portal>();
	private pendingFrames: Buffer[] = [];
	private exchangeStatementKinds = new Set<StatementKind>();
	private isSkippingUntilSync = false;

	private readonly handlers: Readonly<Record<number, (frame: Frame) => Promise<void> | void>> = {
		[frontendTypes.query]: async frame => this.simpleQuery(readQueryOrPassword(frame)),
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
			this.closeStatementOrPortal(frame);
		},
		[frontendTypes.flush]: async () => this.flushPending(),
		[frontendTypes.sync]: async () => this.handleSync(),
	};

	constructor(private readonly components: ServerComponents, private readonly sendBytes: SendBytes) {
		this.runner = new StatementRunner(components);
	}

	/**
	 * Handles a message of the client.
	 * @returns false after Terminate
	 * @throws AnswerDroppedError if the connection must be closed without a response
	 */
	async handleMessage(frame: Frame): Promise<boolean> {
		if (frame.type === frontendTypes.terminate) {
			return false;
		}

		if (this.isSkippingUntilSync && frame.type !== frontendTypes.sync) {
			return true;
		}

		const handler = this.handlers[frame.type];
		if (!handler) {
			this.addError(new SqlError(serverSqlStates.featureNotSupported, `message type ${frame.type} is not supported`));
			return true;
		}

		try {
			await handler(frame);
		} catch (error) {
			if (error instanceof AnswerDroppedError) {
				throw error;
			}

			this.runner.failTransaction();
			this.addError(error);
			this.isSkippingUntilSync = true;
		}

		return true;
	}

	private async simpleQuery(text: string): Promise<void> {
		try {
			const statements = parseStatements(text);
			if (statements.length === 0) {
				this.pendingFrames.push(buildFrame(backendTypes.emptyQueryResponse, emptyFrame));
			}

			for (const statement of statements) {
				const result = await this.runStatement(statement, []);
				this.addResult(result, true);
			}

			this.runner.endImplicitTransaction();
		} catch (error) {
			this.runner.failTransaction();
			this.addError(error);
		}

		await this.finishExchange();
	}

	private parse(frame: Frame): void {
		const {name, text, parameterTypeIds} = readParse(frame);
		const statements = parseStatements(text);
		if (statements.length > 1) {
			throw new SqlError(serverSqlStates.syntaxError, 'cannot insert multiple commands into a prepared statement');
		}

		if (name !== '' && this.preparedStatements.has(name)) {
			throw new SqlError('42P05', `prepared statement "${name}" already exists`);
		}

		this.preparedStatements.set(name, {statement: statements[0], parameterTypeIds});
		this.pendingFrames.push(buildFrame(backendTypes.parseComplete, emptyFrame));
	}

	private bind(frame: Frame): void {
		const {portal, statement, values} = readBind(frame);
		const prepared = this.findPreparedStatement(statement);
		const expectedCount = prepared.statement ? parameterCount(prepared.statement) : 0;
		if (values.length < expectedCount) {
			throw new SqlError(serverSqlStates.protocolViolation, `bind message supplies ${values.length} parameters, but the statement requires ${expectedCount}`);
		}

		this.portals.set(portal, {prepared, values, sentRows: 0});
		this.pendingFrames.push(buildFrame(backendTypes.bindComplete, emptyFrame));
	}

	private describe(frame: Frame): void {
		const {kind, name} = readDescribeOrClose(frame);
		const prepared = kind === 'S' ? this.findPreparedStatement(name) : this.findPortal(name).prepared;
		if (kind === 'S') {
			this.pendingFrames.push(parameterDescription(prepared));
		}

		const columns = prepared.statement && describeColumns(prepared.statement, this.runner.currentTransaction.overlay);
		this.pendingFrames.push(columns ? rowDescription(columns) : buildFrame(backendTypes.noData, emptyFrame));
	}

	private async executePortal(frame: Frame): Promise<void> {
		const {portal: name, maximumRows} = readExecute(frame);
		const portal = this.findPortal(name);
		const {statement} = portal.prepared;
		if (!statement) {
			this.pendingFrames.push(buildFrame(backendTypes.emptyQueryResponse, emptyFrame));
			return;
		}

		portal.result ??= await this.runStatement(statement, portal.values);
		const {rows, commandTag} = portal.result;
		const endIndex = maximumRows > 0 ? Math.min(rows.length, portal.sentRows + maximumRows) : rows.length;
		this.addRows(rows.slice(portal.sentRows, endIndex));
		portal.sentRows = endIndex;
		this.pendingFrames.push(endIndex < rows.length ? buildFrame(backendTypes.portalSuspended, emptyFrame) : commandComplete(commandTag));
	}

	private closeStatementOrPortal(frame: Frame): void {
		const {kind, name} = readDescribeOrClose(frame);
		(kind === 'S' ? this.preparedStatements : this.portals).delete(name);
		this.pendingFrames.push(buildFrame(backendTypes.closeComplete, emptyFrame));
	}

	private async handleSync(): Promise<void> {
		this.isSkippingUntilSync = false;
		try {
			this.runner.endImplicitTransaction();
		} catch (error) {
			this.addError(error);
		}

		await this.finishExchange();
	}

	private async runStatement(statement: Statement, values: readonly Value[]): Promise<StatementResult> {
		this.exchangeStatementKinds.add(statementKind(statement));
		return this.runner.run(statement, values);
	}

	private async finishExchange(): Promise<void> {
		const kinds = this.exchangeStatementKinds;
		this.exchangeStatementKinds = new Set();
		if (this.runner.transactionStatus === 'I') {
			this.portals.clear();
		}

		if (this.components.faults.consumeDroppedAnswer(kinds)) {
			this.components.counters.increment('answersDropped');
			throw new AnswerDroppedError();
		}

		this.pendingFrames.push(readyForQuery(this.runner.transactionStatus));
		await this.flushPending();
	}

	private async flushPending(): Promise<void> {
		const bytes = Buffer.concat(this.pendingFrames);
		this.pendingFrames = [];
		if (bytes.length > 0) {
			await this.sendBytes(bytes);
		}
	}

	private addResult({columns, rows, commandTag}: StatementResult, hasDescription: boolean): void {
		if (columns && hasDescription) {
			this.pendingFrames.push(rowDescription(columns));
		}

		this.addRows(rows);
		this.pendingFrames.push(commandComplete(commandTag));
	}

	private addRows(rows: StatementResult['rows']): void {
		for (const row of rows) {
			this.pendingFrames.push(dataRow(row.map(value => toText(value))));
		}
	}

	private addError(error: unknown): void {
		const {sqlState, message, constraint} = error instanceof SqlError ? error : new SqlError('XX000', String(error));
		this.pendingFrames.push(errorResponse({sqlState, message, constraint}));
	}

	private findPreparedStatement(name: string): PreparedStatement {
		const prepared = this.preparedStatements.get(name);
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

function parameterDescription({statement, parameterTypeIds}: PreparedStatement): Buffer {
	const count = Math.max(parameterTypeIds.length, statement ? parameterCount(statement) : 0);
	const body = Buffer.alloc(2 + (4 * count));
	body.writeInt16BE(count);
	for (let index = 0; index < count; index++) {
		const typeId = parameterTypeIds[index] ?? 0;
		body.writeInt32BE(typeId === 0 ? textTypeId : typeId, 2 + (4 * index));
	}

	return buildFrame(backendTypes.parameterDescription, body);
}
