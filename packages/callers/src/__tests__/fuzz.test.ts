import {connect, type Socket} from 'node:net';
import {expect} from 'chai';
import fc from 'fast-check';
import {
	backendTypes, buildFrame, FrameReader, frontendTypes, readDataRow, type Frame,
} from '@crocusloom/wire';
import {HarnessScope, queryFirstColumn, waitUntil} from './harness.js';
import {
	bindFrames, extendedFrames, queryFrame, startupPacket,
} from './rawCaller.js';

const seed = 20_261_204;
const startupMessage = startupPacket({user: 'desk', database: 'app'});
const syncFrame = buildFrame(frontendTypes.sync, Buffer.alloc(0));
const terminateFrame = buildFrame(frontendTypes.terminate, Buffer.alloc(0));

/** Sends bytes and returns everything received until the server closes the connection. */
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

/** Sends bytes without ending the connection and returns the frames received up to the given number of ReadyForQuery. */
async function framesUntilReady(port: number, bytes: Buffer, readyCount: number): Promise<readonly Frame[]> {
	const socket = connect(port, '127.0.0.1');
	const reader = new FrameReader('test');
	const frames: Frame[] = [];
	socket.on('data', part => {
		frames.push(...reader.push(part));
	});
	socket.write(bytes);
	await waitUntil(() => frames.filter(({type}) => type === backendTypes.readyForQuery).length >= readyCount || socket.destroyed);
	socket.destroy();
	return frames;
}

/** Returns the type letters of the frames after the ReadyForQuery that ends startup. */
const messageTypes = (frames: readonly Frame[]): string => frames.map(({type}) => String.fromCodePoint(type)).join('').replace(/^.*?Z/v, '');

describe('arbitrary input', () => {
	const scope = new HarnessScope();
	before(async () => {
		await scope.start({limits: {startupTimeoutMs: 500}});
	});
	after(() => {
		scope.close();
	});

	const marker = fc.string({unit: fc.constantFrom(...'abcdefgh'), minLength: 1, maxLength: 8});
	const messageBytes = fc.oneof(
		marker.map(text => queryFrame(`SELECT '${text}'`)),
		marker.map(text => queryFrame(`INSERT INTO t VALUES ('${text}')`)),
		fc.constantFrom('BEGIN', 'COMMIT', 'ROLLBACK', 'SELECT fail()', 'SET search_path = a', 'COPY t FROM STDIN', '').map(text => queryFrame(text)),
		fc.tuple(fc.constantFrom('', 'a', 'b'), marker, fc.constantFrom('sync', 'flush')).map(([name, text, end]) => extendedFrames(name, `SELECT '${text}'`, end)),
		fc.constantFrom('', 'a', 'c').map(name => Buffer.concat([bindFrames(name), syncFrame])),
		fc.constant(syncFrame),
	);
	const mutatedSession = fc.tuple(fc.array(messageBytes, {maxLength: 12}), fc.array(fc.tuple(fc.nat(), fc.nat(255)), {maxLength: 6})).map(([steps, changes]) => {
		const bytes = Buffer.concat([startupMessage, ...steps, terminateFrame]);
		for (const [at, value] of changes) {
			bytes[at % bytes.length] = value;
		}

		return bytes;
	});
	const cases: ReadonlyArray<readonly [string, fc.Arbitrary<Buffer>]> = [
		['random bytes', fc.uint8Array({maxLength: 300}).map(bytes => Buffer.from(bytes))],
		['random bytes after startup', fc.uint8Array({maxLength: 300}).map(bytes => Buffer.concat([startupMessage, bytes]))],
		['mutated sessions', mutatedSession],
	];
	for (const [name, arbitrary] of cases) {
		it(`handles ${name}; guards against crashes, units of work that are never released and responses sent to another caller`, async () => {
			const otherClient = await scope.harness.connect();
			await fc.assert(fc.asyncProperty(arbitrary, async bytes => {
				const [, rows] = await Promise.all([exchangeBytes(scope.harness.port, bytes), queryFirstColumn(otherClient, 'SELECT $1', ['OTHER'])]);
				expect(rows).to.deep.equal(['OTHER']);
				await waitUntil(() => scope.harness.server.callerCount === 1);
				expect(scope.harness.fakeBackend.openUnitCount).to.equal(0);
			}), {seed, numRuns: 150});
			await otherClient.end();
			await waitUntil(() => scope.harness.server.callerCount === 0);
		});
	}

	it('returns the rows of each statement of valid sessions in order; guards against mixed responses', async () => {
		await fc.assert(fc.asyncProperty(fc.array(fc.tuple(marker, fc.boolean()), {minLength: 1, maxLength: 20}), async items => {
			const bytes = Buffer.concat([startupMessage, ...items.map(([text, isSimple]) => isSimple ? queryFrame(`SELECT '${text}'`) : extendedFrames('', `SELECT '${text}'`, 'sync'))]);
			const frames = await framesUntilReady(scope.harness.port, bytes, items.length + 1);
			const rows = frames.filter(({type}) => type === backendTypes.dataRow).map(({bytes: row}) => readDataRow(row)[0]);
			expect(rows).to.deep.equal(items.map(([text]) => text));
		}), {seed, numRuns: 50});
	});

	const closeFrame = buildFrame(frontendTypes.close, Buffer.from('Sa\0'));
	const selectFrames = (name: string, end: 'sync' | 'flush' = 'sync'): Buffer => extendedFrames(name, 'SELECT \'v\'', end);
	const sequences: ReadonlyArray<readonly [string, readonly Buffer[], number, string]> = [
		['a named statement bound later', [selectFrames('a'), bindFrames('a'), syncFrame], 2, '12TDCZ2TDCZ'],
		['an unnamed statement bound later', [selectFrames(''), bindFrames(''), syncFrame], 2, '12TDCZ2TDCZ'],
		['a statement parsed twice in one exchange', [selectFrames('a').subarray(0, -5), selectFrames('a')], 1, '12TDC12TDCZ'],
		['Close and Parse of the same name', [selectFrames('a'), closeFrame, extendedFrames('a', 'SELECT \'w\'', 'sync')], 2, '12TDCZ312TDCZ'],
		['another text for an existing name', [selectFrames('a'), extendedFrames('a', 'SELECT \'w\'', 'sync')], 2, '12TDCZEZ'],
		['an unknown statement name', [bindFrames('x'), syncFrame, queryFrame('SELECT 1')], 2, 'EZTDCZ'],
		['an error before later messages', [extendedFrames('', 'SELECT fail()', 'sync').subarray(0, -5), selectFrames('a'), selectFrames('a')], 2, '12TEZ12TDCZ'],
		['an unnamed and a named statement in one exchange', [selectFrames('').subarray(0, -5), selectFrames('a')], 1, '12TDC12TDCZ'],
		['Flush inside a transaction', [queryFrame('BEGIN'), selectFrames('', 'flush'), syncFrame], 2, 'CZ12TDCZ'],
		['Flush after Execute outside a transaction', [selectFrames('', 'flush'), selectFrames(''), queryFrame('SELECT 1')], 2, 'EZTDCZ'],
		['SET and SHOW', [extendedFrames('', 'SET crocusloom.rank = \'late\'', 'sync'), extendedFrames('', 'SHOW crocusloom.rank', 'sync')], 2, '12nCZ12TDCZ'],
		['Sync alone', [syncFrame, syncFrame], 2, 'ZZ'],
		['ROLLBACK outside a transaction', [queryFrame('ROLLBACK'), extendedFrames('', 'COMMIT', 'sync')], 2, 'NCZ12nNCZ'],
		['Query before Sync', [selectFrames('').subarray(0, -5), queryFrame('SELECT 1')], 1, 'E'],
	];
	for (const [name, parts, readyCount, expected] of sequences) {
		it(`responds to ${name} with ${expected}; guards against responses that a driver cannot match to its requests`, async () => {
			const frames = await framesUntilReady(scope.harness.port, Buffer.concat([startupMessage, ...parts]), readyCount + 1);
			expect(messageTypes(frames).replaceAll('S', '')).to.equal(expected);
		});
	}
});
