/**
 * Statements about the session that the proxy answers itself.
 */

export type LocalCommand
	= | {readonly kind: 'set'; readonly name: string; readonly value: string}
		| {readonly kind: 'reset'; readonly name: string}
		| {readonly kind: 'resetAll'}
		| {readonly kind: 'show'; readonly name: string}
		| {readonly kind: 'discardAll'}
		| {readonly kind: 'deallocate'; readonly name: string}
		| {readonly kind: 'deallocateAll'}
		| {readonly kind: 'endFailed'};

// What is not closed extends to the end of the text; else a search would start anew at each opening, in quadratic time.
const comments = /\/\*(?:[\s\S]*?\*\/|[\s\S]*)|--[^\n]*/v;
const quoted = /'(?:[^']|'')*(?:'|$)|"(?:[^"]|"")*(?:"|$)/v;

/**
 * Reads a text whose statements are all about the session.
 * @param text - statement text that the classifier found to touch session state
 * @param statementCount - statements that the classifier found in it
 * @returns the commands, or undefined when one of them is not answered here
 */
export function readLocalCommands(text: string, statementCount: number): readonly LocalCommand[] | undefined {
	const parts = splitStatements(text);
	const commands = parts.map(part => readCommand(part));
	const areAllKnown = parts.length === statementCount && commands.every(command => command !== undefined);
	return areAllKnown ? commands : undefined;
}

/** Literals that read as false; they matter to `set_config`. */
const falseLiteral = /^'(?:f|false|n|no|off|0)'$/iv;

/** Empties literals and quoted names and drops comments, so that data is not taken for statements. */
export function withoutLiterals(text: string): string {
	const literalOrComment = new RegExp(`${quoted.source}|${comments.source}`, 'gv');
	return text.replaceAll(literalOrComment, match => {
		if (match.startsWith('--') || match.startsWith('/*')) {
			return ' ';
		}

		return falseLiteral.test(match) ? match : '\'\'';
	});
}

/**
 * Cuts a text at its semicolons.
 * @returns statements without comments around them
 */
export function splitStatements(text: string): string[] {
	const quotedOrEnd = new RegExp(`${quoted.source}|${comments.source}|;`, 'gv');
	const bounded = text.replaceAll(quotedOrEnd, match => {
		if (match === ';') {
			return '\0';
		}

		return match.startsWith('--') || match.startsWith('/*') ? ' ' : match;
	});
	return bounded.split('\0').map(part => part.trim()).filter(part => part !== '');
}

const readers: ReadonlyArray<readonly [RegExp, (name: string, value: string) => LocalCommand | undefined]> = [
	[/^set\s+(?:session\s+)?time\s+zone\s+(?<value>.+)$/isv, (_name, value) => setOrReset('timezone', value)],
	[/^set\s+names\s+(?<value>.+)$/isv, (_name, value) => setOrReset('client_encoding', value)],
	[/^set\s+(?:session\s+)?(?<name>[a-z_][\w.]*)\s*(?:=|\bto\b)\s*(?<value>.+)$/isv, setOrReset],
	[/^reset\s+all$/iv, () => ({kind: 'resetAll'})],
	[/^reset\s+time\s+zone$/iv, () => ({kind: 'reset', name: 'timezone'})],
	[/^reset\s+(?<name>[a-z_][\w.]*)$/iv, name => ({kind: 'reset', name})],
	[/^show\s+(?<name>crocusloom\.\w+)$/iv, name => ({kind: 'show', name})],
	[/^discard\s+all$/iv, () => ({kind: 'discardAll'})],
	[/^deallocate\s+(?:prepare\s+)?all$/iv, () => ({kind: 'deallocateAll'})],
	[/^deallocate\s+(?:prepare\s+)?(?<name>\w+|"(?:[^"]|"")+")$/iv, name => ({kind: 'deallocate', name: name.startsWith('"') ? unquote(name) : name})],
];

function readCommand(statement: string): LocalCommand | undefined {
	for (const [pattern, read] of readers) {
		const match = pattern.exec(statement);
		if (match) {
			return read((match.groups?.name ?? '').toLowerCase(), match.groups?.value ?? '');
		}
	}

	return undefined;
}

function setOrReset(name: string, rawValue: string): LocalCommand {
	const value = rawValue.trim();
	return /^default$/iv.test(value) ? {kind: 'reset', name} : {kind: 'set', name, value: readValue(value)};
}

/** A single literal loses its quotes; a list keeps names and turns literals into quoted names, as set_config expects. */
function readValue(value: string): string {
	const items = value.match(new RegExp(`${quoted.source}|[^,]+`, 'gv'))!.map(item => item.trim()).filter(item => item !== '');
	if (items.length === 1) {
		return items[0]!.startsWith('\'') ? unquote(items[0]!) : items[0]!;
	}

	return items.map(item => item.startsWith('\'') ? `"${unquote(item).replaceAll('"', '""')}"` : item).join(', ');
}

function unquote(text: string): string {
	const quote = text[0]!;
	return text.slice(1, -1).replaceAll(quote + quote, quote);
}
