import {
	FailureError, resourceNameSchema, type Clock, type FieldProblem, type KeyValueEntry, type KeyValueStore, type RandomSource, type Resource, type ResourceKind, errorMessageOf,
} from '@crocusloom/model';
import {backoffMs, type BackoffLimits} from './backoff.js';
import {
	checkSpec, parseStoredValue, readEntry, type ChangeSet, type ConfigurationEntry, type EntryKey, type StoredValue,
} from './configurationState.js';
import {type ConfigurationReplica} from './configurationReplica.js';
import {checkDelete, checkPut} from './crossReferences.js';
import {withTimeLimit} from './timeLimit.js';

/** A change that an operator asks for. The change id must be unique; a repeated one is applied once. */
export type ConfigurationChange
	= | {readonly action: 'create'; readonly kind: ResourceKind; readonly name: string; readonly spec: unknown; readonly changeId: string}
		| {
			readonly action: 'replace';
			readonly kind: ResourceKind;
			readonly name: string;
			readonly spec: unknown;
			readonly changeId: string;
			readonly expectedRevision: number;
		}
		| {readonly action: 'delete'; readonly kind: ResourceKind; readonly name: string; readonly changeId: string; readonly expectedRevision: number};

export type ChangeOutcome
	= | {readonly type: 'accepted'; readonly revision: number; readonly resource?: Resource}
		| {readonly type: 'conflict'; readonly currentRevision: number; readonly current?: Resource}
		| {readonly type: 'invalid'; readonly problems: readonly FieldProblem[]}
		| {readonly type: 'unavailable'; readonly effect: 'none' | 'unknown'; readonly message: string};

export type ChangeAcceptorOptions = {
	readonly prefix: string;
	readonly store: KeyValueStore;
	readonly replica: ConfigurationReplica;
	readonly clock: Clock;
	readonly random: RandomSource;
	/** Brings the copy up to date and gives the store's revision. */
	readonly loadSnapshot: (signal: AbortSignal) => Promise<number>;
	/** Waits until a peer holds an accepted change. */
	readonly confirm: (changes: ChangeSet, signal: AbortSignal) => Promise<void>;
};

/** Changes of a key whose ids are kept in its value; an answer is looked up within seconds of its change. */
const keptChanges = 16;
const callLimitMs = 3000;
const settleAttempts = 5;
const settleBackoff: BackoffLimits = {baseMs: 50, maximumMs: 1000};

type Swap = {readonly key: EntryKey; readonly expectedRevision: number; readonly value: string; readonly changeId: string};
type SwapResult
	= | {readonly type: 'written'; readonly revision: number}
		| {readonly type: 'settled'; readonly entry: KeyValueEntry}
		| {readonly type: 'overtaken'; readonly current?: KeyValueEntry}
		| {readonly type: 'lost'; readonly effect: 'none' | 'unknown'; readonly message: string};

/** Accepts operators' changes by compare-and-swap on the key's revision. */
export class ChangeAcceptor {
	constructor(private readonly options: ChangeAcceptorOptions) {}

	/**
	 * Checks and writes a change. Once it is accepted, this host serves it.
	 * @returns the outcome; `unavailable` with effect `unknown` if the answer was lost and could not be settled in time
	 */
	async accept(change: ConfigurationChange, signal: AbortSignal): Promise<ChangeOutcome> {
		const problems = checkFields(change);
		if (problems.length > 0) {
			return {type: 'invalid', problems};
		}

		let storeRevision: number;
		try {
			storeRevision = await this.options.loadSnapshot(signal);
		} catch (error) {
			return {type: 'unavailable', effect: 'none', message: errorMessageOf(error)};
		}

		const {replica} = this.options;
		if (!replica.ready || storeRevision < replica.state.revision) {
			return {type: 'unavailable', effect: 'none', message: 'the platform\'s store is behind the configuration in force'};
		}

		const key: EntryKey = `${change.kind}/${change.name}`;
		const entry = replica.state.entries.get(key);
		const decided = this.known(change, entry) ?? this.refusal(change, entry);
		return decided ?? this.write(change, key, storeRevision, signal);
	}

	private known(change: ConfigurationChange, entry: ConfigurationEntry | undefined): ChangeOutcome | undefined {
		const revision = entry && revisionOfChange(entry.value, entry.revision, change.changeId);
		return revision === undefined ? undefined : {type: 'accepted', revision, resource: entry && resourceOf(entry)};
	}

	private refusal(change: ConfigurationChange, entry: ConfigurationEntry | undefined): ChangeOutcome | undefined {
		const currentRevision = entry && readEntry(entry).type !== 'deleted' ? entry.revision : 0;
		const expectedRevision = change.action === 'create' ? 0 : change.expectedRevision;
		if (currentRevision !== expectedRevision || (change.action !== 'create' && currentRevision === 0)) {
			return {type: 'conflict', currentRevision, current: entry && resourceOf(entry)};
		}

		const {configuration} = this.options.replica;
		const problems = change.action === 'delete'
			? checkDelete(configuration, change.kind, change.name)
			: checkPut(configuration, change.kind, change.name, specOf(change)!);
		return problems.length > 0 ? {type: 'invalid', problems} : undefined;
	}

	private async write(change: ConfigurationChange, key: EntryKey, storeRevision: number, signal: AbortSignal): Promise<ChangeOutcome> {
		const {replica} = this.options;
		const entry = replica.state.entries.get(key);
		const stands = entry?.value !== undefined;
		const value = storedValue(change, stands ? entry : undefined);
		const swap = {
			key, expectedRevision: stands ? entry.revision : 0, value, changeId: change.changeId,
		};
		const result = await this.swap(swap, signal);
		return this.outcomeOf(result, swap, storeRevision, signal);
	}

	private async outcomeOf(result: SwapResult, swap: Swap, storeRevision: number, signal: AbortSignal): Promise<ChangeOutcome> {
		if (result.type === 'lost') {
			return {type: 'unavailable', effect: result.effect, message: result.message};
		}

		if (result.type === 'overtaken') {
			await this.refresh(signal);
			const current = result.current && toEntry(swap.key, result.current);
			const isLive = current && readEntry(current).type !== 'deleted';
			return {type: 'conflict', currentRevision: isLive ? current.revision : 0, current: current && resourceOf(current)};
		}

		const entry = result.type === 'written' ? {key: swap.key, revision: result.revision, value: swap.value} : toEntry(swap.key, result.entry);
		await this.adopt(entry, storeRevision, signal);
		const revision = revisionOfChange(entry.value, entry.revision, swap.changeId) ?? entry.revision;
		return {type: 'accepted', revision, resource: resourceOf(entry)};
	}

	/** Puts an accepted change in force here before the operator is told. */
	private async adopt(entry: ConfigurationEntry, storeRevision: number, signal: AbortSignal): Promise<void> {
		const {replica} = this.options;
		// Between adjacent store revisions no other change can be missing.
		const sinceRevision = entry.revision === storeRevision + 1 ? Math.min(replica.state.revision, entry.revision - 1) : entry.revision - 1;
		const changes = {sinceRevision, revision: entry.revision, entries: [entry]};
		replica.note(entry.revision);
		replica.merge(changes);
		if (replica.state.revision < entry.revision) {
			await this.refresh(signal);
		}

		await this.options.confirm(changes, signal);
	}

	private async refresh(signal: AbortSignal): Promise<void> {
		try {
			await this.options.loadSnapshot(signal);
		} catch {
			// The watch or a peer brings the other changes later.
		}
	}

	/**
	 * Writes, and settles a lost answer. The same swap is sent again until the key shows what became of it: a write that is
	 * still on its way cannot take effect once another write of the key has.
	 */
	private async swap(swap: Swap, signal: AbortSignal): Promise<SwapResult> {
		const {clock, prefix, random, store} = this.options;
		let effect: 'none' | 'unknown' = 'none';
		let message = '';
		for (let attempt = 1; attempt <= settleAttempts; attempt++) {
			try {
				const answer = await withTimeLimit(clock, callLimitMs, signal, async limited => store.compareAndSwap(prefix + swap.key, swap.expectedRevision, swap.value, limited));
				return answer.succeeded ? {type: 'written', revision: answer.revision} : settle(swap, answer.current);
			} catch (error) {
				effect = effect === 'unknown' ? effect : effectOf(error);
				message = errorMessageOf(error);
			}

			if (effect === 'none' || signal.aborted) {
				break;
			}

			await clock.sleep(backoffMs(attempt, settleBackoff, random), signal);
		}

		return {type: 'lost', effect, message};
	}
}

/** Tells from the standing entry whether the swap has taken effect. */
function settle(swap: Swap, current: KeyValueEntry | undefined): SwapResult {
	const revision = current && revisionOfChange(current.value, current.modRevision, swap.changeId);
	return current && revision !== undefined ? {type: 'settled', entry: current} : {type: 'overtaken', current};
}

function revisionOfChange(value: string | undefined, entryRevision: number, changeId: string): number | undefined {
	const change = parseStoredValue(value)?.changes.find(({id}) => id === changeId);
	return change && (change.revision ?? entryRevision);
}

/** Builds the value with the ids of the last changes, so that a change that was soon replaced is still found. */
function storedValue(change: ConfigurationChange, previous: ConfigurationEntry | undefined): string {
	const earlier = (parseStoredValue(previous?.value)?.changes ?? []).map(({id, revision}) => ({id, revision: revision ?? previous?.revision}));
	const changes = [{id: change.changeId}, ...earlier].slice(0, keptChanges);
	const value: Partial<StoredValue> = change.action === 'delete' ? {deleted: true, changes} : {spec: specOf(change), changes};
	return JSON.stringify(value);
}

function checkFields(change: ConfigurationChange): readonly FieldProblem[] {
	const name = resourceNameSchema.safeParse(change.name);
	const nameProblems = (name.error?.issues ?? []).map(({message}) => ({path: 'name', message}));
	const checked = change.action === 'delete' ? undefined : checkSpec(change.kind, change.spec);
	return checked && 'problems' in checked ? [...nameProblems, ...checked.problems] : nameProblems;
}

function specOf(change: Exclude<ConfigurationChange, {action: 'delete'}>): Resource['spec'] | undefined {
	const checked = checkSpec(change.kind, change.spec);
	return 'spec' in checked ? checked.spec : undefined;
}

function toEntry(key: EntryKey, entry: KeyValueEntry): ConfigurationEntry {
	return {key, revision: entry.modRevision, value: entry.value};
}

function resourceOf(entry: ConfigurationEntry): Resource | undefined {
	const read = readEntry(entry);
	return read.type === 'resource' ? read.resource : undefined;
}

/** A time limit leaves open whether the write takes effect. */
function effectOf(error: unknown): 'none' | 'unknown' {
	return error instanceof FailureError && error.failure.kind === 'platform' ? error.failure.effect : 'unknown';
}
