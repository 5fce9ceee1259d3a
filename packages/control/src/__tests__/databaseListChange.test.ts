import {expect} from 'chai';
import fc from 'fast-check';
import {
	checkListChange, type DatabaseGroupSpec, type DatabaseSpec, nextListState, type Resource,
} from '@crocusloom/model';
import {type ChangeOutcome, type ConfigurationChange} from '../changeAcceptor.js';
import {FakeDeployment} from './fakes.js';

const databaseNamed = (name: string): DatabaseSpec => ({
	name, address: '127.0.0.1', port: 5432, failureDomain: 'bryan', leaving: false,
});
const listOf = (names: string): readonly DatabaseSpec[] => [...names].map(name => databaseNamed(name));
const settled = (names: string) => ({databases: listOf(names), state: {generation: 3}});
const running = (names: string, previousNames: string) => ({databases: listOf(names), state: {generation: 3, previousDatabases: listOf(previousNames)}});

type CheckCase = {readonly name: string; readonly present: ReturnType<typeof running> | ReturnType<typeof settled>; readonly next: readonly DatabaseSpec[]; readonly message?: RegExp};

const checkCases: readonly CheckCase[] = [
	{name: 'allows another order', present: settled('abc'), next: listOf('cab')},
	{name: 'allows to mark a database as leaving', present: settled('abc'), next: listOf('abc').map(database => ({...database, leaving: true}))},
	{name: 'allows to add one database', present: settled('abc'), next: listOf('abcd')},
	{name: 'allows to remove one database', present: settled('abc'), next: listOf('ac')},
	{name: 'allows to restore the list before a change that is not in force', present: running('abcd', 'abc'), next: listOf('abc')},
	{
		name: 'refuses to replace a database', present: settled('abc'), next: listOf('adc'), message: /one change at a time: add d, remove b/v,
	},
	{
		name: 'refuses to add two databases', present: settled('abc'), next: listOf('abcde'), message: /add d, add e/v,
	},
	{
		name: 'refuses to remove two databases', present: settled('abc'), next: listOf('c'), message: /remove a, remove b/v,
	},
	{
		name: 'refuses another address', present: settled('abc'), next: listOf('abc').map(database => ({...database, port: database.name === 'a' ? 5433 : 5432})), message: /needs another name/v,
	},
	{
		name: 'refuses the next change before the last is in force', present: running('abcd', 'abc'), next: listOf('abcde'), message: /from a, b, c to a, b, c, d is not in force yet/v,
	},
];

describe('changes of the list of databases', () => {
	for (const {name, present, next, message} of checkCases) {
		it(`${name} (guards against a change that loses commits, and a refusal without the way that can)`, () => {
			const messages = checkListChange(present, next).map(problem => problem.message);
			expect(messages).to.have.lengthOf(message ? 1 : 0);
			expect(messages.join('; ')).to.match(message ?? /^$/v);
		});
	}

	it('have intersecting majorities before and after each allowed change (guards against disjoint majorities)', () => {
		const namesArbitrary = fc.uniqueArray(fc.constantFrom(...'abcdef'), {minLength: 1, maxLength: 6});
		fc.assert(fc.property(namesArbitrary, namesArbitrary, (present, next) => {
			fc.pre(checkListChange(settled(present.join('')), listOf(next.join(''))).length === 0);
			const smallestMajorities = Math.floor(present.length / 2) + 1 + Math.floor(next.length / 2) + 1;
			expect(smallestMajorities).to.be.greaterThan(new Set([...present, ...next]).size);
		}), {seed: 20_261, numRuns: 2000});
	});

	it('raise the generation, and keep the databases before the change until it is in force (guards against terms of two lists in one generation)', () => {
		expect(nextListState(settled('abc'), listOf('abcd'))).to.deep.equal({generation: 4, previousDatabases: listOf('abc')});
		expect(nextListState(running('abcd', 'abc'), listOf('abc'))).to.deep.equal({generation: 4});
		expect(nextListState(running('abcd', 'abc'), listOf('dcba'))).to.deep.equal({generation: 3, previousDatabases: listOf('abc')});
	});
});

describe('changes of the databases in the configuration', () => {
	let deployment: FakeDeployment;

	beforeEach(async () => {
		deployment = new FakeDeployment();
		await startHost('a');
		expect(await accept({
			action: 'create', kind: 'databaseGroups', name: 'g', spec: {databases: listOf('abc')}, changeId: 'create',
		})).to.include({type: 'accepted'});
	});

	afterEach(() => {
		deployment.stopAllHosts();
	});

	async function startHost(host: string): Promise<void> {
		await deployment.clock.until(deployment.startHost(host).started);
	}

	async function accept(change: ConfigurationChange, host = 'a'): Promise<ChangeOutcome> {
		const {signal, store} = deployment.hosts.get(host)!;
		return deployment.clock.until(store.accept(change, signal));
	}

	async function settle(generation: number, host = 'a'): Promise<boolean> {
		const {signal, store} = deployment.hosts.get(host)!;
		return deployment.clock.until(store.settleDatabases('g', generation, signal));
	}

	function groupAt(host = 'a'): Resource<'databaseGroups'> {
		return deployment.hosts.get(host)!.store.current().databaseGroups.get('g')!;
	}

	async function replace(names: string, expectedRevision = groupAt().revision, host = 'a'): Promise<ChangeOutcome> {
		const spec: Partial<DatabaseGroupSpec> = {databases: listOf(names)};
		return accept({
			action: 'replace', kind: 'databaseGroups', name: 'g', spec, changeId: `${names}/${expectedRevision}/${host}`, expectedRevision,
		}, host);
	}

	it('refuse a replacement and wait for each other (guards against two changes at a time)', async () => {
		expect(await replace('adc')).to.include({type: 'invalid'});
		expect(await replace('abcd')).to.include({type: 'accepted'});
		expect(groupAt().databaseList).to.deep.equal({generation: 1, previousDatabases: listOf('abc')});
		expect(await replace('acd')).to.include({type: 'invalid'});
		expect(await settle(1)).to.equal(true);
		expect(groupAt().databaseList).to.deep.equal({generation: 1});
		expect(await replace('acd')).to.include({type: 'accepted'});
		expect(groupAt().databaseList).to.deep.equal({generation: 2, previousDatabases: listOf('abcd')});
	});

	it('accept one of two operators who change the databases at once (guards against changes that were checked against the same list)', async () => {
		await startHost('b');
		const {revision} = groupAt();
		const outcomes = await Promise.all([replace('abcd', revision, 'a'), replace('ab', revision, 'b')]);
		expect(outcomes.map(({type}) => type).toSorted()).to.deep.equal(['accepted', 'conflict']);
	});

	it('are recorded as in force once, also with a lost response, and not for another generation (guards against a change that counts as in force too early)', async () => {
		await replace('abcd');
		expect(await settle(0)).to.equal(false);
		expect(await settle(2)).to.equal(false);
		deployment.platform.faults.push('loseResponse');
		expect(await settle(1)).to.equal(true);
		await startHost('b');
		expect(await settle(1, 'b')).to.equal(true);
		await replace('abc');
		expect(await settle(1, 'b'), 'a late record of the change before').to.equal(true);
		expect(groupAt().databaseList).to.deep.equal({generation: 2, previousDatabases: listOf('abcd')});
	});

	it('are not recorded while the store is down, and are known to a host that starts meanwhile (guards against a list that a restart puts in force)', async () => {
		await replace('abcd');
		deployment.platform.setDown(true);
		expect(await settle(1)).to.equal(false);
		await startHost('b');
		expect(groupAt('b').databaseList).to.deep.equal({generation: 1, previousDatabases: listOf('abc')});
		deployment.platform.setDown(false);
		expect(await settle(1, 'b')).to.equal(true);
	});

	it('cannot be avoided by deleting the group and creating it again (guards against other databases without a check, and terms that begin again)', async () => {
		await replace('abcd');
		const remove = async () => accept({
			action: 'delete', kind: 'databaseGroups', name: 'g', changeId: `delete ${groupAt().revision}`, expectedRevision: groupAt().revision,
		});
		const create = async (names: string) => accept({
			action: 'create', kind: 'databaseGroups', name: 'g', spec: {databases: listOf(names)}, changeId: `create ${names}`,
		});
		expect(await remove()).to.include({type: 'invalid'});
		await settle(1);
		expect(await remove()).to.include({type: 'accepted'});
		expect(await create('xyz')).to.include({type: 'invalid'});
		expect(await create('abcd')).to.include({type: 'accepted'});
		expect(groupAt().databaseList).to.deep.equal({generation: 1});
	});
});
