/** Values of parameters by name. A name that is missing has its default. */
export type ParameterValues = ReadonlyMap<string, string>;
/** New values of parameters by name; undefined stands for the default. */
export type ParameterChanges = ReadonlyMap<string, string | undefined>;

/** Returns what has to be set to get from some values to others. */
export function changesBetween(from: ParameterValues, to: ParameterValues): ParameterChanges {
	const names = from === to ? [] : [...new Set([...from.keys(), ...to.keys()])];
	return new Map(names.filter(name => from.get(name) !== to.get(name)).map(name => [name, to.get(name)]));
}

/** Returns the values after some changes. Values without changes are returned as they are, so that a reference shows whether anything has changed. */
export function withChanges(values: ParameterValues, changes: ParameterChanges): ParameterValues {
	const changed = new Map<string, string | undefined>([...values, ...changes]);
	return changes.size === 0 ? values : new Map([...changed].filter((entry): entry is [string, string] => entry[1] !== undefined));
}
