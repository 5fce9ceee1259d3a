import {type FreshnessVector, type LogPosition} from './types.js';

/** The position before any record. */
export const zeroPosition: LogPosition = {term: 0, offsetBytes: 0};

/**
 * Compares two positions of one group, by term and then by offset.
 * @returns a negative number, zero or a positive number, as for `Array#sort`
 */
export function comparePositions(a: LogPosition, b: LogPosition): number {
	return a.term === b.term ? a.offsetBytes - b.offsetBytes : a.term - b.term;
}

/** Writes a position for log lines: `term.offset`. */
export function formatPosition({term, offsetBytes}: LogPosition): string {
	return `${term}.${offsetBytes}`;
}

/**
 * Tells whether a database at `held` has everything up to `required`.
 * @param held - position of the database
 * @param required - position which the reader needs
 */
export function holdsPosition(held: LogPosition, required: LogPosition): boolean {
	return comparePositions(held, required) >= 0;
}

/**
 * Adds a position to a vector; a session never goes back, so the higher one stays.
 * @returns the same vector if nothing moved, else a new one
 */
export function advanceVector(vector: FreshnessVector, group: string, position: LogPosition): FreshnessVector {
	const knownPosition = vector.get(group);
	if (knownPosition && holdsPosition(knownPosition, position)) {
		return vector;
	}

	return new Map([...vector, [group, position]]);
}

/**
 * Writes a vector as the token that callers carry: `group=term:offsetHex`, joined by commas.
 */
export function formatSessionToken(vector: FreshnessVector): string {
	return [...vector]
		.toSorted(([a], [b]) => a < b ? -1 : 1)
		.map(([group, position]) => `${group}=${position.term}:${position.offsetBytes.toString(16)}`)
		.join(',');
}

const tokenEntryPattern = /^(?<group>[\w.\-]+)=(?<term>\d{1,15}):(?<offset>[\da-f]{1,13})$/v;

/** Entries that a token may have; a longer one is refused so that memory stays bounded. */
const maximumTokenEntries = 64;

/**
 * Reads a session token.
 * @param token - text from the caller; the empty text is the empty vector
 * @returns the vector, or undefined if the text is not a token
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
