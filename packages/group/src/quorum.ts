import {majoritySize} from './confirmation.js';

/** Names of the databases of each list of which a majority is needed. The first list is the one in the configuration. */
export type QuorumLists = readonly [ReadonlySet<string>, ...ReadonlyArray<ReadonlySet<string>>];

/** Majorities of a group: one of its databases, and during a change of them one of the databases before the change as well. */
export class Quorum {
	constructor(readonly lists: QuorumLists) {}

	/** Checks whether databases contain a majority of each list. */
	isMajority(databases: readonly string[]): boolean {
		return this.lists.every(list => countIn(list, databases) >= majoritySize(list.size));
	}

	/** Checks whether no majority of each list is left without these databases. */
	isMajorityPrevented(databases: readonly string[]): boolean {
		return this.lists.some(list => countIn(list, databases) > list.size - majoritySize(list.size));
	}

	/**
	 * Returns the highest value that a majority of each list reaches.
	 * @param valueByDatabase - values of the databases that have one
	 * @returns undefined if the databases with a value contain no majority of some list
	 */
	valueOfMajority(valueByDatabase: ReadonlyMap<string, number>): number | undefined {
		const values = this.lists.map(list => valueOfListMajority(list, valueByDatabase));
		return values.includes(undefined) ? undefined : Math.min(...values as readonly number[]);
	}

	/** Returns the highest value that a majority of at least one list reaches, if any. */
	valueOfAnyMajority(valueByDatabase: ReadonlyMap<string, number>): number | undefined {
		const values = this.lists.map(list => valueOfListMajority(list, valueByDatabase)).filter(value => value !== undefined);
		return values.length === 0 ? undefined : Math.max(...values);
	}

	/** Describes the majorities for operators, for example `2 of a, b, c`. */
	toString(): string {
		return this.lists.map(list => `${majoritySize(list.size)} of ${[...list].join(', ')}`).join(' and ');
	}
}

function countIn(list: ReadonlySet<string>, databases: readonly string[]): number {
	return new Set(databases.filter(database => list.has(database))).size;
}

function valueOfListMajority(list: ReadonlySet<string>, valueByDatabase: ReadonlyMap<string, number>): number | undefined {
	const values = [...valueByDatabase].filter(([database]) => list.has(database)).map(([, value]) => value);
	return values.toSorted((a, b) => b - a)[majoritySize(list.size) - 1];
}
