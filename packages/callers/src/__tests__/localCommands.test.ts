import {expect} from 'chai';
import fc from 'fast-check';
import {parseSync} from 'libpg-query';
import {loadClassifier} from '@crocusloom/wire';
import {parseLocalCommands, type LocalCommand} from '../localCommands.js';
import {HarnessScope, rejectionOf} from './harness.js';

const propertyOptions = {seed: 39, numRuns: 2000} as const;

/** Returns the name that PostgreSQL's parser reads in a single statement. */
function nameReadByPostgres(text: string): string | undefined {
	const {stmts} = parseSync(text) as {readonly stmts: ReadonlyArray<{readonly stmt: Readonly<Record<string, {readonly name?: string}>>}>};
	return Object.values(stmts[0]!.stmt)[0]!.name;
}

type ParsedConstant = {readonly A_Const?: {readonly sval?: {readonly sval?: string}}};
type ParsedSet = {readonly stmts: ReadonlyArray<{readonly stmt: {readonly VariableSetStmt?: {readonly args?: readonly ParsedConstant[]}}}>};

const nameOf = (command: LocalCommand | undefined): string | undefined => command && 'name' in command ? command.name : undefined;

describe('names in session statements', () => {
	before(async () => loadClassifier());

	const cases: ReadonlyArray<readonly [string, LocalCommand]> = [
		['DEALLOCATE MyStmt', {kind: 'deallocate', name: 'mystmt'}],
		['DEALLOCATE "MyStmt"', {kind: 'deallocate', name: 'MyStmt'}],
		['deallocate prepare "My""Stmt"', {kind: 'deallocate', name: 'My"Stmt'}],
		['DEALLOCATE "all"', {kind: 'deallocate', name: 'all'}],
		['DEALLOCATE ALL', {kind: 'deallocateAll'}],
		['DEALLOCATE prepare', {kind: 'deallocate', name: 'prepare'}],
		['DEALLOCATE ÜberStmt$1', {kind: 'deallocate', name: 'Überstmt$1'}],
		['DEALLOCATE "a;b"', {kind: 'deallocate', name: 'a;b'}],
		['SET "Search_Path" = a', {kind: 'set', name: 'search_path', value: 'a'}],
		['SET "my"."Option" TO \'x\'', {kind: 'set', name: 'my.option', value: 'x'}],
		['RESET "DateStyle"', {kind: 'reset', name: 'datestyle'}],
		['RESET "all"', {kind: 'reset', name: 'all'}],
		['SHOW "crocusloom"."rank"', {kind: 'show', name: 'crocusloom.rank'}],
		['SHOW Crocusloom.Rank', {kind: 'show', name: 'crocusloom.rank'}],
	];
	for (const [text, command] of cases) {
		it(`reads ${text} (guards against a command that acts on another name)`, () => {
			expect(parseLocalCommands(text, 1)).to.deep.equal([command]);
		});
	}

	const identifiers = fc.oneof(
		fc.string({minLength: 1, maxLength: 20, unit: fc.constantFrom('a', 'Z', '_', '$', '9', 'Ä', 'ſ', 'é')}).filter(name => !/^[$9]/v.test(name)),
		fc.string({minLength: 1, maxLength: 20, unit: fc.constantFrom('a', 'B', '"', ';', '.', ' ', '\'', '-', 'Ä', '$')}).map(name => `"${name.replaceAll('"', '""')}"`),
	);
	it('reads the name of any DEALLOCATE as the parser of PostgreSQL does (guards against a quoted name that loses its case)', () => {
		fc.assert(fc.property(identifiers, identifier => {
			const text = `DEALLOCATE ${identifier}`;
			let expected: string | undefined;
			try {
				expected = nameReadByPostgres(text);
			} catch {
				return;
			}

			const commands = parseLocalCommands(text, 1);
			expect(nameOf(commands?.[0])).to.equal(expected);
		}), propertyOptions);
	});

	it('reads the name of any SET as the parser of PostgreSQL does, apart from its case (guards against a quoted name that is refused)', () => {
		fc.assert(fc.property(fc.array(identifiers, {minLength: 1, maxLength: 3}), parts => {
			const text = `SET ${parts.join('.')} = 1`;
			let expected: string | undefined;
			try {
				expected = nameReadByPostgres(text);
			} catch {
				return;
			}

			const [command] = parseLocalCommands(text, 1)!;
			expect(nameOf(command)).to.equal(expected!.replaceAll(/[A-Z]/gv, letter => letter.toLowerCase()));
		}), propertyOptions);
	});
});

describe('values in SET', () => {
	before(async () => loadClassifier());

	const cases: ReadonlyArray<readonly [string, string, string | undefined]> = [
		['a.b', '\'O\'\'Hara, x\'', 'O\'Hara, x'],
		['a.b', '"Quoted Name"', 'Quoted Name'],
		['a.b', 'Word', 'word'],
		['a.b', '-1.5e+3', '-1.5e+3'],
		['a.b', String.raw`E'a\'b'`, undefined],
		['a.b', String.raw`U&'\0041'`, undefined],
		['a.b', '$$a$$', undefined],
		['a.b', '\'a\'\n\'b\'', undefined],
		['search_path', '\'a, b\'', '"a, b"'],
		['search_path', '"A", b', '"A", b'],
		['search_path', '"A"', '"A"'],
		['temp_tablespaces', '\'A\'', '"A"'],
		['datestyle', '\'ISO, DMY\'', 'ISO, DMY'],
	];
	for (const [name, value, expected] of cases) {
		it(`reads ${JSON.stringify(value)} of ${name} (guards against a value that is applied as another)`, () => {
			expect(parseLocalCommands(`SET ${name} = ${value}`, 1)).to.deep.equal(expected === undefined ? undefined : [{kind: 'set', name, value: expected}]);
		});
	}

	it('reads a single value as the parser of PostgreSQL does, or refuses it (guards against a value that is applied as another)', () => {
		const pieces = fc.array(fc.constantFrom('\'', '\'\'', '"', 'E\'', 'U&\'', '$$', '\\', 'a', 'B', '1', ' ', '\n', '.', 'é', '-- x', '/*', '*/'), {minLength: 1, maxLength: 8});
		let readCount = 0;
		fc.assert(fc.property(pieces, texts => {
			const text = `SET a.b = ${texts.join('')}`;
			let expected: unknown;
			try {
				const {stmts} = parseSync(text) as ParsedSet;
				expected = stmts.length === 1 ? stmts[0]!.stmt.VariableSetStmt?.args?.[0]?.A_Const?.sval?.sval : undefined;
			} catch {}

			const [command] = expected === undefined ? [] : parseLocalCommands(text, 1) ?? [];
			if (command?.kind === 'set') {
				readCount++;
				expect(command.value).to.equal(expected);
			}
		}), {seed: 39, numRuns: 20_000});
		expect(readCount).to.be.above(500);
	});
});

describe('DEALLOCATE of a quoted name', () => {
	const scope = new HarnessScope();
	beforeEach(async () => {
		await scope.start();
	});
	afterEach(() => {
		scope.close();
	});

	it('drops the named statement only (guards against the loss of another statement of the session)', async () => {
		const client = await scope.harness.connect();
		await client.query({name: 'mystmt', text: 'SELECT $1 /* lower */', values: ['a']});
		await client.query({name: 'MyStmt', text: 'SELECT $1 /* mixed */', values: ['a']});
		await client.query('DEALLOCATE "MyStmt"');
		const {rows} = await client.query({name: 'mystmt', text: 'SELECT $1 /* lower */', values: ['b']});
		expect(rows).to.deep.equal([{value: 'b'}]);
		const error = await rejectionOf(client.query({name: 'MyStmt', text: 'SELECT $1 /* mixed */', values: ['b']}));
		expect(error.code).to.equal('26000');
	});
});
