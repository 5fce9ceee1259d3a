/**
 * Mocha root hooks that skip exactly the tests that KNOWN-RED.txt lists, and print them. An entry of the file begins with
 * a line `test: ` and the full title.
 */
import {existsSync, readFileSync} from 'node:fs';

const file = new URL('../../../KNOWN-RED.txt', import.meta.url);

/** Full titles that a text lists. */
export function listedTitles(text: string): ReadonlySet<string> {
	const lines = text.split('\n').filter(line => line.startsWith('test: '));
	return new Set(lines.map(line => line.slice('test: '.length).trim()));
}

const titles = listedTitles(existsSync(file) ? readFileSync(file, 'utf8') : '');

export const mochaHooks = {
	beforeEach(this: Mocha.Context) {
		const title = this.currentTest?.fullTitle() ?? '';
		if (titles.has(title)) {
			console.log(`KNOWN-RED.txt lists this test: ${title}`);
			this.skip();
		}
	},
};
