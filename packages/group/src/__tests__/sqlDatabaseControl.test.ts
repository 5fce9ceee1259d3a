import {expect} from 'chai';
import {
	type BackendConnection, type BackendDialer, type Metrics, noopMetrics, systemClock, systemRandom,
} from '@crocusloom/model';
import {
	commandComplete, dataRow, errorResponse, FrameReader, frontendTypes, readyForQuery, rowDescription,
} from '@crocusloom/wire';
import {SqlDatabaseControl} from '../sqlDatabaseControl.js';

const statusColumns = ['role', 'fenced_term', 'log_term', 'log_offset', 'follows_term'];

type Script = (sql: string) => {readonly columns: readonly string[]; readonly values: ReadonlyArray<string | null>} | 'error' | 'close';

function noop(): void {
	// Used where there is no reader to wake or no query to cancel.
}

/** Creates a dialer for a backend server that responds to queries according to a script. */
function scriptedDialer(script: Script, sentStatements: string[]): BackendDialer {
	return {
		async dial(): Promise<BackendConnection> {
			const closeController = new AbortController();
			const responseFrames: Buffer[] = [];
			const reader = new FrameReader('test');
			const pendingRead = {wake: noop};
			const respond = (sql: string, isExtended: boolean) => {
				const reply = script(sql);
				if (reply === 'close') {
					closeController.abort();
					return;
				}

				const descriptionFrames = isExtended && !isDescribed ? [] : [rowDescription(reply === 'error' ? [] : reply.columns.map(name => ({name})))];
				const frames = reply === 'error'
					? [errorResponse({sqlState: 'XX000', message: 'refused'})]
					: [...descriptionFrames, dataRow(reply.values), commandComplete('SELECT 1')];
				responseFrames.push(...frames, ...(isExtended ? [] : [readyForQuery('I')]));
			};

			let parsedSql = '';
			let isDescribed = false;
			const handlers: Readonly<Record<number, (bytes: Buffer) => void>> = {
				[frontendTypes.query](bytes) {
					const sql = bytes.toString('utf8', 5, bytes.length - 1);
					sentStatements.push(sql);
					respond(sql, false);
				},
				[frontendTypes.parse](bytes) {
					parsedSql = bytes.toString('utf8', 7, bytes.length - 3);
				},
				[frontendTypes.describe]() {
					isDescribed = true;
				},
				[frontendTypes.execute]() {
					sentStatements.push(parsedSql);
					respond(parsedSql, true);
					isDescribed = false;
				},
				[frontendTypes.sync]() {
					responseFrames.push(readyForQuery('I'));
				},
			};
			const sleepUntilWoken = async () => new Promise<void>(resolve => {
				pendingRead.wake = resolve;
			});
			return {
				closed: closeController.signal,
				preparedStatements: new Set(),
				write(frames) {
					for (const {type, bytes} of reader.push(frames)) {
						handlers[type]?.(bytes);
					}

					pendingRead.wake();
				},
				async * read() {
					while (!closeController.signal.aborted) {
						yield * responseFrames.splice(0);
						// A response may have been added while the last one was handled.
						if (responseFrames.length === 0) {
							await sleepUntilWoken();
						}
					}
				},
				cancel: noop,
				close() {
					closeController.abort();
					pendingRead.wake();
				},
			};
		},
	};
}

/** Size of the Bind, Execute and Sync frames of a prepared statement with a name of one letter. */
const bindExecuteSyncBytes = 14 + 10 + 5;

const statusReply = {columns: statusColumns, values: ['primary', '7', '6', '4096', '7']};

function replyTo(sql: string, values: Readonly<Record<string, string>>): ReturnType<Script> {
	const name = Object.keys(values).find(key => sql.includes(key));
	return name ? {columns: [name], values: [values[name]!]} : statusReply;
}

describe('SqlDatabaseControl', () => {
	const {signal} = new AbortController();
	const createControl = (script: Script, sentStatements: string[] = [], metrics?: Metrics) => new SqlDatabaseControl({
		database: 'a', address: '127.0.0.1', port: 1, dialer: scriptedDialer(script, sentStatements), clock: systemClock, random: systemRandom, metrics,
	});

	it('reads a status by column name (guards against a dependency on the column order)', async () => {
		const control = createControl(() => ({columns: statusColumns.toReversed(), values: statusReply.values.toReversed()}));
		expect(await control.status(signal)).to.deep.equal({
			database: 'a', role: 'primary', fencedTerm: 7, followsTerm: 7, position: {term: 6, offsetBytes: 4096}, fenceOwner: '', connectionId: 1,
		});
		control.close();
	});

	it('counts the bytes of a repeated status query, which is not described again (guards against control traffic that is missing from the metrics)', async () => {
		const bytes = new Map<string, number>();
		const count: Metrics['count'] = (name, _labels, increment = 1) => {
			bytes.set(name, (bytes.get(name) ?? 0) + increment);
		};

		const control = createControl(() => statusReply, [], {...noopMetrics, count});
		await control.status(signal);
		bytes.clear();
		await control.status(signal);
		const responseBytes = dataRow(statusReply.values).length + commandComplete('SELECT 1').length + readyForQuery('I').length;
		expect(Object.fromEntries(bytes)).to.deep.equal({monitor_sent_bytes_total: bindExecuteSyncBytes, monitor_received_bytes_total: responseBytes});
		control.close();
	});

	const fenceCases = [
		{functionResult: 't', accepted: true},
		{functionResult: 'f', accepted: false},
	];
	for (const {functionResult, accepted} of fenceCases) {
		it(`reports a fence with the result ${functionResult} and quotes the owner (guards against a refused fence that counts as accepted, and SQL injection)`, async () => {
			const sentStatements: string[] = [];
			const control = createControl(sql => replyTo(sql, {crocusloom_fence: functionResult}), sentStatements);
			const {connectionId} = await control.status(signal);
			const result = await control.fence({term: 8, owner: 'o\'hara', connectionId}, signal);
			expect(result.accepted).to.equal(accepted);
			expect(sentStatements[1]).to.equal('SELECT crocusloom_fence(8, \'o\'\'hara\')');
			control.close();
		});
	}

	it('quotes an owner with a backslash for either value of standard_conforming_strings (guards against an owner that ends its literal)', async () => {
		const sentStatements: string[] = [];
		const control = createControl(sql => replyTo(sql, {crocusloom_fence: 't'}), sentStatements);
		const {connectionId} = await control.status(signal);
		await control.fence({term: 8, owner: String.raw`o\'hara`, connectionId}, signal);
		expect(sentStatements[1]).to.equal(String.raw`SELECT crocusloom_fence(8, E'o\\''hara')`);
		control.close();
	});

	it('matches pipelined responses in order (guards against a response that is delivered to another call)', async () => {
		const control = createControl(sql => replyTo(sql, {crocusloom_wait_position: 'reached', crocusloom_promote: 't'}));
		const position = {term: 6, offsetBytes: 1};
		const {connectionId} = await control.status(signal);
		const results = await Promise.all([control.waitForPosition(position, 5, signal), control.promote({term: 7, owner: 'x', connectionId}, signal), control.status(signal)]);
		expect([results[0], results[1].accepted, results[2].fencedTerm]).to.deep.equal(['reached', true, 7]);
		control.close();
	});

	const orderCases: ReadonlyArray<{readonly name: string; readonly send: (control: SqlDatabaseControl, connectionId: number) => Promise<unknown>}> = [
		{name: 'fence', send: async (control, connectionId) => control.fence({term: 8, owner: 'x', connectionId}, signal)},
		{name: 'promote', send: async (control, connectionId) => control.promote({term: 8, owner: 'x', connectionId}, signal)},
		{name: 'follow', send: async (control, connectionId) => control.follow({term: 8, primaryAddress: 'b:1', connectionId}, signal)},
	];
	for (const {name, send} of orderCases) {
		it(`sends ${name} only on the connection on which the status was read (guards against an order that reaches a database which has restarted without its terms)`, async () => {
			const sentStatements: string[] = [];
			const replies: Array<ReturnType<Script>> = [statusReply, 'close'];
			const control = createControl(() => replies.shift() ?? statusReply, sentStatements);
			const {connectionId} = await control.status(signal);
			const outcome = async (call: Promise<unknown>) => call.then(() => 'ok', (error: unknown) => (error as Error).message);
			await outcome(control.status(signal));
			sentStatements.length = 0;
			expect(await outcome(send(control, connectionId))).to.include('the connection on which the status was read has ended');
			const {connectionId: newConnectionId} = await control.status(signal);
			expect(await outcome(send(control, connectionId))).to.include('the connection on which the status was read has ended');
			expect(sentStatements.filter(sql => sql.includes(name))).to.deep.equal([]);
			expect(await outcome(send(control, newConnectionId))).to.equal('ok');
			expect(sentStatements.filter(sql => sql.includes(name))).to.have.length(1);
			control.close();
		});
	}

	it('reports an error and a lost connection as failures, then reconnects (guards against a control that stays broken)', async () => {
		const replies: Array<ReturnType<Script>> = ['error', 'close', statusReply];
		const control = createControl(() => replies.shift() ?? statusReply);
		const outcomes: string[] = [];
		for (let call = 0; call < 3; call++) {
			const outcome = await control.status(signal).then(() => 'ok', (error: unknown) => (error as Error).name);
			outcomes.push(outcome);
		}

		expect(outcomes).to.deep.equal(['FailureError', 'FailureError', 'ok']);
		control.close();
	});
});
