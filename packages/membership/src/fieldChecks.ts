/**
 * Checks of fields that a peer sent.
 */

export const maximumPort = 65_535;
/** Longest name or address; that of a DNS name. */
const maximumTextLength = 253;

/** Checks whether a value is a name or an address: a text that is not empty and has a bounded length. */
export function isBoundedText(value: unknown): value is string {
	return typeof value === 'string' && value !== '' && value.length <= maximumTextLength;
}

/**
 * Checks whether a value is an integer from 0 to a maximum.
 * @param maximum - largest allowed value
 */
export function isIntegerUpTo(value: unknown, maximum: number): value is number {
	return Number.isSafeInteger(value) && (value as number) >= 0 && (value as number) <= maximum;
}
