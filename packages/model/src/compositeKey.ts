/**
 * Joins texts to a key that differs for different texts, whatever they contain: the length before each part keeps the parts apart.
 * For keys in the memory of one process; keys that are stored or sent to other hosts have their own formats.
 * @param parts - parts of the key, in a fixed order
 * @returns the key
 */
export function compositeKey(parts: readonly string[]): string {
	let key = '';
	for (const part of parts) {
		key += `${part.length}:${part}`;
	}

	return key;
}
