import {type FreshnessVector, type LogPosition} from './types.js';

/** Position of an empty log. */
export const zeroPosition: LogPosition = {term: 0, offsetBytes: 0};

/**
 * Compares two positions of one group, by term and then by offset.
 * @returns a negative number, zero or a positive number, as for `Array#sort`
 */
export function comparePositions(a: LogPosition, b: LogPosition): number {
	return a.term === b.term ? a.offsetBytes - b.offsetBytes : a.term - b.term;
}

/**
 * Returns the later of two positions of one group.
 * @param known - position so far; undefined if none is known
 * @param reported - position that is compared with it
 */
export function laterPosition(known: LogPosition | undefined, reported: LogPosition): LogPosition {
	return known && holdsPosition(known, reported) ? known : reported;
}

/** Formats a position for log messages, as `term.offset`. */
export function formatPosition({term, offsetBytes}: LogPosition): string {
	return `${term}.${offsetBytes}`;
}

/**
 * Checks whether a database whose log ends at `held` contains all records up to `required`.
 * @param held - position of the database
 * @param required - position that the reader needs
 */
export function holdsPosition(held: LogPosition, required: LogPosition): boolean {
	return comparePositions(held, required) >= 0;
}

/**
 * Merges a position into a vector. The higher position of a group wins, so that a session never reads older data than before.
 * @returns the same vector if it already holds the position, otherwise a new one
 */
export function advanceVector(vector: FreshnessVector, group: string, position: LogPosition): FreshnessVector {
	const knownPosition = vector.get(group);
	if (knownPosition && holdsPosition(knownPosition, position)) {
		return vector;
	}

	return new Map([...vector, [group, position]]);
}

/** Formats a vector as a session token: `group=term:offsetHex` entries, sorted by group and joined by commas. */
export function formatSessionToken(vector: FreshnessVector): string {
	return [...vector]
		.toSorted(([a], [b]) => a < b ? -1 : 1)
		.map(([group, position]) => `${group}=${position.term}:${position.offsetBytes.toString(16)}`)
		.join(',');
}

const tokenEntryPattern = /^(?<group>[\w.\-]+)=(?<term>\d{1,15}):(?<offset>[\da-f]{1,13})$/v;

/** Maximum number of entries in a token. Longer tokens are rejected, so that memory stays bounded. */
const maximumTokenEntries = 64;

/**
 * Parses a session token.
 * @param token - text from the caller; the empty string means the empty vector
 * @returns the vector, or undefined if the text is not a valid token
 */
export function parseSessionToken(token: string): FreshnessVector | undefined {
	if (token === '') {
		return new Map();
	}

	const entries = token.split(',', maximumTokenEntries + 1);
	if (entries.length > maximumTokenEntries) {
		return undefined;
	}

	let vector: FreshnessVector = new Map();
	for (const entry of entries) {
		const captures = tokenEntryPattern.exec(entry)?.groups;
		if (!captures) {
			return undefined;
		}

		const position = {term: Number(captures.term), offsetBytes: Number.parseInt(captures.offset!, 16)};
		vector = advanceVector(vector, captures.group!, position);
	}

	return vector;
}
