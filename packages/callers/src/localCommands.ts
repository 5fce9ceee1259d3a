/**
 * Parser for the session statements that the proxy handles itself, such as SET, RESET and DEALLOCATE.
 */

/** A session statement that the proxy handles itself. */
export type LocalCommand
	= | {readonly kind: 'set'; readonly name: string; readonly value: string}
		| {readonly kind: 'reset'; readonly name: string}
		| {readonly kind: 'resetAll'}
		| {readonly kind: 'show'; readonly name: string}
		| {readonly kind: 'discardAll'}
		| {readonly kind: 'deallocate'; readonly name: string}
		| {readonly kind: 'deallocateAll'}
		/** COMMIT or ROLLBACK while no unit of work is open. */
		| {readonly kind: 'endTransaction'};

// An unterminated comment or literal extends to the end of the text. Otherwise the search would restart at each opening delimiter and take quadratic time.
const commentPattern = /\/\*(?:[\s\S]*?\*\/|[\s\S]*)|--[^\n]*/v;
const quotedPattern = /'(?:[^']|'')*(?:'|$)|"(?:[^"]|"")*(?:"|$)/v;

/**
 * Parses a text that consists of session statements only.
 * @param text - text in which the classifier found session statements
 * @param statementCount - number of statements that the classifier found in it
 * @returns the commands, or undefined if the proxy does not handle one of the statements itself
 */
export function parseLocalCommands(text: string, statementCount: number): readonly LocalCommand[] | undefined {
	const parts = splitStatements(text);
	const commands = parts.map(part => parseCommand(part));
	const areAllParsed = parts.length === statementCount && commands.every(command => command !== undefined);
	return areAllParsed ? commands : undefined;
}

/** Literals that `set_config` accepts as false for its third argument, which makes a setting last beyond the transaction. */
const falseLiteralPattern = /^'(?:f|false|n|no|off|0)'$/iv;

/** Replaces literals and quoted names by empty literals and removes comments, so that data is not mistaken for SQL. Literals that mean false stay. */
export function withoutLiterals(text: string): string {
	const literalOrComment = new RegExp(`${quotedPattern.source}|${commentPattern.source}`, 'gv');
	return text.replaceAll(literalOrComment, match => {
		if (match.startsWith('--') || match.startsWith('/*')) {
			return ' ';
		}

		return falseLiteralPattern.test(match) ? match : '\'\'';
	});
}

/**
 * Splits a text at its semicolons.
 * @returns the statements, without comments
 */
export function splitStatements(text: string): string[] {
	const quotedOrSeparator = new RegExp(`${quotedPattern.source}|${commentPattern.source}|;`, 'gv');
	const separated = text.replaceAll(quotedOrSeparator, match => {
		if (match === ';') {
			return '\0';
		}

		return match.startsWith('--') || match.startsWith('/*') ? ' ' : match;
	});
	return separated.split('\0').map(part => part.trim()).filter(part => part !== '');
}

/** An identifier: a quoted one, or a word of letters, digits, underscores and dollar signs. Every character outside ASCII counts as a letter, as in PostgreSQL. */
const identifierPattern = /"(?:[^"]|"")+"|[A-Z_a-z\u{80}-\u{10FFFF}][\w$\u{80}-\u{10FFFF}]*/v;
/** Name of a parameter: identifiers separated by dots. */
const parameterNamePattern = new RegExp(String.raw`(?:${identifierPattern.source})(?:\s*\.\s*(?:${identifierPattern.source}))*`, 'v');
const parameterName = `(?<name>${parameterNamePattern.source})`;

const commandParsers: ReadonlyArray<readonly [RegExp, (name: string, value: string) => LocalCommand | undefined]> = [
	[/^set\s+(?:session\s+)?time\s+zone\s+(?<value>.+)$/isv, (_name, value) => setOrReset('timezone', value)],
	[/^set\s+names\s+(?<value>.+)$/isv, (_name, value) => setOrReset('client_encoding', value)],
	[new RegExp(String.raw`^set\s+(?:session\s+)?${parameterName}\s*(?:=|\bto\b)\s*(?<value>.+)$`, 'isv'), (name, value) => setOrReset(readParameterName(name), value)],
	[/^reset\s+all$/iv, () => ({kind: 'resetAll'})],
	[/^reset\s+time\s+zone$/iv, () => ({kind: 'reset', name: 'timezone'})],
	[new RegExp(String.raw`^reset\s+${parameterName}$`, 'iv'), name => ({kind: 'reset', name: readParameterName(name)})],
	[new RegExp(String.raw`^show\s+${parameterName}$`, 'iv'), name => showProxyOption(readParameterName(name))],
	[/^discard\s+all$/iv, () => ({kind: 'discardAll'})],
	[/^deallocate\s+(?:prepare\s+)?all$/iv, () => ({kind: 'deallocateAll'})],
	[new RegExp(String.raw`^deallocate\s+(?:prepare\s+)?(?<name>${identifierPattern.source})$`, 'iv'), name => ({kind: 'deallocate', name: readIdentifier(name)})],
];

function parseCommand(statement: string): LocalCommand | undefined {
	for (const [pattern, createCommand] of commandParsers) {
		const match = pattern.exec(statement);
		if (match) {
			return createCommand(match.groups?.name ?? '', match.groups?.value ?? '');
		}
	}

	return undefined;
}

/** Returns the name to which an identifier refers. A quoted one keeps its case; in any other, PostgreSQL folds the letters of ASCII to lower case. */
function readIdentifier(identifier: string): string {
	return identifier.startsWith('"') ? unquote(identifier) : foldCase(identifier);
}

function foldCase(text: string): string {
	return text.replaceAll(/[A-Z]+/gv, letters => letters.toLowerCase());
}

/** Returns the name of a parameter in lower case, because PostgreSQL ignores the case of a parameter's name even if it is quoted. */
function readParameterName(text: string): string {
	const identifiers = text.match(new RegExp(identifierPattern.source, 'gv'))!;
	return foldCase(identifiers.map(identifier => readIdentifier(identifier)).join('.'));
}

/** SHOW of a server parameter is sent to the backend server. */
function showProxyOption(name: string): LocalCommand | undefined {
	return name.startsWith('crocusloom.') ? {kind: 'show', name} : undefined;
}

function setOrReset(name: string, rawValue: string): LocalCommand | undefined {
	const text = rawValue.trim();
	if (/^default$/iv.test(text)) {
		return {kind: 'reset', name};
	}

	const value = parseValue(text, quotedListParameters.has(name));
	return value === undefined ? undefined : {kind: 'set', name, value};
}

/** Parameters whose values are lists of names, each of which PostgreSQL quotes if it needs quotes. */
const quotedListParameters: ReadonlySet<string> = new Set(['search_path', 'temp_tablespaces', 'local_preload_libraries', 'session_preload_libraries']);

/** One value: a literal, a quoted name, a word or a number. */
const valuePattern = /'(?:[^']|'')*'|"(?:[^"]|"")+"|(?:[+\-]\s*)?(?:[\d.]+[Ee][+\-]\d+|[\w.\u{80}-\u{10FFFF}][\w$.\u{80}-\u{10FFFF}]*)/v;
const valueListPattern = new RegExp(String.raw`^(?:${valuePattern.source})(?:\s*,\s*(?:${valuePattern.source}))*$`, 'v');

/**
 * Parses the value of SET. In a list, and in a parameter that is a list of names, literals become quoted names, as set_config expects.
 * @returns undefined for a value in another form, such as a literal with escapes
 */
function parseValue(value: string, isNameList: boolean): string | undefined {
	if (!valueListPattern.test(value)) {
		return undefined;
	}

	const items = value.match(new RegExp(valuePattern.source, 'gv'))!;
	return items.length === 1 && !isNameList ? readValue(items[0]) : items.map(item => item.startsWith('\'') ? `"${unquote(item).replaceAll('"', '""')}"` : item).join(', ');
}

function readValue(item: string): string {
	return item.startsWith('\'') || item.startsWith('"') ? unquote(item) : foldCase(item);
}

function unquote(text: string): string {
	const quote = text[0]!;
	return text.slice(1, -1).replaceAll(quote + quote, quote);
}
