/**
 * Values of the server parameter DateStyle. A value can name the style, the order of day, month and year, or both; PostgreSQL keeps what a value does not name.
 */

/** Style and order that are in force on a backend connection by default. */
export const defaultDateStyle = 'ISO, MDY';

type DateStyleParts = {readonly style?: string; readonly order?: string};
/** What one word of a value names. `impliedOrder` applies unless the value also names an order. */
type DateStyleWord = DateStyleParts & {readonly impliedOrder?: string; readonly isDefault?: boolean};

const words: ReadonlyArray<readonly [RegExp, DateStyleWord]> = [
	[/^iso$/iv, {style: 'ISO'}],
	[/^sql$/iv, {style: 'SQL'}],
	[/^postgres/iv, {style: 'Postgres'}],
	[/^german$/iv, {style: 'German', impliedOrder: 'DMY'}],
	[/^ymd$/iv, {order: 'YMD'}],
	[/^(?:dmy$|euro)/iv, {order: 'DMY'}],
	[/^(?:mdy$|us$|noneuro)/iv, {order: 'MDY'}],
	[/^default$/iv, {isDefault: true}],
];

/**
 * Returns the style that PostgreSQL has after it is set to a value.
 * @param value - value of SET, which may name the style or the order only
 * @param currentDateStyle - complete style before, for example `SQL, DMY`
 * @param resetDateStyle - complete style that DEFAULT stands for
 * @returns the complete style; undefined if PostgreSQL refuses the value
 */
export function resolveDateStyle(value: string, currentDateStyle: string, resetDateStyle: string): string | undefined {
	const named = value.trim() === '' ? [] : value.split(',').map(word => findWord(word));
	if (!named.every(word => word !== undefined)) {
		return undefined;
	}

	const styles = distinct(named.map(({style}) => style));
	const orders = distinct(named.map(({order}) => order));
	if (styles.length > 1 || orders.length > 1) {
		return undefined;
	}

	const [style, order] = (named.some(({isDefault}) => isDefault) ? resetDateStyle : currentDateStyle).split(', ');
	const impliedOrder = named.find(word => word.impliedOrder !== undefined)?.impliedOrder;
	return `${styles[0] ?? style!}, ${orders[0] ?? impliedOrder ?? order!}`;
}

function findWord(text: string): DateStyleWord | undefined {
	const word = text.trim().replace(/^"(?<name>[^"]*)"$/v, '$<name>');
	return words.find(([pattern]) => pattern.test(word))?.[1];
}

function distinct(values: ReadonlyArray<string | undefined>): readonly string[] {
	return [...new Set(values.filter(value => value !== undefined))];
}
