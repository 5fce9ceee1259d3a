import {connect, type Socket} from 'node:net';
import {expect} from 'chai';
import fc from 'fast-check';
import {
	backend, buildFrame, FrameReader, frontend, readDataRow, type Frame,
} from '@crocusloom/wire';
import {HarnessScope, rowsOf, until} from './harness.js';
import {
	bindFrames, extendedFrames, queryFrame, startupPacket,
} from './rawCaller.js';

const seed = 20_261_204;
const startup = startupPacket({user: 'desk', database: 'app'});
const sync = buildFrame(frontend.sync, Buffer.alloc(0));
const terminate = buildFrame(frontend.terminate, Buffer.alloc(0));

/** Sends bytes and gives what came back until the server closed. */
async function exchangeBytes(port: number, bytes: Buffer): Promise<Buffer> {
	const socket: Socket = connect(port, '127.0.0.1');
	const parts: Buffer[] = [];
	socket.on('data', part => {
		parts.push(part);
	});
	socket.on('error', () => undefined);
	socket.end(bytes);
	await new Promise(resolve => {
		socket.once('close', resolve);
	});
	return Buffer.concat(parts);
}

/** Sends bytes without closing and gives the frames up to the wanted count of ReadyForQuery. */
async function framesUntilReady(port: number, bytes: Buffer, readyCount: number): Promise<readonly Frame[]> {
	const socket = connect(port, '127.0.0.1');
	const reader = new FrameReader('test');
	const frames: Frame[] = [];
	socket.on('data', part => {
		frames.push(...reader.push(part));
	});
	socket.write(bytes);
	await until(() => frames.filter(({type}) => type === backend.readyForQuery).length >= readyCount || socket.destroyed);
	socket.destroy();
	return frames;
}

const letters = (frames: readonly Frame[]): string => frames.map(({type}) => String.fromCodePoint(type)).join('').replace(/^.*?Z/v, '');

describe('input of any kind', () => {
	const scope = new HarnessScope();
	before(async () => {
		await scope.start({limits: {startupMs: 500}});
	});
	after(() => {
		scope.close();
	});

	const marker = fc.string({unit: fc.constantFrom(...'abcdefgh'), minLength: 1, maxLength: 8});
	const step = fc.oneof(
		marker.map(text => queryFrame(`SELECT '${text}'`)),
		marker.map(text => queryFrame(`INSERT INTO t VALUES ('${text}')`)),
		fc.constantFrom('BEGIN', 'COMMIT', 'ROLLBACK', 'SELECT fail()', 'SET search_path = a', 'COPY t FROM STDIN', '').map(text => queryFrame(text)),
		fc.tuple(fc.constantFrom('', 'a', 'b'), marker, fc.constantFrom('sync', 'flush')).map(([name, text, end]) => extendedFrames(name, `SELECT '${text}'`, end)),
		fc.constantFrom('', 'a', 'c').map(name => Buffer.concat([bindFrames(name), sync])),
		fc.constant(sync),
	);
	const mutated = fc.tuple(fc.array(step, {maxLength: 12}), fc.array(fc.tuple(fc.nat(), fc.nat(255)), {maxLength: 6})).map(([steps, changes]) => {
		const bytes = Buffer.concat([startup, ...steps, terminate]);
		for (const [at, value] of changes) {
			bytes[at % bytes.length] = value;
		}

		return bytes;
	});
	const cases: ReadonlyArray<readonly [string, fc.Arbitrary<Buffer>]> = [
		['random bytes', fc.uint8Array({maxLength: 300}).map(bytes => Buffer.from(bytes))],
		['random bytes behind a startup', fc.uint8Array({maxLength: 300}).map(bytes => Buffer.concat([startup, bytes]))],
		['mutated sessions', mutated],
	];
	for (const [name, arbitrary] of cases) {
		it(`survives ${name}; guards against crashes, leaks and answers that go to another caller`, async () => {
			const other = await scope.harness.connect();
			await fc.assert(fc.asyncProperty(arbitrary, async bytes => {
				const [, rows] = await Promise.all([exchangeBytes(scope.harness.port, bytes), rowsOf(other, 'SELECT $1', ['OTHER'])]);
				expect(rows).to.deep.equal(['OTHER']);
				await until(() => scope.harness.server.callerCount === 1);
				expect(scope.harness.fake.openUnits).to.equal(0);
			}), {seed, numRuns: 150});
			await other.end();
			await until(() => scope.harness.server.callerCount === 0);
		});
	}

	it('answers each statement of valid sessions with its own rows; guards against mixed answers', async () => {
		await fc.assert(fc.asyncProperty(fc.array(fc.tuple(marker, fc.boolean()), {minLength: 1, maxLength: 20}), async items => {
			const bytes = Buffer.concat([startup, ...items.map(([text, isSimple]) => isSimple ? queryFrame(`SELECT '${text}'`) : extendedFrames('', `SELECT '${text}'`, 'sync'))]);
			const frames = await framesUntilReady(scope.harness.port, bytes, items.length + 1);
			const rows = frames.filter(({type}) => type === backend.dataRow).map(({bytes: row}) => readDataRow(row)[0]);
			expect(rows).to.deep.equal(items.map(([text]) => text));
		}), {seed, numRuns: 50});
	});

	const close = buildFrame(frontend.close, Buffer.from('Sa\0'));
	const select = (name: string, end: 'sync' | 'flush' = 'sync'): Buffer => extendedFrames(name, 'SELECT \'v\'', end);
	const sequences: ReadonlyArray<readonly [string, readonly Buffer[], number, string]> = [
		['a named statement bound later', [select('a'), bindFrames('a'), sync], 2, '12TDCZ2TDCZ'],
		['an unnamed statement bound later', [select(''), bindFrames(''), sync], 2, '12TDCZ2TDCZ'],
		['a statement parsed twice in one exchange', [select('a').subarray(0, -5), select('a')], 1, '12TDC12TDCZ'],
		['Close and Parse of a name', [select('a'), close, extendedFrames('a', 'SELECT \'w\'', 'sync')], 2, '12TDCZ312TDCZ'],
		['another text for a name', [select('a'), extendedFrames('a', 'SELECT \'w\'', 'sync')], 2, '12TDCZEZ'],
		['an unknown name', [bindFrames('x'), sync, queryFrame('SELECT 1')], 2, 'EZTDCZ'],
		['an error before later messages', [extendedFrames('', 'SELECT fail()', 'sync').subarray(0, -5), select('a'), select('a')], 2, '12TEZ12TDCZ'],
		['a second statement named behind the first', [select('').subarray(0, -5), select('a')], 1, '12TDC12TDCZ'],
		['Flush inside a transaction', [queryFrame('BEGIN'), select('', 'flush'), sync], 2, 'CZ12TDCZ'],
		['Flush behind Execute outside one', [select('', 'flush'), select(''), queryFrame('SELECT 1')], 2, 'EZTDCZ'],
		['SET and SHOW', [extendedFrames('', 'SET crocusloom.rank = \'late\'', 'sync'), extendedFrames('', 'SHOW crocusloom.rank', 'sync')], 2, '12nCZ12TDCZ'],
		['Sync alone', [sync, sync], 2, 'ZZ'],
		['ROLLBACK outside a transaction', [queryFrame('ROLLBACK'), extendedFrames('', 'COMMIT', 'sync')], 2, 'NCZ12nNCZ'],
		['Query before Sync', [select('').subarray(0, -5), queryFrame('SELECT 1')], 1, 'E'],
	];
	for (const [name, parts, readyCount, expected] of sequences) {
		it(`answers ${name} with ${expected}; guards against answers that a driver cannot match to its requests`, async () => {
			const frames = await framesUntilReady(scope.harness.port, Buffer.concat([startup, ...parts]), readyCount + 1);
			expect(letters(frames).replaceAll('S', '')).to.equal(expected);
		});
	}
});
