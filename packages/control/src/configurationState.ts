/**
 * Entries of the configuration with their store revisions, and functions that merge newer entries. Deletions are kept as
 * entries, so that the configuration's revision is the highest revision of the entries on every host.
 */
import {z} from 'zod';
import {
	databaseListStateSchema, resourceKinds, specSchemas, type Configuration, type FieldProblem, type KeyValueEntry, type Resource, type ResourceKind,
} from '@crocusloom/model';

/** Key of an entry below the deployment's prefix: `<kind>/<name>`. */
export type EntryKey = `${ResourceKind}/${string}`;

export type ConfigurationEntry = {
	readonly key: EntryKey;
	readonly revision: number;
	/** Value as stored; undefined if the key was removed from the store. */
	readonly value?: string;
	/** Last valid version before an invalid value. It stays in force, for example while hosts of two releases run. */
	readonly lastValid?: {readonly revision: number; readonly value: string};
};

/** All changes after `sinceRevision` up to and including `revision`. With `sinceRevision` 0 it is a snapshot. */
export type ChangeSet = {
	readonly sinceRevision: number;
	readonly revision: number;
	readonly entries: readonly ConfigurationEntry[];
};

export type ConfigurationState = {
	/** `entries` is complete up to this store revision and may contain single later entries. */
	readonly revision: number;
	readonly entries: ReadonlyMap<EntryKey, ConfigurationEntry>;
};

export const emptyState: ConfigurationState = {revision: 0, entries: new Map()};

/** One change of a key. The newest change has no revision, because the store assigns it when the value is written. */
const changeSchema = z.object({id: z.string(), revision: z.number().optional()});

const storedValueSchema = z.object({
	spec: z.unknown().optional(),
	deleted: z.boolean().default(false),
	changes: z.array(changeSchema).default([]),
	databaseList: databaseListStateSchema.optional(),
});

export type StoredValue = z.infer<typeof storedValueSchema>;

/** A stored resource that was skipped because it is invalid. */
export type InvalidEntry = {
	readonly key: EntryKey;
	readonly revision: number;
	readonly problems: readonly FieldProblem[];
};

/**
 * Parses a stored value.
 * @returns the value, a deletion if the key was removed, or undefined if the value does not match the schema of stored values
 */
export function parseStoredValue(value: string | undefined): StoredValue | undefined {
	if (value === undefined) {
		return {deleted: true, changes: []};
	}

	try {
		return storedValueSchema.parse(JSON.parse(value));
	} catch {
		return undefined;
	}
}

/**
 * Converts a store key to an entry key.
 * @returns undefined if the key does not belong to a resource, for example `status/<group>`
 */
export function toEntryKey(storeKey: string, prefix: string): EntryKey | undefined {
	const [kind, name, ...rest] = storeKey.slice(prefix.length).split('/');
	const isResource = storeKey.startsWith(prefix) && name && rest.length === 0 && Object.hasOwn(specSchemas, kind ?? '');
	return isResource ? `${kind as ResourceKind}/${name}` : undefined;
}

/** Converts entries of the store and omits those that are not resources. */
export function toConfigurationEntries(entries: readonly KeyValueEntry[], prefix: string): readonly ConfigurationEntry[] {
	return entries.flatMap(({key, value, modRevision}) => {
		const entryKey = toEntryKey(key, prefix);
		return entryKey ? [{key: entryKey, revision: modRevision, value}] : [];
	});
}

/**
 * Creates the change set of a snapshot of the store. Entries that exist in the state and not in the snapshot were removed
 * from the store by other tools and become deletions.
 * @param listRevision - store revision of the snapshot
 */
export function changeSetOfSnapshot(state: ConfigurationState, listRevision: number, entries: readonly ConfigurationEntry[]): ChangeSet {
	const listedKeys = new Set(entries.map(({key}) => key));
	const removedEntries = [...state.entries.values()]
		.filter(entry => entry.value !== undefined && entry.revision <= listRevision && !listedKeys.has(entry.key))
		.map(({key}) => ({key, revision: listRevision}));
	return createChangeSet(0, [...entries, ...removedEntries]);
}

/** Creates a change set whose revision is that of its newest entry. */
export function createChangeSet(sinceRevision: number, entries: readonly ConfigurationEntry[]): ChangeSet {
	return {sinceRevision, revision: Math.max(sinceRevision, ...entries.map(({revision}) => revision)), entries};
}

/**
 * Merges changes into a state. The newer of two versions of a key wins, so that a merge never restores an older version. The
 * state's revision rises only if no change between it and the change set can be missing.
 * @returns the new state, or the same object if nothing has changed
 */
export function mergeChanges(state: ConfigurationState, changes: ChangeSet): ConfigurationState {
	const newerEntries = changes.entries.filter(entry => entry.revision > (state.entries.get(entry.key)?.revision ?? 0));
	const revision = changes.sinceRevision <= state.revision ? Math.max(state.revision, changes.revision) : state.revision;
	if (newerEntries.length === 0 && revision === state.revision) {
		return state;
	}

	const mergedEntries = newerEntries.map(entry => [entry.key, withLastValid(entry, state.entries.get(entry.key))] as const);
	return {revision, entries: new Map([...state.entries, ...mergedEntries])};
}

function withLastValid(entry: ConfigurationEntry, previous: ConfigurationEntry | undefined): ConfigurationEntry {
	if (entry.lastValid !== undefined || previous?.value === undefined || parseEntry(entry).type !== 'invalid') {
		return entry;
	}

	const isValid = parseEntry(previous).type === 'resource';
	return {...entry, lastValid: isValid ? {revision: previous.revision, value: previous.value} : previous.lastValid};
}

/** Returns all changes of a state after a revision, including entries above the state's revision. */
export function changesSince(state: ConfigurationState, sinceRevision: number): ChangeSet {
	const entries = [...state.entries.values()]
		.filter(({revision}) => revision > sinceRevision)
		.toSorted((a, b) => a.revision - b.revision);
	return {sinceRevision, revision: Math.max(sinceRevision, state.revision), entries};
}

/**
 * Returns the first part of a change set, so that it arrives within the timeout of a call over a slow link. Entries of one revision stay
 * together, and at least one revision is returned.
 * @param changes - entries in the order of their revisions
 * @param maximumCharacters - maximum size of the entries' values
 * @returns changes up to a revision below that of `changes`, or `changes` if it is not larger than the maximum
 */
export function firstChanges(changes: ChangeSet, maximumCharacters: number): ChangeSet {
	let characters = 0;
	let lastRevision: number | undefined;
	for (const [index, {revision, value = '', lastValid}] of changes.entries.entries()) {
		characters += value.length + (lastValid?.value.length ?? 0);
		const canEndHere = lastRevision !== undefined && lastRevision < revision && lastRevision < changes.revision;
		if (characters > maximumCharacters && canEndHere) {
			return {sinceRevision: changes.sinceRevision, revision: lastRevision!, entries: changes.entries.slice(0, index)};
		}

		lastRevision = revision;
	}

	return changes;
}

/** Result of parsing an entry: a resource, a deletion, or the reasons why the entry is invalid. */
export type ParsedEntry
	= | {readonly type: 'resource'; readonly resource: Resource}
		| {readonly type: 'deleted'}
		| {readonly type: 'invalid'; readonly invalid: InvalidEntry};

/** Parses an entry with the schema of its kind. */
export function parseEntry(entry: ConfigurationEntry): ParsedEntry {
	const stored = parseStoredValue(entry.value);
	if (stored?.deleted) {
		return {type: 'deleted'};
	}

	const [kind, name] = splitEntryKey(entry.key);
	const validation = stored ? validateSpec(kind, stored.spec) : {problems: [{path: '', message: 'is not a stored resource'}]};
	if ('problems' in validation) {
		return {type: 'invalid', invalid: {key: entry.key, revision: entry.revision, problems: validation.problems}};
	}

	const databaseList = stored?.databaseList;
	const resource = {
		kind, name, revision: entry.revision, spec: validation.spec, ...(databaseList && {databaseList}),
	};
	return {type: 'resource', resource};
}

/** Splits an entry key into kind and name. */
export function splitEntryKey(key: EntryKey): readonly [kind: ResourceKind, name: string] {
	const separator = key.indexOf('/');
	return [key.slice(0, separator) as ResourceKind, key.slice(separator + 1)];
}

/**
 * Validates a spec against the schema of its kind.
 * @returns the spec with defaults applied, or the problem of each invalid field
 */
export function validateSpec(kind: ResourceKind, spec: unknown): {readonly spec: Resource['spec']} | {readonly problems: readonly FieldProblem[]} {
	const result = specSchemas[kind].safeParse(spec);
	if (result.success) {
		return {spec: result.data};
	}

	return {problems: result.error.issues.map(issue => ({path: ['spec', ...issue.path].join('.'), message: issue.message}))};
}

/**
 * Builds the configuration from a state. Invalid entries are returned, and their last valid version is used if it is known.
 */
export function buildConfiguration(state: ConfigurationState): {readonly configuration: Configuration; readonly invalidEntries: readonly InvalidEntry[]} {
	const resourcesByKind = Object.fromEntries(resourceKinds.map(kind => [kind, new Map<string, Resource>()])) as Readonly<Record<ResourceKind, Map<string, Resource>>>;
	const invalidEntries: InvalidEntry[] = [];
	for (const entry of state.entries.values()) {
		let parsed = parseEntry(entry);
		if (parsed.type === 'invalid') {
			invalidEntries.push(parsed.invalid);
			parsed = entry.lastValid ? parseEntry({key: entry.key, ...entry.lastValid}) : parsed;
		}

		if (parsed.type === 'resource') {
			resourcesByKind[parsed.resource.kind].set(parsed.resource.name, parsed.resource);
		}
	}

	return {configuration: {revision: state.revision, ...resourcesByKind} as unknown as Configuration, invalidEntries};
}
