import {type Configuration, errorStackOf, type Logger} from '@crocusloom/model';
import {
	buildConfiguration, emptyState, mergeChanges, type ChangeSet, type ConfigurationState, type InvalidEntry,
} from './configurationState.js';

type ChangeSetListener = (changes: ChangeSet) => void;

/** Replica of the configuration on this host. Its revision never decreases. */
export class ConfigurationReplica {
	private heldState = emptyState;
	private buildResult = buildConfiguration(emptyState);
	private servedConfiguration = this.buildResult.configuration;
	private highestReportedRevision = 0;
	private isServing = false;
	private readonly listeners = new Set<ChangeSetListener>();

	constructor(private readonly log: Logger) {}

	/** Entries and their common revision, also before the configuration is in force. */
	get state(): ConfigurationState {
		return this.heldState;
	}

	/** Configuration in force; empty until `serve` is called. */
	get configuration(): Configuration {
		return this.servedConfiguration;
	}

	/** True once a configuration is in force. */
	get isReady(): boolean {
		return this.isServing;
	}

	/** Stored values that were skipped because they are invalid. */
	get invalidEntries(): readonly InvalidEntry[] {
		return this.buildResult.invalidEntries;
	}

	/** Highest revision that this host has or that a peer has reported. */
	get highestKnownRevision(): number {
		return Math.max(this.heldState.revision, this.highestReportedRevision);
	}

	/** Records a revision that is known to exist, also if its changes are not known yet. */
	recordReportedRevision(revision: number): void {
		this.highestReportedRevision = Math.max(this.highestReportedRevision, revision);
	}

	/**
	 * Merges changes and, if a configuration is in force, notifies the listeners.
	 * @returns true if the state has changed
	 */
	merge(changes: ChangeSet): boolean {
		const mergedState = mergeChanges(this.heldState, changes);
		if (mergedState === this.heldState) {
			return false;
		}

		this.heldState = mergedState;
		this.buildResult = buildConfiguration(mergedState);
		if (this.isServing) {
			this.publish(changes);
		}

		return true;
	}

	/** Puts the configuration in force. Must be called only when its revision is at least as high as any that was reported. */
	serve(): void {
		if (!this.isServing) {
			this.isServing = true;
			this.publish({sinceRevision: 0, revision: this.heldState.revision, entries: [...this.heldState.entries.values()]});
		}
	}

	/** Calls a listener after each change, until the signal is aborted. */
	onChange(listener: ChangeSetListener, signal: AbortSignal): void {
		if (signal.aborted) {
			return;
		}

		this.listeners.add(listener);
		signal.addEventListener('abort', () => {
			this.listeners.delete(listener);
		}, {once: true});
	}

	/** Notifies the listeners. One that throws must not hide the change from the others, nor end the watch that reported it. */
	private publish(changes: ChangeSet): void {
		this.servedConfiguration = this.buildResult.configuration;
		for (const listener of this.listeners) {
			try {
				listener(changes);
			} catch (error) {
				this.log.error({revision: changes.revision, error: errorStackOf(error)}, 'a change of the configuration could not be applied');
			}
		}
	}
}
