import {createHash} from 'node:crypto';

declare const backendStatementNameBrand: unique symbol;

/**
 * Name of a prepared statement on backend connections. Only `backendStatementName` creates one, so that no text of a caller becomes
 * a part of a name.
 */
export type BackendStatementName = string & {readonly [backendStatementNameBrand]: true};

/** Length of a name: 128 bits, so that two statements practically never have the same one. */
const nameLengthHexDigits = 32;

/**
 * Derives the name of a prepared statement from its definition, so that all sessions that prepare the same statement share it.
 * @param definition - parts of the definition; the same parts in the same order give the same name
 * @returns a name of fixed length that consists of hexadecimal digits
 */
export function backendStatementName(definition: ReadonlyArray<string | Buffer>): BackendStatementName {
	const hash = createHash('sha256');
	for (const part of definition) {
		// The length keeps parts apart, whatever they contain.
		hash.update(`${Buffer.byteLength(part)}:`).update(part);
	}

	return hash.digest('hex').slice(0, nameLengthHexDigits) as BackendStatementName;
}
