import {type Configuration} from '@crocusloom/model';
import {
	buildConfiguration, emptyState, mergeChanges, type ChangeSet, type ConfigurationState, type InvalidEntry,
} from './configurationState.js';

type Listener = (changes: ChangeSet) => void;

/** This host's copy of the configuration. Revisions only rise. */
export class ConfigurationReplica {
	private held = emptyState;
	private built = buildConfiguration(emptyState);
	private served = this.built.configuration;
	private highestNoted = 0;
	private isServing = false;
	private readonly listeners = new Set<Listener>();

	/** Entries and their revision. */
	get state(): ConfigurationState {
		return this.held;
	}

	/** Configuration in force; empty until `serve` was called. */
	get configuration(): Configuration {
		return this.served;
	}

	/** True once the configuration is in force. */
	get ready(): boolean {
		return this.isServing;
	}

	/** Stored values that were skipped. */
	get invalidEntries(): readonly InvalidEntry[] {
		return this.built.invalid;
	}

	/** Highest revision that this host holds or that a peer has reported. */
	get highestKnownRevision(): number {
		return Math.max(this.held.revision, this.highestNoted);
	}

	/** Remembers that a revision exists. */
	note(revision: number): void {
		this.highestNoted = Math.max(this.highestNoted, revision);
	}

	/**
	 * Merges changes and tells the listeners.
	 * @returns true if anything was new
	 */
	merge(changes: ChangeSet): boolean {
		const merged = mergeChanges(this.held, changes);
		if (merged === this.held) {
			return false;
		}

		this.held = merged;
		this.built = buildConfiguration(merged);
		if (this.isServing) {
			this.publish(changes);
		}

		return true;
	}

	/** Puts the configuration in force; called once it is known to be no older than any that was reported. */
	serve(): void {
		if (!this.isServing) {
			this.isServing = true;
			this.publish({sinceRevision: 0, revision: this.held.revision, entries: [...this.held.entries.values()]});
		}
	}

	/** Calls a listener after each change, until the signal is aborted. */
	onChange(listener: Listener, signal: AbortSignal): void {
		if (signal.aborted) {
			return;
		}

		this.listeners.add(listener);
		signal.addEventListener('abort', () => {
			this.listeners.delete(listener);
		}, {once: true});
	}

	private publish(changes: ChangeSet): void {
		this.served = this.built.configuration;
		for (const listener of this.listeners) {
			listener(changes);
		}
	}
}
