import {type Clock, childSignal, deferred} from '@crocusloom/model';
import {
	readEntry, splitKey, type ChangeSet, type ConfigurationEntry,
} from './configurationState.js';

/** What a watch needs of the configuration store. */
export type WatchSource = {
	changesSince(revision: number): ChangeSet;
	onChangeSet(listener: (changes: ChangeSet) => void, signal: AbortSignal): void;
};

/** A line without changes is sent this often, so that both sides notice a dead connection. */
const idleLineMs = 10_000;

/**
 * Generates the lines of a watch: the newest version of each resource that changed after a revision, then changes as they
 * come. Versions that are replaced while the reader is slow are left out, so that memory stays bounded.
 * @param sinceRevision - revision that the reader has
 * @returns JSON lines, each with its line end; after each batch a line with the revision from which a watch can continue
 */
export async function * watchLines(source: WatchSource, sinceRevision: number, clock: Clock, signal: AbortSignal): AsyncGenerator<string> {
	let revision = sinceRevision;
	let wake = deferred<void>();
	source.onChangeSet(() => {
		wake.resolve();
	}, signal);
	while (!signal.aborted) {
		wake = deferred<void>();
		const changes = source.changesSince(revision);
		// Entries ahead of the revision come again once everything before them is known.
		const complete = changes.entries.filter(entry => entry.revision <= changes.revision);
		yield * complete.map(entry => toLine(describeEntry(entry)));
		revision = changes.revision;
		yield toLine({type: 'revision', revision});
		await waitFor(wake.promise, clock, signal);
	}
}

async function waitFor(woken: Promise<void>, clock: Clock, signal: AbortSignal): Promise<void> {
	const idle = childSignal(signal);
	try {
		await Promise.race([woken, clock.sleep(idleLineMs, idle.signal)]);
	} catch {
		// The watch has ended.
	} finally {
		idle.abort();
		idle.release();
	}
}

function describeEntry(entry: ConfigurationEntry): unknown {
	const read = readEntry(entry);
	if (read.type === 'resource') {
		return {type: 'put', ...read.resource};
	}

	const [kind, name] = splitKey(entry.key);
	const common = {kind, name, revision: entry.revision};
	return read.type === 'deleted' ? {type: 'delete', ...common} : {type: 'invalid', ...common, problems: read.invalid.problems};
}

function toLine(value: unknown): string {
	return `${JSON.stringify(value)}\n`;
}
