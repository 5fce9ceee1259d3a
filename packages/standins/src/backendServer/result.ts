import {type Value} from './values.js';

/** A result column with the object id of its type. */
export type ResultColumn = {readonly name: string; readonly typeId: number};

/** Result of a statement. Statements that return no rows have no columns. */
export type StatementResult = {
	readonly columns?: readonly ResultColumn[];
	readonly rows: ReadonlyArray<readonly Value[]>;
	readonly commandTag: string;
};
