/**
 * Changes of the list of databases of a group. Any majority of the databases before a change must intersect any majority of those
 * after it, so a change adds or removes one database, and the next one waits until it is in force.
 */
import {type DatabaseListState, type DatabaseSpec} from './resources.js';
import {type FieldProblem} from './types.js';

/** A list of databases with its state. */
export type DatabaseList = {readonly databases: readonly DatabaseSpec[]; readonly state: DatabaseListState};

type Difference = {readonly added: readonly DatabaseSpec[]; readonly removed: readonly DatabaseSpec[]};

/**
 * Checks whether a list may replace the present one. The list before a change that is not in force may always be restored, because
 * every host still needs a majority of it.
 * @returns problems whose messages name the way in which the change can be made; empty if it is safe
 */
export function checkListChange(present: DatabaseList | undefined, next: readonly DatabaseSpec[]): readonly FieldProblem[] {
	if (!present || isSameList(present.databases, next) || isRestored(present, next)) {
		return [];
	}

	const problem = present.state.previousDatabases ? runningChangeProblem(present, present.state.previousDatabases) : sizeProblem(differenceOf(present.databases, next));
	return problem === undefined ? [] : [{path: 'spec.databases', message: problem}];
}

/** Returns the state of a list after a change that `checkListChange` allows. */
export function nextListState(present: DatabaseList | undefined, next: readonly DatabaseSpec[]): DatabaseListState | undefined {
	if (!present) {
		return undefined;
	}

	const {generation, previousDatabases} = present.state;
	if (isSameList(present.databases, next)) {
		return generation === 0 ? undefined : {generation, previousDatabases};
	}

	return isRestored(present, next) ? {generation: generation + 1} : {generation: generation + 1, previousDatabases: present.databases};
}

/** Checks whether two lists have the same databases at the same addresses, in any order. */
function isSameList(a: readonly DatabaseSpec[], b: readonly DatabaseSpec[]): boolean {
	const {added, removed} = differenceOf(a, b);
	return added.length === 0 && removed.length === 0;
}

function isRestored({state: {previousDatabases}}: DatabaseList, next: readonly DatabaseSpec[]): boolean {
	return previousDatabases !== undefined && isSameList(previousDatabases, next);
}

function differenceOf(present: readonly DatabaseSpec[], next: readonly DatabaseSpec[]): Difference {
	const isIn = (databases: readonly DatabaseSpec[]) => (database: DatabaseSpec) =>
		databases.some(({name, address, port}) => name === database.name && address === database.address && port === database.port);
	return {added: next.filter(database => !isIn(present)(database)), removed: present.filter(database => !isIn(next)(database))};
}

function runningChangeProblem({databases}: DatabaseList, previousDatabases: readonly DatabaseSpec[]): string {
	const previousNames = namesOf(previousDatabases);
	return `the change from ${previousNames} to ${namesOf(databases)} is not in force yet; apply this one when the condition DatabasesChanging has ended, or restore ${previousNames}`;
}

function sizeProblem({added, removed}: Difference): string | undefined {
	if (added.length + removed.length <= 1) {
		return undefined;
	}

	const steps = [...added.map(({name}) => `add ${name}`), ...removed.map(({name}) => `remove ${name}`)];
	const isMoved = added.some(({name}) => removed.some(other => other.name === name));
	return [
		'commits could be lost, because a majority of the new databases may lack what a majority of the present ones holds',
		`apply one change at a time: ${steps.join(', ')}, each when the condition DatabasesChanging has ended; remove a lost database first`,
		...(isMoved ? ['a database at another address needs another name while both are listed'] : []),
	].join('; ');
}

function namesOf(databases: readonly DatabaseSpec[]): string {
	return databases.map(({name}) => name).join(', ');
}
