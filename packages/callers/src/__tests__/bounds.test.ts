import {expect} from 'chai';
import {buildFrame, cString, frontendTypes} from '@crocusloom/wire';
import {HarnessScope} from './harness.js';
import {queryFrame, sendFrames, startupPacket} from './rawCaller.js';

const kibibyte = 1024;
const sync = buildFrame(frontendTypes.sync, Buffer.alloc(0));
const startup = startupPacket({user: 'desk', database: 'app'});
const parse = (name: string, text: string): Buffer => buildFrame(frontendTypes.parse, Buffer.concat([cString(name), cString(text), Buffer.alloc(2)]));
const bind = (portal: string, name: string): Buffer => buildFrame(frontendTypes.bind, Buffer.concat([cString(portal), cString(name), Buffer.alloc(6)]));
const describePortal = buildFrame(frontendTypes.describe, Buffer.from('P\0'));
const longText = (length: number, end = ''): string => `SELECT 1 /* ${'x'.repeat(length)} ${end}*/`;
const repeat = (count: number, build: (index: number) => Buffer): Buffer => Buffer.concat(Array.from({length: count}, (_, index) => build(index)));

type BoundCase = {
	readonly name: string;
	readonly guards: string;
	/** Exchanges of the caller; only the last one is refused. */
	readonly exchanges: readonly Buffer[];
	/** True if the refusal ends the connection, as that of too many bytes does. */
	readonly endsConnection?: boolean;
};

const cases: readonly BoundCase[] = [
	{
		name: 'an exchange that grows when its statements are parsed in place',
		guards: 'a small exchange that takes all memory of the host',
		exchanges: [
			queryFrame('SET search_path = a'),
			Buffer.concat([parse('s', longText(60 * kibibyte, 's')), parse('t', longText(60 * kibibyte, 't')), sync]),
			Buffer.concat([repeat(200, index => bind('', index % 2 === 0 ? 's' : 't')), sync]),
		],
	},
	{
		name: 'an exchange of very many small messages',
		guards: 'messages whose objects take many times the bytes that were sent',
		exchanges: [Buffer.concat([repeat(100_001, () => describePortal), sync])],
		endsConnection: true,
	},
	{
		name: 'a long name of a statement',
		guards: 'names that count towards no limit',
		exchanges: [Buffer.concat([parse('n'.repeat(2 * kibibyte), 'SELECT 1'), sync])],
	},
	{
		name: 'a long name of a portal',
		guards: 'names that count towards no limit',
		exchanges: [queryFrame('BEGIN'), Buffer.concat([parse('', 'SELECT 1'), bind('n'.repeat(2 * kibibyte), ''), sync])],
	},
	{
		name: 'a long name of a parameter',
		guards: 'names that count towards no limit',
		exchanges: [queryFrame(`SET ${'n'.repeat(2 * kibibyte)} = 'x'`)],
	},
	{
		name: 'portals of many long unnamed statements',
		guards: 'texts that a transaction keeps without a limit',
		exchanges: [queryFrame('BEGIN'), ...Array.from({length: 9}, (_, index) => Buffer.concat([parse('', longText(500 * kibibyte, String(index))), bind(`p${index}`, ''), sync]))],
	},
];

describe('names that the proxy reserves', () => {
	const scope = new HarnessScope();
	beforeEach(async () => {
		await scope.start();
	});
	afterEach(() => {
		scope.close();
	});

	it('refuses a portal with the name of the one that applies parameters (guards against a portal of the caller that is in its way)', async () => {
		const frames = Buffer.concat([
			queryFrame('BEGIN'), Buffer.concat([parse('', 'SELECT 1'), bind('crocusloom_parameters', ''), sync]),
		]);
		expect(await sendFrames(scope.harness.port, startup, frames, 3)).to.deep.equal({codes: ['0A000'], ends: 3});
	});
});

describe('bounds of one caller', () => {
	const scope = new HarnessScope();
	afterEach(() => {
		scope.close();
	});

	for (const {name, guards, exchanges, endsConnection = false} of cases) {
		it(`refuses ${name} (guards against ${guards})`, async () => {
			await scope.start({limits: {maximumExchangeBytes: 2 * kibibyte * kibibyte}});
			const outcome = await sendFrames(scope.harness.port, startup, Buffer.concat(exchanges), exchanges.length + 1);
			expect(outcome).to.deep.equal({codes: ['54000'], ends: exchanges.length + (endsConnection ? 0 : 1)});
		});
	}
});
