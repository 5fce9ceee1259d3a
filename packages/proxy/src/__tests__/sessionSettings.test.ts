import {expect} from 'chai';
import {maximumSessionTextBytes, nameOverheadBytes, SessionSettings} from '../sessions/sessionSettings.js';
import {SessionTextBudget} from '../sessions/sessionTextBudget.js';
import {prepareStatement} from '../statements/statement.js';

const lineBytes = 1024 * 1024;
const name = 'n';
const entryBytes = name.length + nameOverheadBytes;
/** The longest text that a session keeps under the name. */
const longestText = 'x'.repeat(maximumSessionTextBytes - entryBytes);

const kinds = [
	{kind: 'a value', keep: (settings: SessionSettings, key: string, text: string) => settings.set(key, text)},
	{kind: 'a shape', keep: (settings: SessionSettings, key: string, text: string) => settings.prepare(key, prepareStatement({mode: 'read', shape: text}))},
] as const;

describe('session settings', () => {
	for (const {kind, keep} of kinds) {
		it(`keeps ${kind} of a whole line (guards against statements that are refused although the wire allows them)`, () => {
			const settings = new SessionSettings(new SessionTextBudget());
			expect(keep(settings, name, 'x'.repeat(lineBytes))).to.equal(undefined);
		});

		it(`keeps ${kind} up to the limit of a session and refuses one byte more (guards against limits that are off by one)`, () => {
			const budget = new SessionTextBudget();
			const settings = new SessionSettings(budget);
			expect(keep(settings, name, `${longestText}x`)?.kind).to.equal('malformed');
			expect(budget.usedBytes).to.equal(0);
			expect(keep(settings, name, longestText)).to.equal(undefined);
			expect(budget.usedBytes).to.equal(maximumSessionTextBytes);
			expect(keep(settings, 'm', '')?.kind).to.equal('malformed');
		});

		it(`counts ${kind} that replaces another one in its place (guards against a limit that is reached by replacements)`, () => {
			const budget = new SessionTextBudget();
			const settings = new SessionSettings(budget);
			for (const text of [longestText, longestText.replaceAll('x', 'y'), 'short']) {
				expect(keep(settings, name, text)).to.equal(undefined);
			}

			expect(budget.usedBytes).to.equal(entryBytes + 'short'.length);
		});

		it(`refuses ${kind} as overloaded if all sessions together keep too much, and keeps the one before (guards against lost texts that were acknowledged)`, () => {
			const budget = new SessionTextBudget(1000);
			const [settings, other] = [new SessionSettings(budget), new SessionSettings(budget)];
			expect(keep(settings, name, 'before')).to.equal(undefined);
			expect(keep(other, name, 'x'.repeat(700))).to.equal(undefined);
			const {usedBytes} = budget;
			expect(keep(settings, name, 'x'.repeat(500))?.kind).to.equal('overloaded');
			expect(budget.usedBytes).to.equal(usedBytes);
			expect(settings.parameters.get(name) ?? settings.preparedStatement(name)?.shape).to.equal('before');
			other.release();
			expect(keep(settings, name, 'x'.repeat(500))).to.equal(undefined);
		});
	}

	it('returns the size of a deallocated statement and of an ended session (guards against a budget that shrinks)', () => {
		const budget = new SessionTextBudget();
		const settings = new SessionSettings(budget);
		settings.prepare('s', prepareStatement({mode: 'read', shape: 'q'}));
		settings.set('v', 'w');
		settings.deallocate('s');
		expect(settings.deallocate('s')).to.equal(false);
		expect(budget.usedBytes).to.equal(2 + nameOverheadBytes);
		settings.release();
		settings.release();
		expect(budget.usedBytes).to.equal(0);
	});

	it('does not change the parameters that connections hold (guards against connections with the values of another time)', () => {
		const settings = new SessionSettings(new SessionTextBudget());
		settings.set('a', '1');
		const {parameters} = settings;
		settings.set('a', '2');
		settings.release();
		expect([...parameters]).to.deep.equal([['a', '1']]);
	});

	it('returns the same parameters until a value changes (guards against a copy of all values for each statement)', () => {
		const settings = new SessionSettings(new SessionTextBudget());
		settings.set('a', '1');
		settings.set('b', '1');
		const {parameters} = settings;
		settings.set('a', '1');
		expect(settings.parameters).to.equal(parameters);
		settings.set('a', '2');
		expect([...settings.parameters]).to.deep.equal([['a', '2'], ['b', '1']]);
	});

	it('returns the size of a text that is kept after the end of the session (guards against a budget that shrinks)', () => {
		const budget = new SessionTextBudget();
		const settings = new SessionSettings(budget);
		settings.release();
		settings.set('a', '1');
		settings.release();
		expect(budget.usedBytes).to.equal(0);
	});
});
