import {expect} from 'chai';
import fc from 'fast-check';
import type pg from 'pg';
import {type TransactionCommand} from '@crocusloom/wire';
import {TransactionParameters} from '../transactionParameters.js';
import {HarnessScope, queryFirstColumn} from './harness.js';

const propertyOptions = {seed: 39, numRuns: 150} as const;

/** Values of session parameters as PostgreSQL keeps them: every value set in a transaction is taken back with it, or with the savepoint. */
class ParameterModel {
	private values: ReadonlyMap<string, string> = new Map();
	private valuesBefore: ReadonlyMap<string, string> | undefined;
	private savepoints: Array<{readonly name: string; readonly values: ReadonlyMap<string, string>}> = [];
	private isFailed = false;

	private readonly handlers: Readonly<Record<string, (words: readonly string[]) => void>> = {
		begin: () => {
			this.valuesBefore ??= this.values;
		},
		set: words => {
			this.values = new Map([...this.values, [words[1]!, words[3]!.replaceAll('\'', '')]]);
		},
		reset: words => {
			this.values = new Map([...this.values].filter(([name]) => name !== words[1]));
		},
		savepoint: words => {
			this.savepoints.push({name: words[1]!, values: this.values});
		},
		release: words => {
			this.savepoints.length = this.find(words[1]!);
		},
		rollback: words => {
			if (words[1] === 'to') {
				this.savepoints.length = this.find(words[2]!) + 1;
				this.values = this.savepoints.at(-1)!.values;
				this.isFailed = false;
			} else {
				this.end(words, true);
			}
		},
		commit: words => {
			this.end(words, this.isFailed || words.includes('/*deferred*/'));
		},
		select: words => {
			this.isFailed ||= words[1] === 'fail()' && this.valuesBefore !== undefined;
		},
	};

	get isReadable(): boolean {
		return !this.isFailed;
	}

	/** Returns whether the statement can be run in this state without an error that this model does not know. */
	accepts(text: string): boolean {
		const words = text.split(' ');
		const isOpen = this.valuesBefore !== undefined;
		const savepoint = words[0] === 'release' ? words[1] : words[1] === 'to' && words[2];
		const isKnown = savepoint === false || savepoint === undefined || this.savepoints.some(({name}) => name === savepoint);
		const endsTransaction = words[0] === 'commit' || words[0] === 'rollback';
		const needsTransaction = endsTransaction || words[0] === 'savepoint' || words[0] === 'release';
		return isKnown && (isOpen ? words[0] !== 'begin' : !needsTransaction) && (!this.isFailed || endsTransaction);
	}

	run(text: string): void {
		const words = text.split(' ');
		this.handlers[words[0]!]!(words);
	}

	get(name: string): string {
		return this.values.get(name) ?? 'default';
	}

	private find(name: string): number {
		return this.savepoints.findLastIndex(savepoint => savepoint.name === name);
	}

	private end(words: readonly string[], isRolledBack: boolean): void {
		this.values = isRolledBack ? this.valuesBefore! : this.values;
		this.valuesBefore = words.includes('chain') ? this.values : undefined;
		this.savepoints = [];
		this.isFailed = false;
	}
}

const statements = fc.oneof(
	{weight: 4, arbitrary: fc.tuple(fc.constantFrom('pa', 'pb'), fc.constantFrom('1', '2', '3')).map(([name, value]) => `set ${name} = '${value}'`)},
	{weight: 2, arbitrary: fc.constantFrom('reset pa', 'reset pb')},
	{weight: 2, arbitrary: fc.constant('begin')},
	{weight: 3, arbitrary: fc.constantFrom('savepoint s', 'savepoint t')},
	{weight: 3, arbitrary: fc.constantFrom('rollback to s', 'rollback to t', 'release s', 'release t')},
	{weight: 1, arbitrary: fc.constantFrom('commit', 'rollback', 'commit and chain', 'rollback and chain', 'commit /*deferred*/')},
	{weight: 1, arbitrary: fc.constant('select fail()')},
);

async function runText(client: pg.Client, text: string, isExtended: boolean): Promise<void> {
	const isErrorExpected = text === 'select fail()' || text.includes('deferred');
	try {
		await client.query(isExtended ? {text, name: text, values: []} : {text});
	} catch (error) {
		if (!isErrorExpected) {
			throw error;
		}
	}
}

async function valueOf(client: pg.Client, name: string): Promise<unknown> {
	const [value] = await queryFirstColumn(client, `SELECT current_setting('${name}')`);
	return value;
}

describe('session parameters and transactions', () => {
	const scope = new HarnessScope();
	beforeEach(async () => {
		await scope.start();
	});
	afterEach(() => {
		scope.close();
	});

	const cases: ReadonlyArray<readonly [string, readonly string[], string]> = [
		['ROLLBACK TO a savepoint before SET', ['begin', 'savepoint s', 'set pa = \'2\'', 'rollback to s'], 'default'],
		['ROLLBACK TO after the value was used', ['set pa = \'1\'', 'begin', 'savepoint s', 'set pa = \'2\'', 'select 1', 'rollback to s'], '1'],
		['ROLLBACK TO and COMMIT', ['begin', 'savepoint s', 'set pa = \'2\'', 'select 1', 'rollback to s', 'commit'], 'default'],
		['ROLLBACK TO after an error', ['begin', 'savepoint s', 'set pa = \'2\'', 'select fail()', 'rollback to s'], 'default'],
		['RELEASE', ['begin', 'savepoint s', 'set pa = \'2\'', 'release s', 'commit'], '2'],
		['RESET in a transaction that used the value', ['set pa = \'1\'', 'begin', 'select 1', 'reset pa'], 'default'],
		['RESET in a transaction that is rolled back', ['set pa = \'1\'', 'begin', 'reset pa', 'select 1', 'rollback'], '1'],
		['COMMIT of a failed transaction', ['begin', 'set pa = \'2\'', 'select fail()', 'commit'], 'default'],
		['COMMIT that fails', ['begin', 'set pa = \'2\'', 'commit /*deferred*/'], 'default'],
		['ROLLBACK AND CHAIN', ['set pa = \'1\'', 'begin', 'set pa = \'2\'', 'select 1', 'rollback and chain'], '1'],
		['COMMIT AND CHAIN, then ROLLBACK', ['begin', 'set pa = \'2\'', 'commit and chain', 'select 1', 'rollback'], '2'],
		['SET LOCAL before a SET of another parameter', ['set pa = \'1\'', 'begin', 'set local pa = \'5\'', 'set pb = \'2\'', 'select 1'], '5'],
		['SET LOCAL before ROLLBACK TO', ['set pa = \'1\'', 'begin', 'set local pa = \'5\'', 'savepoint s', 'select 1', 'rollback to s'], '5'],
	];
	for (const [name, texts, expected] of cases) {
		for (const isExtended of [false, true]) {
			it(`has the value of PostgreSQL after ${name}, ${isExtended ? 'extended' : 'simple'} protocol (guards against a value that should have been taken back or was)`, async () => {
				const client = await scope.harness.connect();
				for (const text of texts) {
					await runText(client, text, isExtended);
				}

				expect(await valueOf(client, 'pa')).to.equal(expected);
			});
		}
	}

	it('takes back application_name with its transaction (guards against work that is routed by a name that was taken back)', async () => {
		const client = await scope.harness.connect();
		for (const text of ['begin', 'set application_name = \'board\'', 'rollback', 'select 1']) {
			await client.query(text);
		}

		expect(scope.harness.fakeBackend.intents.at(-1)!.group).to.equal('g1');
	});

	it('has the values of PostgreSQL after any order of SET, RESET, savepoints and transactions (guards against a value that should have been taken back or was)', async function () {
		this.timeout(120_000);
		await fc.assert(fc.asyncProperty(fc.array(fc.tuple(statements, fc.boolean(), fc.boolean()), {maxLength: 25}), async steps => {
			const client = await scope.harness.connect();
			const model = new ParameterModel();
			for (const [text, isExtended, isRead] of steps) {
				if (!model.accepts(text)) {
					continue;
				}

				model.run(text);
				await runText(client, text, isExtended);
				if (isRead && model.isReadable) {
					expect([await valueOf(client, 'pa'), await valueOf(client, 'pb')]).to.deep.equal([model.get('pa'), model.get('pb')]);
				}
			}

			await client.end();
		}), propertyOptions);
	});
});

describe('RESET to the values of the startup message', () => {
	const scope = new HarnessScope();
	beforeEach(async () => {
		await scope.start();
	});
	afterEach(() => {
		scope.close();
	});

	const cases: ReadonlyArray<readonly [string, readonly string[], string]> = [
		['RESET', ['set pa = \'2\'', 'reset pa'], '1'],
		['RESET ALL', ['set pa = \'2\'', 'reset all'], '1'],
		['DISCARD ALL', ['set pa = \'2\'', 'discard all'], '1'],
		['SET TO DEFAULT', ['set pa = \'2\'', 'set pa to default'], '1'],
		['RESET in a transaction', ['set pa = \'2\'', 'begin', 'select 1', 'reset pa'], '1'],
		['a value that needs no statement', ['set datestyle = \'ISO, MDY\'', 'reset pa'], '1'],
	];
	for (const [name, texts, expected] of cases) {
		it(`has the value of the startup message after ${name} (guards against defaults that the caller did not choose)`, async () => {
			const client = await scope.harness.connect({options: '-c pa=1 -c datestyle=SQL,DMY', application_name: 'board'});
			for (const text of texts) {
				await client.query(text);
			}

			expect(await valueOf(client, 'pa')).to.equal(expected);
			expect(scope.harness.fakeBackend.intents.at(-1)!.group).to.equal('g2');
		});
	}

	it('sets a value that is the default of the server and not that of the session (guards against a SET that only resets)', async () => {
		const client = await scope.harness.connect({options: '-c datestyle=SQL,DMY'});
		await client.query('set datestyle = \'ISO, MDY\'');
		expect(await valueOf(client, 'datestyle')).to.equal('default');
		await client.query('reset datestyle');
		expect(await valueOf(client, 'datestyle')).to.equal('SQL, DMY');
		await client.query('set datestyle to \'ISO\'');
		await client.query('set datestyle to \'DEFAULT\'');
		expect(await valueOf(client, 'datestyle')).to.equal('SQL, DMY');
	});

	it('routes by the application of the startup message after RESET (guards against work that is routed by a name that was taken back)', async () => {
		const client = await scope.harness.connect({application_name: 'board'});
		for (const text of ['set application_name = \'other\'', 'select 1', 'reset application_name', 'select 1']) {
			await client.query(text);
		}

		expect(scope.harness.fakeBackend.intents.map(({group}) => group)).to.deep.equal(['g1', 'g2']);
	});
});

describe('bound of the savepoints of a transaction', () => {
	const scope = new HarnessScope();
	beforeEach(async () => {
		await scope.start();
	});
	afterEach(() => {
		scope.close();
	});

	const savepointCount = 10_001;
	const cases: ReadonlyArray<{readonly name: string; readonly text: (index: number) => string; readonly code: string | undefined}> = [
		{name: 'different names', text: index => `savepoint s${index}`, code: '54000'},
		{name: 'one name, as drivers set before each statement', text: () => 'savepoint s', code: undefined},
	];
	for (const {name, text, code} of cases) {
		it(`${code ? 'refuses' : 'accepts'} ${savepointCount} savepoints of ${name} (guards against savepoints that take memory without a limit)`, async () => {
			const client = await scope.harness.connect();
			await client.query('begin');
			let receivedCode: string | undefined;
			try {
				await client.query(Array.from({length: savepointCount}, (_, index) => text(index)).join(';'));
			} catch (error) {
				receivedCode = (error as pg.DatabaseError).code;
			}

			expect(receivedCode).to.equal(code);
		});
	}

	it('refuses savepoints of one name with a change before each (guards against savepoints that take memory without a limit)', () => {
		const parameters = new TransactionParameters({serverParameters: new Map()});
		const outcome = {isFailed: false, hadFailedBefore: false, isEnded: false};
		let acceptedCount = 0;
		for (const savepoint of Array.from({length: savepointCount}, () => 's')) {
			const steps = [{command: {kind: 'savepoint', savepoint} as const, parameters: new Map()}];
			acceptedCount += parameters.hasRoomFor(steps) ? 1 : 0;
			parameters.follow(steps, outcome);
		}

		expect(acceptedCount).to.equal(savepointCount - 1);
	});

	it('follows RELEASE of savepoints of one name (guards against a return to the parameters of another savepoint)', async () => {
		const client = await scope.harness.connect();
		for (const text of ['begin', 'set pa = \'1\'', 'savepoint s', 'set pa = \'2\'', 'savepoint s', 'savepoint s', 'set pa = \'3\'', 'release s', 'rollback to s']) {
			await client.query(text);
		}

		expect(await valueOf(client, 'pa')).to.equal('2');
		for (const text of ['release s', 'rollback to s']) {
			await client.query(text);
		}

		expect(await valueOf(client, 'pa')).to.equal('1');
	});
});

type PipelineCase = {
	readonly name: string;
	/** Commands with the parameters of the session at their place. */
	readonly steps: ReadonlyArray<readonly [TransactionCommand, ReadonlyMap<string, string>]>;
	/** Parameters at the end of the exchange, before any is taken back. */
	readonly last: ReadonlyMap<string, string>;
	readonly expected: ReadonlyMap<string, string>;
};

describe('parameters that an exchange sets between its transaction commands', () => {
	const none = new Map<string, string>();
	const one = new Map([['pa', '1']]);
	const two = new Map([['pa', '2']]);
	const begin: TransactionCommand = {kind: 'begin'};
	const savepoint: TransactionCommand = {kind: 'savepoint', savepoint: 's'};
	const rollbackTo: TransactionCommand = {kind: 'rollbackTo', savepoint: 's'};
	const rollback: TransactionCommand = {kind: 'rollback', isChained: false};
	const cases: readonly PipelineCase[] = [
		{
			name: 'BEGIN, SET, ROLLBACK', steps: [[begin, none], [rollback, one]], last: one, expected: none,
		},
		{
			name: 'BEGIN, SET, ROLLBACK, SET', steps: [[begin, none], [rollback, one]], last: two, expected: two,
		},
		{
			name: 'BEGIN, SET, SAVEPOINT, SET, ROLLBACK TO', steps: [[begin, none], [savepoint, one], [rollbackTo, two]], last: two, expected: one,
		},
		{
			name: 'BEGIN, SAVEPOINT, SET, ROLLBACK TO, RESET', steps: [[begin, one], [savepoint, one], [rollbackTo, two]], last: none, expected: none,
		},
	];
	for (const {name, steps, last, expected} of cases) {
		it(`has the values of PostgreSQL after ${name} in one exchange (guards against values that count as set before the whole exchange)`, () => {
			const holder = {serverParameters: last};
			const parameters = new TransactionParameters(holder);
			parameters.follow(steps.map(([command, values]) => ({command, parameters: values})), {isFailed: false, hadFailedBefore: false, isEnded: steps.at(-1)![0] === rollback});
			expect(holder.serverParameters).to.deep.equal(expected);
		});
	}
});
