import {expect} from 'chai';
import {SessionSettings, reportedParameterValues} from '../settings.js';
import {fakeConfiguration} from './fakeBackend.js';

/** Sets one parameter to several values, one after the other. Returns the value that is applied on backend connections; undefined stands for their default. */
function appliedValue(name: string, values: readonly string[]): string | undefined {
	const settings = new SessionSettings('caller');
	for (const value of values) {
		settings.set(name, value, fakeConfiguration);
	}

	return settings.serverParameters.get(name);
}

describe('values of server parameters', () => {
	const cases: ReadonlyArray<readonly [string, readonly string[], string | undefined]> = [
		['datestyle', ['ISO'], undefined],
		['datestyle', ['ISO, MDY'], undefined],
		['datestyle', ['"iso"'], undefined],
		['datestyle', ['US'], undefined],
		['datestyle', ['SQL, DMY', 'ISO'], 'ISO, DMY'],
		['datestyle', ['SQL, DMY', 'ISO, MDY'], undefined],
		['datestyle', ['SQL, DMY', 'DEFAULT'], undefined],
		['datestyle', ['SQL, DMY', 'MDY'], 'SQL, MDY'],
		['datestyle', ['SQL', 'DMY'], 'SQL, DMY'],
		['datestyle', ['"SQL", "European"'], 'SQL, DMY'],
		['datestyle', ['postgresql, noneuropean'], 'Postgres, MDY'],
		['datestyle', ['YMD', 'German'], 'German, DMY'],
		['datestyle', ['MDY, German'], 'German, MDY'],
		['datestyle', ['German, YMD'], 'German, YMD'],
		['datestyle', ['SQL, DMY', ''], 'SQL, DMY'],
		['extra_float_digits', ['3'], undefined],
		['extra_float_digits', ['1'], undefined],
		['extra_float_digits', ['0'], '0'],
		['extra_float_digits', ['0', '2'], undefined],
		['search_path', ['"$user", public'], undefined],
		['search_path', ['public'], 'public'],
		['search_path', ['a', '"$user",public'], undefined],
		['bytea_output', ['escape', 'hex'], undefined],
		['timezone', ['Europe/Berlin', 'UTC'], undefined],
	];
	for (const [name, values, expected] of cases) {
		it(`applies ${expected ?? 'the default'} after ${name} was set to ${values.join(' and then ')} (guards against a value that is dropped although it changes results)`, () => {
			expect(appliedValue(name, values)).to.equal(expected);
		});
	}

	for (const value of ['ISO, SQL', 'DMY, MDY', 'swiss', 'ISO,']) {
		it(`refuses DateStyle "${value}" and keeps the previous one (guards against a session whose statements all fail later)`, () => {
			const settings = new SessionSettings('caller');
			settings.set('datestyle', 'SQL, DMY', fakeConfiguration);
			expect(() => {
				settings.set('datestyle', value, fakeConfiguration);
			}).to.throw().with.nested.property('failure.sqlState', '22023');
			expect(settings.serverParameters.get('datestyle')).to.equal('SQL, DMY');
		});
	}

	for (const name of ['constructor', '__proto__', 'valueof']) {
		it(`keeps the parameter ${name} as any other (guards against an internal error for the name of a property that every object has)`, () => {
			expect(appliedValue(name, ['x'])).to.equal('x');
		});
	}

	it('refuses standard_conforming_strings = off in a startup message (guards against texts that the proxy and the server read by different rules)', () => {
		expect(() => {
			new SessionSettings('caller').set('standard_conforming_strings', 'off', fakeConfiguration);
		}).to.throw().with.nested.property('failure.sqlState', '22023');
	});

	it('reports the DateStyle with its order (guards against a driver that reads dates in another order)', () => {
		const settings = new SessionSettings('caller');
		settings.set('datestyle', 'DMY', fakeConfiguration);
		expect(new Map(reportedParameterValues(settings)).get('DateStyle')).to.equal('ISO, DMY');
	});
});
