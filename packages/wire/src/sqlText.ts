/**
 * Texts that become part of SQL statements or messages.
 */
import {FailureError} from '@crocusloom/model';

/** SQLSTATE of a text with a character that the encoding does not have, as in PostgreSQL. */
export const invalidCharacterSqlState = '22021';

/** Returns the error for a text that cannot be sent to a database. */
export function invalidTextError(message: string): FailureError {
	return new FailureError({
		kind: 'protocol', step: 'forward', peer: 'text', sqlState: invalidCharacterSqlState, message,
	});
}

/**
 * Checks that a text arrives at the other side as it is.
 * @returns the text
 * @throws FailureError `protocol` with 22021 if the text contains a NUL character, which ends a text in the protocol, or half of a surrogate pair, which UTF-8 cannot encode
 */
export function requireSendableText(text: string): string {
	if (text.includes('\0')) {
		throw invalidTextError('a text contains the character NUL, which PostgreSQL does not allow');
	}

	if (/\p{Surrogate}/v.test(text)) {
		throw invalidTextError('a text contains half of a surrogate pair, which UTF-8 cannot encode');
	}

	return text;
}

/**
 * Quotes a text as an SQL literal that is valid with either value of standard_conforming_strings.
 * @throws FailureError `protocol` with 22021 as `requireSendableText` does
 */
export function quoteLiteral(text: string): string {
	const escaped = requireSendableText(text).replaceAll('\'', '\'\'');
	return escaped.includes('\\') ? `E'${escaped.replaceAll('\\', '\\\\')}'` : `'${escaped}'`;
}
