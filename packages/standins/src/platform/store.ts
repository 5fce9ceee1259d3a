/**
 * The key-value store: a single revision counter for all keys, and the event history from which watches are served.
 */
import {EventEmitter} from 'node:events';

/** A key with its value. `lease` is '0' for a key without a lease. */
export type StoredEntry = {
	readonly key: string;
	readonly value: string;
	readonly createRevision: number;
	readonly modRevision: number;
	readonly version: number;
	readonly lease: string;
};

export type StoreEvent = {readonly type: 'PUT' | 'DELETE'; readonly entry: StoredEntry};

/** A range of keys: the single key `key`, or the keys from `key` up to `end`, exclusive. */
export type KeyRange = {readonly key: string; readonly end?: string};

/** `end` of a range without an upper bound. */
const unboundedEnd = '\0';

/** Checks whether a range contains a key. Keys are binary strings (one character per byte), so that they sort in byte order. */
export function isInRange(key: string, range: KeyRange): boolean {
	if (range.end === undefined || range.end === '') {
		return key === range.key;
	}

	return key >= range.key && (range.end === unboundedEnd || key < range.end);
}

/** A write of a transaction. All writes of a transaction get the same revision. */
export type Write
	= | {readonly kind: 'put'; readonly key: string; readonly value: string; readonly lease: string}
		| {readonly kind: 'delete'; readonly range: KeyRange};

/** Result of a write: the entries that it replaced or deleted. */
export type WriteResult = {readonly previous: readonly StoredEntry[]};

// eslint-disable-next-line unicorn/prefer-event-target -- an EventTarget would need an event object for each change
export class Store extends EventEmitter<{change: []}> {
	private readonly entries = new Map<string, StoredEntry>();
	private readonly history: StoreEvent[] = [];
	private currentRevision = 1;

	constructor() {
		super();
		this.setMaxListeners(0);
	}

	get revision(): number {
		return this.currentRevision;
	}

	get(key: string): StoredEntry | undefined {
		return this.entries.get(key);
	}

	/** Returns the entries of a range, ordered by key. */
	range(range: KeyRange): readonly StoredEntry[] {
		if (range.end === undefined || range.end === '') {
			const entry = this.entries.get(range.key);
			return entry ? [entry] : [];
		}

		return [...this.entries.values()]
			.filter(entry => isInRange(entry.key, range))
			.toSorted((a, b) => a.key < b.key ? -1 : 1);
	}

	/** Applies the writes of a transaction at a new revision. The revision does not advance if nothing changed. */
	apply(writes: readonly Write[]): readonly WriteResult[] {
		const revision = this.currentRevision + 1;
		const eventsBefore = this.history.length;
		const results = writes.map(write => write.kind === 'put' ? this.put(write, revision) : this.delete(write.range, revision));
		if (this.history.length > eventsBefore) {
			this.currentRevision = revision;
			this.emit('change');
		}

		return results;
	}

	/** Returns the events of a range from the given revision on, in order. */
	eventsSince(revision: number, range: KeyRange): readonly StoreEvent[] {
		let start = this.history.length;
		while (start > 0 && this.history[start - 1]!.entry.modRevision >= revision) {
			start--;
		}

		return this.history.slice(start).filter(event => isInRange(event.entry.key, range));
	}

	private put({key, value, lease}: Extract<Write, {kind: 'put'}>, revision: number): WriteResult {
		const previous = this.entries.get(key);
		const entry = {
			key, value, lease, createRevision: previous?.createRevision ?? revision, modRevision: revision, version: (previous?.version ?? 0) + 1,
		};
		this.entries.set(key, entry);
		this.history.push({type: 'PUT', entry});
		return {previous: previous ? [previous] : []};
	}

	private delete(range: KeyRange, revision: number): WriteResult {
		const previous = this.range(range);
		for (const entry of previous) {
			this.entries.delete(entry.key);
			this.history.push({
				type: 'DELETE', entry: {
					...entry, value: '', createRevision: 0, version: 0, modRevision: revision, lease: '0',
				},
			});
		}

		return {previous};
	}
}
