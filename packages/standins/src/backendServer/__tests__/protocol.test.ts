import {connect} from 'node:net';
import {
	readErrorField, FrameReader, readDataRow, type Frame,
} from '@crocusloom/wire';
import {assert} from 'chai';
import {serialize} from 'pg-protocol';
import {type BackendServer} from '../server.js';
import {buildStartupPacket} from '../startup.js';
import {queryOutcome, TestServers} from './testServer.js';

/**
 * Sends messages after startup and reads frames until `readyCount` ReadyForQuery messages have been received, including the
 * one that ends the startup.
 * @returns the frames after the startup
 */
async function exchange(server: BackendServer, bytes: Buffer, readyCount: number): Promise<readonly Frame[]> {
	const socket = connect(server.port, '127.0.0.1');
	const reader = new FrameReader('server');
	const frames: Frame[] = [];
	socket.write(Buffer.concat([buildStartupPacket({user: 'u', database: 'd'}), bytes]));
	for await (const chunk of socket as AsyncIterable<Buffer>) {
		frames.push(...reader.push(chunk));
		if (frames.filter(({type}) => messageTypeLetter(type) === 'Z').length >= readyCount) {
			break;
		}
	}

	socket.destroy();
	const start = frames.findIndex(({type}) => messageTypeLetter(type) === 'Z');
	return frames.slice(start + 1);
}

function messageTypeLetter(type: number): string {
	return String.fromCodePoint(type);
}

/** Formats frames as their type letters, with row values, SQLSTATEs and transaction statuses. */
function summarizeFrames(frames: readonly Frame[]): string {
	return frames.map(({type, bytes}) => {
		const details: Readonly<Record<string, () => string>> = {
			D: () => `(${readDataRow(bytes).join(',')})`, E: () => `(${readErrorField(bytes, 'C')})`, Z: () => `(${bytes.toString('utf8', 5)})`,
		};
		return `${messageTypeLetter(type)}${details[messageTypeLetter(type)]?.() ?? ''}`;
	}).join(' ');
}

type Case = {readonly frames: readonly Buffer[]; readonly readyCount: number; readonly expected: string; readonly guards: string};

/** Parse, Bind and Execute of one statement. */
function extendedQuery(text: string, values: string[] = []): readonly Buffer[] {
	return [serialize.parse({text}), serialize.bind({values}), serialize.execute()];
}

const select = serialize.parse({text: 'select id from t order by id'});
const cases: readonly Case[] = [
	{
		guards: 'responses in a pipeline that are out of order',
		frames: [...extendedQuery('insert into t values ($1)', ['9']), serialize.sync(), serialize.query('select 1')],
		readyCount: 3,
		expected: '1 2 C Z(I) T D(1) C Z(I)',
	},
	{
		guards: 'a description without parameters or columns',
		frames: [serialize.parse({name: 'p', text: 'select id from t where id = $1'}), serialize.describe({type: 'S', name: 'p'}), serialize.sync()],
		readyCount: 2,
		expected: '1 t T Z(I)',
	},
	{
		guards: 'an Execute message whose row limit is ignored',
		frames: [select, serialize.bind(), serialize.execute({rows: 2}), serialize.execute(), serialize.sync()],
		readyCount: 2,
		expected: '1 2 D(1) D(2) s D(3) C Z(I)',
	},
	{
		guards: 'statements that run between an error and Sync',
		frames: [...extendedQuery('delete from missing'), ...extendedQuery('delete from t'), serialize.sync(), serialize.query('select count(*) from t')],
		readyCount: 3,
		expected: '1 2 E(42P01) Z(I) T D(3) C Z(I)',
	},
	{
		guards: 'writes before an error that are committed when Sync ends the implicit transaction',
		frames: [...extendedQuery('delete from t'), ...extendedQuery('select * from missing'), serialize.sync(), serialize.query('select count(*) from t')],
		readyCount: 3,
		expected: '1 2 C 1 2 E(42P01) Z(I) T D(3) C Z(I)',
	},
	{
		guards: 'a closed prepared statement that can still be bound',
		frames: [serialize.parse({name: 'p', text: 'select 1'}), serialize.close({type: 'S', name: 'p'}), serialize.bind({statement: 'p'}), serialize.sync()],
		readyCount: 2,
		expected: '1 3 E(26000) Z(I)',
	},
	{
		guards: 'a wrong transaction status in ReadyForQuery',
		frames: [serialize.query('begin'), serialize.query('select * from missing'), serialize.query('rollback')],
		readyCount: 4,
		expected: 'C Z(T) E(42P01) Z(E) C Z(I)',
	},
	{
		guards: 'an empty query without EmptyQueryResponse',
		frames: [serialize.query(''), ...extendedQuery(''), serialize.sync()],
		readyCount: 3,
		expected: 'I Z(I) 1 2 I Z(I)',
	},
];

describe('backend server protocol', () => {
	const servers = new TestServers();
	afterEach(async () => servers.stop());

	for (const {guards, frames, readyCount, expected} of cases) {
		it(`guards against ${guards}`, async () => {
			const server = await servers.start({initialPrimary: true});
			const client = await servers.connect(server);
			await client.query('create table t (id int primary key); insert into t values (1), (2), (3)');
			assert.equal(summarizeFrames(await exchange(server, Buffer.concat([...frames]), readyCount)), expected);
		});
	}

	it('guards against accepting a wrong password or rejecting the right one', async () => {
		const server = await servers.start({initialPrimary: true, password: 'right'});
		const errorCode = await servers.connect(server, {password: 'wrong'}).catch((error: unknown) => (error as {readonly code: string}).code);
		const client = await servers.connect(server, {password: 'right'});
		assert.equal(errorCode, '28P01');
		assert.deepEqual(await queryOutcome(client, 'select 1'), [[1]]);
	});

	it('guards against a TLS request without a response', async () => {
		const server = await servers.start({initialPrimary: true});
		const message = await servers.connect(server, {ssl: true}).catch((error: unknown) => (error as Error).message);
		assert.equal(message, 'The server does not support SSL connections');
	});
});
