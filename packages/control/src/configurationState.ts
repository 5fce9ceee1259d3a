/**
 * The entries of the configuration with their store revisions, and how newer ones are merged in. A deletion is an entry
 * too, so that the highest revision of the entries is the configuration's revision on every host.
 */
import {z} from 'zod';
import {
	resourceKinds, specSchemas, type Configuration, type FieldProblem, type KeyValueEntry, type Resource, type ResourceKind,
} from '@crocusloom/model';

/** Key of an entry below the deployment's prefix: `<kind>/<name>`. */
export type EntryKey = `${ResourceKind}/${string}`;

export type ConfigurationEntry = {
	readonly key: EntryKey;
	readonly revision: number;
	/** Value as the store holds it; undefined if the key was removed from the store. */
	readonly value?: string;
	/** Last valid version before an invalid value; it stays in force, for example while hosts of two releases run. */
	readonly lastValid?: {readonly revision: number; readonly value: string};
};

/** All changes after `sinceRevision` up to `revision`. From 0, it is a snapshot. */
export type ChangeSet = {
	readonly sinceRevision: number;
	readonly revision: number;
	readonly entries: readonly ConfigurationEntry[];
};

export type ConfigurationState = {
	/** Everything up to this store revision is in `entries`; single later entries may be too. */
	readonly revision: number;
	readonly entries: ReadonlyMap<EntryKey, ConfigurationEntry>;
};

export const emptyState: ConfigurationState = {revision: 0, entries: new Map()};

/** One change of a key; the newest has no revision, because the store sets it only when it is written. */
const changeSchema = z.object({id: z.string(), revision: z.number().optional()});

const storedValueSchema = z.object({
	spec: z.unknown().optional(),
	deleted: z.boolean().default(false),
	changes: z.array(changeSchema).default([]),
});

export type StoredValue = z.infer<typeof storedValueSchema>;

/** A stored resource that was skipped. */
export type InvalidEntry = {
	readonly key: EntryKey;
	readonly revision: number;
	readonly problems: readonly FieldProblem[];
};

/**
 * Reads a stored value.
 * @returns the value; undefined if it is not of the stored form
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
 * Gives the configuration's part of a store key.
 * @returns undefined for keys that are not of a resource, such as `status/<group>`
 */
export function entryKeyOf(storeKey: string, prefix: string): EntryKey | undefined {
	const [kind, name, ...rest] = storeKey.slice(prefix.length).split('/');
	const isResource = storeKey.startsWith(prefix) && name && rest.length === 0 && Object.hasOwn(specSchemas, kind ?? '');
	return isResource ? `${kind as ResourceKind}/${name}` : undefined;
}

/** Converts entries of the store and leaves out those that are not resources. */
export function toConfigurationEntries(entries: readonly KeyValueEntry[], prefix: string): readonly ConfigurationEntry[] {
	return entries.flatMap(({key, value, modRevision}) => {
		const entryKey = entryKeyOf(key, prefix);
		return entryKey ? [{key: entryKey, revision: modRevision, value}] : [];
	});
}

/**
 * Makes the change set of a whole snapshot of the store. Entries that the state has and the snapshot lacks were removed
 * from the store by other tools.
 * @param listRevision - store revision of the snapshot
 */
export function snapshotChanges(state: ConfigurationState, listRevision: number, entries: readonly ConfigurationEntry[]): ChangeSet {
	const listed = new Set(entries.map(({key}) => key));
	const removed = [...state.entries.values()]
		.filter(entry => entry.value !== undefined && entry.revision <= listRevision && !listed.has(entry.key))
		.map(({key}) => ({key, revision: listRevision}));
	return changeSet(0, [...entries, ...removed]);
}

/** Makes a change set whose revision is that of its newest entry. */
export function changeSet(sinceRevision: number, entries: readonly ConfigurationEntry[]): ChangeSet {
	return {sinceRevision, revision: Math.max(sinceRevision, ...entries.map(({revision}) => revision)), entries};
}

/**
 * Merges changes; of two versions of a key the newer stays, so that no merge goes back. The state's revision rises only
 * if no change between it and the change set can be missing.
 * @returns the same state if nothing is new
 */
export function mergeChanges(state: ConfigurationState, changes: ChangeSet): ConfigurationState {
	const newer = changes.entries.filter(entry => entry.revision > (state.entries.get(entry.key)?.revision ?? 0));
	const revision = changes.sinceRevision <= state.revision ? Math.max(state.revision, changes.revision) : state.revision;
	if (newer.length === 0 && revision === state.revision) {
		return state;
	}

	const merged = newer.map(entry => [entry.key, keepLastValid(entry, state.entries.get(entry.key))] as const);
	return {revision, entries: new Map([...state.entries, ...merged])};
}

function keepLastValid(entry: ConfigurationEntry, previous: ConfigurationEntry | undefined): ConfigurationEntry {
	if (entry.lastValid !== undefined || previous?.value === undefined || readEntry(entry).type !== 'invalid') {
		return entry;
	}

	const isValid = readEntry(previous).type === 'resource';
	return {...entry, lastValid: isValid ? {revision: previous.revision, value: previous.value} : previous.lastValid};
}

/** Gives all changes of a state after a revision; entries ahead of the state's revision are included. */
export function changesSince(state: ConfigurationState, sinceRevision: number): ChangeSet {
	const entries = [...state.entries.values()]
		.filter(({revision}) => revision > sinceRevision)
		.toSorted((a, b) => a.revision - b.revision);
	return {sinceRevision, revision: Math.max(sinceRevision, state.revision), entries};
}

/** An entry read against its schema: a resource, a deletion, or the reasons why it was skipped. */
export type ReadEntry
	= | {readonly type: 'resource'; readonly resource: Resource}
		| {readonly type: 'deleted'}
		| {readonly type: 'invalid'; readonly invalid: InvalidEntry};

/** Reads an entry against the schema of its kind. */
export function readEntry(entry: ConfigurationEntry): ReadEntry {
	const stored = parseStoredValue(entry.value);
	if (stored?.deleted) {
		return {type: 'deleted'};
	}

	const [kind, name] = splitKey(entry.key);
	const checked = stored ? checkSpec(kind, stored.spec) : {problems: [{path: '', message: 'is not a stored resource'}]};
	if ('problems' in checked) {
		return {type: 'invalid', invalid: {key: entry.key, revision: entry.revision, problems: checked.problems}};
	}

	const resource = {
		kind, name, revision: entry.revision, spec: checked.spec,
	};
	return {type: 'resource', resource};
}

/** Splits a key into kind and name. */
export function splitKey(key: EntryKey): readonly [kind: ResourceKind, name: string] {
	const separator = key.indexOf('/');
	return [key.slice(0, separator) as ResourceKind, key.slice(separator + 1)];
}

/**
 * Checks a spec against the schema of its kind.
 * @returns the spec with its defaults, or the path of each bad field
 */
export function checkSpec(kind: ResourceKind, spec: unknown): {readonly spec: Resource['spec']} | {readonly problems: readonly FieldProblem[]} {
	const result = specSchemas[kind].safeParse(spec);
	if (result.success) {
		return {spec: result.data};
	}

	return {problems: result.error.issues.map(issue => ({path: ['spec', ...issue.path].join('.'), message: issue.message}))};
}

/**
 * Builds the configuration of a state. Invalid entries are reported; their last valid version is used where it is known.
 */
export function buildConfiguration(state: ConfigurationState): {readonly configuration: Configuration; readonly invalid: readonly InvalidEntry[]} {
	const maps = Object.fromEntries(resourceKinds.map(kind => [kind, new Map<string, Resource>()])) as Readonly<Record<ResourceKind, Map<string, Resource>>>;
	const invalid: InvalidEntry[] = [];
	for (const entry of state.entries.values()) {
		let read = readEntry(entry);
		if (read.type === 'invalid') {
			invalid.push(read.invalid);
			read = entry.lastValid ? readEntry({key: entry.key, ...entry.lastValid}) : read;
		}

		if (read.type === 'resource') {
			maps[read.resource.kind].set(read.resource.name, read.resource);
		}
	}

	return {configuration: {revision: state.revision, ...maps} as unknown as Configuration, invalid};
}
