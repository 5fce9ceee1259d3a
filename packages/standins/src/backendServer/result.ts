import {type Value} from './values.js';

export type ResultColumn = {readonly name: string; readonly typeId: number};

/** Outcome of a statement. Statements without rows have no columns. */
export type Result = {
	readonly columns?: readonly ResultColumn[];
	readonly rows: ReadonlyArray<readonly Value[]>;
	readonly tag: string;
};
