import {connect} from 'node:net';
import {
	readErrorField, FrameReader, readDataRow, type Frame,
} from '@crocusloom/wire';
import {assert} from 'chai';
import {serialize} from 'pg-protocol';
import {type BackendServer} from '../server.js';
import {startupPacket} from '../startup.js';
import {outcome, TestServers} from './testServer.js';

/** Sends bytes after startup and reads frames until so many ReadyForQuery have come, the one of startup included. */
async function exchange(server: BackendServer, bytes: Buffer, readyCount: number): Promise<readonly Frame[]> {
	const socket = connect(server.port, '127.0.0.1');
	const reader = new FrameReader('server');
	const frames: Frame[] = [];
	socket.write(Buffer.concat([startupPacket({user: 'u', database: 'd'}), bytes]));
	for await (const chunk of socket as AsyncIterable<Buffer>) {
		frames.push(...reader.push(chunk));
		if (frames.filter(({type}) => letter(type) === 'Z').length >= readyCount) {
			break;
		}
	}

	socket.destroy();
	const start = frames.findIndex(({type}) => letter(type) === 'Z');
	return frames.slice(start + 1);
}

function letter(type: number): string {
	return String.fromCodePoint(type);
}

/** Frames as their letters, with row values, error codes and transaction statuses. */
function summary(frames: readonly Frame[]): string {
	return frames.map(({type, bytes}) => {
		const details: Readonly<Record<string, () => string>> = {
			D: () => `(${readDataRow(bytes).join(',')})`, E: () => `(${readErrorField(bytes, 'C')})`, Z: () => `(${bytes.toString('utf8', 5)})`,
		};
		return `${letter(type)}${details[letter(type)]?.() ?? ''}`;
	}).join(' ');
}

type Case = {readonly frames: readonly Buffer[]; readonly readyCount: number; readonly expected: string; readonly guards: string};

/** Parse, Bind and Execute of one statement. */
function run(text: string, values: string[] = []): readonly Buffer[] {
	return [serialize.parse({text}), serialize.bind({values}), serialize.execute()];
}

const select = serialize.parse({text: 'select id from t order by id'});
const cases: readonly Case[] = [
	{
		guards: 'answers of a pipeline that are out of order',
		frames: [...run('insert into t values ($1)', ['9']), serialize.sync(), serialize.query('select 1')],
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
		guards: 'a row limit being ignored',
		frames: [select, serialize.bind(), serialize.execute({rows: 2}), serialize.execute(), serialize.sync()],
		readyCount: 2,
		expected: '1 2 D(1) D(2) s D(3) C Z(I)',
	},
	{
		guards: 'statements that run between an error and Sync',
		frames: [...run('delete from missing'), ...run('delete from t'), serialize.sync(), serialize.query('select count(*) from t')],
		readyCount: 3,
		expected: '1 2 E(42P01) Z(I) T D(3) C Z(I)',
	},
	{
		guards: 'writes before an error staying when Sync ends the implicit transaction',
		frames: [...run('delete from t'), ...run('select * from missing'), serialize.sync(), serialize.query('select count(*) from t')],
		readyCount: 3,
		expected: '1 2 C 1 2 E(42P01) Z(I) T D(3) C Z(I)',
	},
	{
		guards: 'a closed statement that can still be bound',
		frames: [serialize.parse({name: 'p', text: 'select 1'}), serialize.close({type: 'S', name: 'p'}), serialize.bind({statement: 'p'}), serialize.sync()],
		readyCount: 2,
		expected: '1 3 E(26000) Z(I)',
	},
	{
		guards: 'a transaction status that does not follow the transaction',
		frames: [serialize.query('begin'), serialize.query('select * from missing'), serialize.query('rollback')],
		readyCount: 4,
		expected: 'C Z(T) E(42P01) Z(E) C Z(I)',
	},
	{
		guards: 'an empty query without an answer',
		frames: [serialize.query(''), ...run(''), serialize.sync()],
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
			assert.equal(summary(await exchange(server, Buffer.concat([...frames]), readyCount)), expected);
		});
	}

	it('guards against a wrong password being accepted, or the right one refused', async () => {
		const server = await servers.start({initialPrimary: true, password: 'right'});
		const refused = await servers.connect(server, {password: 'wrong'}).catch((error: unknown) => (error as {readonly code: string}).code);
		const client = await servers.connect(server, {password: 'right'});
		assert.equal(refused, '28P01');
		assert.deepEqual(await outcome(client, 'select 1'), [[1]]);
	});

	it('guards against a client that offers TLS and is not answered', async () => {
		const server = await servers.start({initialPrimary: true});
		const message = await servers.connect(server, {ssl: true}).catch((error: unknown) => (error as Error).message);
		assert.equal(message, 'The server does not support SSL connections');
	});
});
