import {expect} from 'chai';
import {type ChangeSet, type ConfigurationEntry, firstChanges} from '../configurationState.js';

/** Size of the value of each entry, in characters. */
const valueLength = 10;
const entryOf = (revision: number): ConfigurationEntry => ({key: `ranks/r${revision}`, revision, value: 'v'.repeat(valueLength)});
const changesOf = (revisions: readonly number[], revision: number): ChangeSet => ({sinceRevision: 3, revision, entries: revisions.map(entryRevision => entryOf(entryRevision))});

const cases: ReadonlyArray<{readonly name: string; readonly changes: ChangeSet; readonly maximumCharacters: number; readonly expected: ChangeSet}> = [
	{
		name: 'returns a change set that is small enough as it is',
		changes: changesOf([4, 6, 7], 9),
		maximumCharacters: 30,
		expected: changesOf([4, 6, 7], 9),
	},
	{
		name: 'ends at the revision of the last entry (guards against changes that are taken for known and were not sent)',
		changes: changesOf([4, 6, 7], 9),
		maximumCharacters: 20,
		expected: changesOf([4, 6], 6),
	},
	{
		name: 'returns an entry that is larger than the maximum (guards against a pull without progress)',
		changes: changesOf([4, 6], 9),
		maximumCharacters: 5,
		expected: changesOf([4], 4),
	},
	{
		name: 'keeps entries of one revision together (guards against a part of a revision that is taken for the whole)',
		changes: changesOf([4, 4, 4, 6], 9),
		maximumCharacters: 20,
		expected: changesOf([4, 4, 4], 4),
	},
	{
		name: 'does not end above the revision of the change set (guards against a pull that repeats single later entries without end)',
		changes: changesOf([4, 8, 9, 10], 4),
		maximumCharacters: 20,
		expected: changesOf([4, 8, 9, 10], 4),
	},
];

describe('firstChanges', () => {
	for (const {name, changes, maximumCharacters, expected} of cases) {
		it(name, () => {
			expect(firstChanges(changes, maximumCharacters)).to.deep.equal(expected);
		});
	}
});
