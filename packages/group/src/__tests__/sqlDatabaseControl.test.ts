import {expect} from 'chai';
import {
	type BackendConnection, type BackendDialer, type Metrics, noopMetrics, systemClock, systemRandom,
} from '@crocusloom/model';
import {
	commandComplete, dataRow, errorResponse, FrameReader, frontend, readyForQuery, rowDescription,
} from '@crocusloom/wire';
import {SqlDatabaseControl} from '../sqlDatabaseControl.js';

const statusColumns = ['role', 'fenced_term', 'log_term', 'log_offset', 'follows_term'];

type Script = (sql: string) => {readonly columns: readonly string[]; readonly values: ReadonlyArray<string | null>} | 'error' | 'close';

function ignore(): void {
	// Nothing listens or nothing is to be cancelled.
}

/** A backend server that answers simple queries by a script. */
function scriptedDialer(script: Script, sent: string[]): BackendDialer {
	return {
		async dial(): Promise<BackendConnection> {
			const closed = new AbortController();
			const answers: Buffer[] = [];
			const reader = new FrameReader('test');
			const sleeper = {wake: ignore};
			const answer = (sql: string, isExtended: boolean) => {
				const reply = script(sql);
				if (reply === 'close') {
					closed.abort();
					return;
				}

				const described = isExtended && !isDescribed ? [] : [rowDescription(reply === 'error' ? [] : reply.columns.map(name => ({name})))];
				const body = reply === 'error'
					? [errorResponse({sqlState: 'XX000', message: 'refused'})]
					: [...described, dataRow(reply.values), commandComplete('SELECT 1')];
				answers.push(...body, ...(isExtended ? [] : [readyForQuery('I')]));
			};

			let parsed = '';
			let isDescribed = false;
			const handlers: Readonly<Record<number, (bytes: Buffer) => void>> = {
				[frontend.query](bytes) {
					const sql = bytes.toString('utf8', 5, bytes.length - 1);
					sent.push(sql);
					answer(sql, false);
				},
				[frontend.parse](bytes) {
					parsed = bytes.toString('utf8', 7, bytes.length - 3);
				},
				[frontend.describe]() {
					isDescribed = true;
				},
				[frontend.execute]() {
					sent.push(parsed);
					answer(parsed, true);
					isDescribed = false;
				},
				[frontend.sync]() {
					answers.push(readyForQuery('I'));
				},
			};
			const sleepUntilWoken = async () => new Promise<void>(resolve => {
				sleeper.wake = resolve;
			});
			return {
				closed: closed.signal,
				preparedStatements: new Set(),
				write(frames) {
					for (const {type, bytes} of reader.push(frames)) {
						handlers[type]?.(bytes);
					}

					sleeper.wake();
				},
				async * read() {
					while (!closed.signal.aborted) {
						yield * answers.splice(0);
						await new Promise<void>(resolve => {
							sleeper.wake = resolve;
						});
					}
				},
				cancel: ignore,
				close() {
					closed.abort();
					sleeper.wake();
				},
			};
		},
	};
}

/** Sizes of the frames of one execution of a prepared statement with a name of one letter. */
const bindExecuteSyncBytes = 14 + 10 + 5;

const statusReply = {columns: statusColumns, values: ['primary', '7', '6', '4096', '7']};

function replyTo(sql: string, values: Readonly<Record<string, string>>): ReturnType<Script> {
	const name = Object.keys(values).find(key => sql.includes(key));
	return name ? {columns: [name], values: [values[name]!]} : statusReply;
}

describe('SqlDatabaseControl', () => {
	const {signal} = new AbortController();
	const make = (script: Script, sent: string[] = [], metrics?: Metrics) => new SqlDatabaseControl({
		database: 'a', address: '127.0.0.1', port: 1, dialer: scriptedDialer(script, sent), clock: systemClock, random: systemRandom, metrics,
	});

	it('reads a status by column name (guards against a column order other than the documented one)', async () => {
		const control = make(() => ({columns: statusColumns.toReversed(), values: statusReply.values.toReversed()}));
		expect(await control.status(signal)).to.deep.equal({
			database: 'a', role: 'primary', fencedTerm: 7, followsTerm: 7, position: {term: 6, offsetBytes: 4096}, fenceOwner: '',
		});
		control.close();
	});

	it('counts the bytes of a repeated status question, which is not described again (guards against control traffic that no metric shows)', async () => {
		const bytes = new Map<string, number>();
		const count: Metrics['count'] = (name, _labels, by = 1) => {
			bytes.set(name, (bytes.get(name) ?? 0) + by);
		};

		const control = make(() => statusReply, [], {...noopMetrics, count});
		await control.status(signal);
		bytes.clear();
		await control.status(signal);
		const answerBytes = dataRow(statusReply.values).length + commandComplete('SELECT 1').length + readyForQuery('I').length;
		expect(Object.fromEntries(bytes)).to.deep.equal({monitor_sent_bytes_total: bindExecuteSyncBytes, monitor_received_bytes_total: answerBytes});
		control.close();
	});

	const changes = [
		{answer: 't', accepted: true},
		{answer: 'f', accepted: false},
	];
	for (const {answer, accepted} of changes) {
		it(`reports a fence answered ${answer} and quotes the owner (guards against a refused fence that counts, and injection)`, async () => {
			const sent: string[] = [];
			const control = make(sql => replyTo(sql, {crocusloom_fence: answer}), sent);
			const result = await control.fence(8, 'o\'hara', signal);
			expect(result.accepted).to.equal(accepted);
			expect(sent[0]).to.equal('SELECT crocusloom_fence(8, \'o\'\'hara\')');
			control.close();
		});
	}

	it('matches pipelined answers in order (guards against an answer given to another call)', async () => {
		const control = make(sql => replyTo(sql, {crocusloom_wait_position: 'reached', crocusloom_promote: 't'}));
		const position = {term: 6, offsetBytes: 1};
		const answers = await Promise.all([control.waitForPosition(position, 5, signal), control.promote(7, 'x', signal), control.status(signal)]);
		expect([answers[0], answers[1].accepted, answers[2].fencedTerm]).to.deep.equal(['reached', true, 7]);
		control.close();
	});

	it('reports an error and a lost connection as a failure, then connects again (guards against a control that stays broken)', async () => {
		const replies: Array<ReturnType<Script>> = ['error', 'close', statusReply];
		const control = make(() => replies.shift() ?? statusReply);
		const outcomes: string[] = [];
		for (let call = 0; call < 3; call++) {
			const outcome = await control.status(signal).then(() => 'ok', (error: unknown) => (error as Error).name);
			outcomes.push(outcome);
		}

		expect(outcomes).to.deep.equal(['FailureError', 'FailureError', 'ok']);
		control.close();
	});
});
