import {type Clock, childSignal, deferred} from '@crocusloom/model';
import {
	parseEntry, splitEntryKey, type ChangeSet, type ConfigurationEntry,
} from './configurationState.js';

/** Members of the configuration store that a watch uses. */
export type WatchSource = {
	changesSince(revision: number): ChangeSet;
	onChangeSet(listener: (changes: ChangeSet) => void, signal: AbortSignal): void;
};

/** Interval at which a watch without changes sends a revision line, so that both sides detect a dead connection. */
const keepaliveIntervalMs = 10_000;

/**
 * Generates the lines of a watch: first the newest version of each resource that changed after a revision, then each further
 * change. Versions that are replaced before a slow reader has received them are skipped, so that memory stays bounded.
 * @param sinceRevision - revision that the reader already has
 * @returns newline-terminated JSON lines; each batch ends with a line with the revision from which a watch can be resumed
 */
export async function * watchLines(source: WatchSource, sinceRevision: number, clock: Clock, signal: AbortSignal): AsyncGenerator<string> {
	let revision = sinceRevision;
	let nextChange = deferred<void>();
	source.onChangeSet(() => {
		nextChange.resolve();
	}, signal);
	while (!signal.aborted) {
		nextChange = deferred<void>();
		const changes = source.changesSince(revision);
		// Entries above the revision are sent once all changes before them are known.
		const completeEntries = changes.entries.filter(entry => entry.revision <= changes.revision);
		yield * completeEntries.map(entry => toJsonLine(toWatchRecord(entry)));
		revision = changes.revision;
		yield toJsonLine({type: 'revision', revision});
		await waitForChangeOrKeepalive(nextChange.promise, clock, signal);
	}
}

async function waitForChangeOrKeepalive(changed: Promise<void>, clock: Clock, signal: AbortSignal): Promise<void> {
	const keepaliveController = childSignal(signal);
	try {
		await Promise.race([changed, clock.sleep(keepaliveIntervalMs, keepaliveController.signal)]);
	} catch {
		// The watch has ended.
	} finally {
		keepaliveController.abort();
		keepaliveController.release();
	}
}

function toWatchRecord(entry: ConfigurationEntry): unknown {
	const parsed = parseEntry(entry);
	if (parsed.type === 'resource') {
		return {type: 'put', ...parsed.resource};
	}

	const [kind, name] = splitEntryKey(entry.key);
	const common = {kind, name, revision: entry.revision};
	return parsed.type === 'deleted' ? {type: 'delete', ...common} : {type: 'invalid', ...common, problems: parsed.invalid.problems};
}

function toJsonLine(value: unknown): string {
	return `${JSON.stringify(value)}\n`;
}
