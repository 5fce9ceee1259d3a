/** Maximum number of characters that are quoted. */
const maximumQuotedCharacters = 80;
/** UTF-16 code units of one character. */
const maximumUnitsPerCharacter = 2;
const omissionMark = '...';

/**
 * Shortens a text from outside for a message that quotes it. Such a text may be as long as a message itself.
 * @returns the text, or its first 80 characters and a mark if it is longer
 */
export function quoteText(text: string): string {
	const beginning: string = text.slice(0, (maximumQuotedCharacters + 1) * maximumUnitsPerCharacter);
	const characters = [...beginning];
	return characters.length > maximumQuotedCharacters ? characters.slice(0, maximumQuotedCharacters).join('') + omissionMark : text;
}
