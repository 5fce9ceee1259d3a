import {expect} from 'chai';
import {buildFrame, cString, frontendTypes} from '@crocusloom/wire';
import {HarnessScope} from './harness.js';
import {sendFrames, startupPacket} from './rawCaller.js';

/** A text that has a byte which is not UTF-8, as a message carries it. */
const invalidText = (prefix: string): Buffer => Buffer.concat([Buffer.from(prefix), Buffer.of(0xFF, 0)]);
const query = (text: Buffer): Buffer => buildFrame(frontendTypes.query, text);
const sync = buildFrame(frontendTypes.sync, Buffer.alloc(0));
const parse = (name: Buffer, text: Buffer): Buffer => buildFrame(frontendTypes.parse, Buffer.concat([name, text, Buffer.alloc(2)]));

/** Startup message with a user name that is not UTF-8. */
function invalidStartupPacket(): Buffer {
	const packet = startupPacket({user: 'desk', database: 'a?'});
	packet[packet.lastIndexOf('?')] = 0xFF;
	return packet;
}

describe('texts that are not UTF-8', () => {
	const scope = new HarnessScope();
	beforeEach(async () => {
		await scope.start();
	});
	afterEach(() => {
		scope.close();
	});

	const validStartup = startupPacket({user: 'desk', database: 'app'});
	const cases: ReadonlyArray<readonly [string, Buffer]> = [
		['a query', query(invalidText('INSERT INTO t VALUES (\'x\') -- '))],
		['an idempotency key', query(invalidText('SET crocusloom.idempotency_key = k'))],
		['the name of a statement', Buffer.concat([parse(invalidText('s'), cString('SELECT 1')), sync])],
		['the text of a statement', Buffer.concat([parse(cString('s'), invalidText('SELECT 1 -- ')), sync])],
		['the name of a portal', Buffer.concat([buildFrame(frontendTypes.execute, Buffer.concat([invalidText('p'), Buffer.alloc(4)])), sync])],
	];
	for (const [name, frames] of cases) {
		it(`refuses ${name} and keeps the session (guards against two texts that become the same one)`, async () => {
			const outcome = await sendFrames(scope.harness.port, validStartup, Buffer.concat([frames, query(cString('SELECT 1'))]), 3);
			expect(outcome).to.deep.equal({codes: ['22021'], ends: 3});
			expect(scope.harness.fakeBackend.executedStatements.map(({text}) => text)).to.deep.equal(['SELECT 1']);
		});
	}

	it('refuses a startup message (guards against the route of another database)', async () => {
		expect(await sendFrames(scope.harness.port, invalidStartupPacket(), Buffer.alloc(0), 1)).to.deep.equal({codes: ['22021'], ends: 0});
	});
});
