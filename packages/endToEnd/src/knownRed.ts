/**
 * Mocha root hooks that skip and print the tests listed in KNOWN-RED.txt, and no others. In that file a line that begins
 * with `test: ` holds the full title of a test.
 */
import {existsSync, readFileSync} from 'node:fs';

const listFileUrl = new URL('../../../KNOWN-RED.txt', import.meta.url);

/** Returns the full titles of the tests that the text of KNOWN-RED.txt lists. */
export function parseListedTitles(text: string): ReadonlySet<string> {
	const lines = text.split('\n').filter(line => line.startsWith('test: '));
	return new Set(lines.map(line => line.slice('test: '.length).trim()));
}

const skippedTitles = parseListedTitles(existsSync(listFileUrl) ? readFileSync(listFileUrl, 'utf8') : '');

export const mochaHooks = {
	beforeEach(this: Mocha.Context) {
		const title = this.currentTest?.fullTitle() ?? '';
		if (skippedTitles.has(title)) {
			console.log(`KNOWN-RED.txt lists this test: ${title}`);
			this.skip();
		}
	},
};
