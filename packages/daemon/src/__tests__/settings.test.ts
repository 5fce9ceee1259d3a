import {assert} from 'chai';
import {formatProblem, parseSettings} from '../settings.js';

const minimalSettings = `
[host]
name=bryan-1
deployment=brazos
failureDomain=bryan
[platform]
url=http://127.0.0.1:2379
`;

type Case = {
	/** Failure that the case guards against, for the test title. */
	readonly guards: string;
	readonly text: string;
	readonly problems: readonly string[];
};

const cases: readonly Case[] = [
	{guards: 'a file with only the required keys being refused', text: minimalSettings, problems: []},
	{
		guards: 'a misspelt key being ignored',
		text: `${minimalSettings}[callers]\nprot=1\n`,
		problems: ['s.ini: [callers] prot: unknown key'],
	},
	{
		guards: 'only the first of several problems being shown',
		text: '[host]\nname=a\ndeployment=b\n[platform]\nurl=x\n[wrong]\na=1\n',
		problems: [
			's.ini: [host] failureDomain: Invalid input: expected string, received undefined',
			's.ini: [platform] url: Invalid URL',
			's.ini: [wrong]: unknown section',
		],
	},
	{
		guards: 'TLS being off although a certificate is set',
		text: `${minimalSettings}[callers]\ntlsCertificateFile=a.pem\n`,
		problems: ['s.ini: [callers] tlsKeyFile: tlsCertificateFile and tlsKeyFile must be set together'],
	},
	{
		guards: 'a seed without a port being accepted',
		text: `${minimalSettings}[peers]\nseeds=127.0.0.1:1, 127.0.0.1\n`,
		problems: ['s.ini: [peers] seeds.1: must be address:port'],
	},
];

describe('settings', () => {
	for (const {guards, text, problems} of cases) {
		it(`guards against ${guards}`, () => {
			const result = parseSettings('s.ini', text);
			const lines = result.kind === 'valid' ? [] : result.problems.map(problem => formatProblem(result.file, problem));
			assert.deepEqual(lines, [...problems]);
		});
	}

	it('guards against users and seeds missing from the parsed settings', () => {
		const result = parseSettings('s.ini', `${minimalSettings}[users]\nbookings=secret\n[peers]\nseeds=127.0.0.1:1,127.0.0.1:2\n`);
		assert.deepInclude(result.kind === 'valid' && result.settings.users, {bookings: 'secret'});
		assert.deepEqual(result.kind === 'valid' && result.settings.peers.seeds, ['127.0.0.1:1', '127.0.0.1:2']);
	});
});
