import {
	checkListChange, FailureError, nextListState, resourceNameSchema, type Clock, type DatabaseGroupSpec, type DatabaseList,
	type FieldProblem, type KeyValueEntry, type KeyValueStore, type RandomSource, type Resource, type ResourceKind, errorMessageOf, withTimeout,
} from '@crocusloom/model';
import {backoffMs, type BackoffLimits} from './backoff.js';
import {
	validateSpec, parseStoredValue, parseEntry, type ChangeSet, type ConfigurationEntry, type EntryKey, type StoredValue,
} from './configurationState.js';
import {type ConfigurationReplica} from './configurationReplica.js';
import {checkDelete, checkPut} from './crossReferences.js';

/** A change requested by an operator. The change id must be unique; a change with a repeated id is applied once. */
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
		| {readonly action: 'delete'; readonly kind: ResourceKind; readonly name: string; readonly changeId: string; readonly expectedRevision: number}
		/** Records that the change of a group's databases to a generation is in force. Proxies make it, not operators. */
		| {readonly action: 'settle'; readonly kind: 'databaseGroups'; readonly name: string; readonly changeId: string; readonly generation: number};

type PutChange = Extract<ConfigurationChange, {action: 'create' | 'replace'}>;

export type ChangeOutcome
	= | {readonly type: 'accepted'; readonly revision: number; readonly resource?: Resource}
		| {readonly type: 'conflict'; readonly currentRevision: number; readonly current?: Resource}
		| {readonly type: 'invalid'; readonly problems: readonly FieldProblem[]}
		| {readonly type: 'unavailable'; readonly effect: 'none' | 'unknown'; readonly message: string};

export type ChangeAcceptorOptions = {
	readonly prefix: string;
	readonly keyValueStore: KeyValueStore;
	readonly replica: ConfigurationReplica;
	readonly clock: Clock;
	readonly random: RandomSource;
	/** Updates the replica from the store and returns the store's revision. */
	readonly loadSnapshot: (signal: AbortSignal) => Promise<number>;
	/** Sends an accepted change to neighbours and waits, for a bounded time, until one has it. */
	readonly copyToNeighbour: (changes: ChangeSet, signal: AbortSignal) => Promise<void>;
};

/** Number of changes of a key whose ids are stored in its value. It only has to cover a few seconds, because a lost response is resolved within seconds of its change. */
const maximumStoredChanges = 16;
const swapTimeoutMs = 3000;
const maximumSwapAttempts = 5;
const swapBackoff: BackoffLimits = {baseMs: 50, maximumMs: 1000};

type SwapRequest = {readonly key: EntryKey; readonly expectedRevision: number; readonly value: string; readonly changeId: string};
/** `alreadyWritten`: an earlier attempt took effect. `conflict`: another change was written first. `failed`: no attempt succeeded or was rejected by the comparison. */
type SwapResult
	= | {readonly type: 'written'; readonly revision: number}
		| {readonly type: 'alreadyWritten'; readonly entry: KeyValueEntry}
		| {readonly type: 'conflict'; readonly current?: KeyValueEntry}
		| {readonly type: 'failed'; readonly effect: 'none' | 'unknown'; readonly message: string};

/** Validates operators' changes and writes them by compare-and-swap on the key's revision. */
export class ChangeAcceptor {
	constructor(private readonly options: ChangeAcceptorOptions) {}

	/**
	 * Validates and writes a change. An accepted change is in force on this host when the call returns.
	 * @returns the outcome; `unavailable` with effect `unknown` if the response was lost and the effect could not be determined in time
	 */
	async accept(change: ConfigurationChange, signal: AbortSignal): Promise<ChangeOutcome> {
		const problems = validateFields(change);
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
		if (!replica.isReady || storeRevision < replica.state.revision) {
			return {type: 'unavailable', effect: 'none', message: 'the platform\'s store is behind the configuration in force'};
		}

		const key: EntryKey = `${change.kind}/${change.name}`;
		const entry = replica.state.entries.get(key);
		const earlyOutcome = this.findAppliedChange(change, entry) ?? this.checkPreconditions(change, entry);
		return earlyOutcome ?? this.writeChange(change, key, storeRevision, signal);
	}

	private findAppliedChange(change: ConfigurationChange, entry: ConfigurationEntry | undefined): ChangeOutcome | undefined {
		const revision = entry && revisionOfChange(entry.value, entry.revision, change.changeId);
		return revision === undefined ? undefined : {type: 'accepted', revision, resource: entry && parseResource(entry)};
	}

	private checkPreconditions(change: ConfigurationChange, entry: ConfigurationEntry | undefined): ChangeOutcome | undefined {
		const currentRevision = entry && parseEntry(entry).type !== 'deleted' ? entry.revision : 0;
		if (change.action === 'settle') {
			const databaseList = entry && parseResource(entry)?.databaseList;
			return databaseList?.previousDatabases && databaseList.generation === change.generation
				? undefined
				: {type: 'conflict', currentRevision, current: entry && parseResource(entry)};
		}

		const expectedRevision = change.action === 'create' ? 0 : change.expectedRevision;
		if (currentRevision !== expectedRevision || (change.action !== 'create' && currentRevision === 0)) {
			return {type: 'conflict', currentRevision, current: entry && parseResource(entry)};
		}

		const {configuration} = this.options.replica;
		const problems = change.action === 'delete'
			? [...checkDelete(configuration, change.kind, change.name), ...checkListDeletion(change, entry)]
			: [...checkPut(configuration, change.kind, change.name, validatedSpecOf(change)!), ...checkList(change, entry)];
		return problems.length > 0 ? {type: 'invalid', problems} : undefined;
	}

	private async writeChange(change: ConfigurationChange, key: EntryKey, storeRevision: number, signal: AbortSignal): Promise<ChangeOutcome> {
		const {replica} = this.options;
		const entry = replica.state.entries.get(key);
		const isStored = entry?.value !== undefined;
		const value = encodeStoredValue(change, isStored ? entry : undefined);
		const request = {
			key, expectedRevision: isStored ? entry.revision : 0, value, changeId: change.changeId,
		};
		const result = await this.swapWithRetries(request, signal);
		return this.toOutcome(result, request, storeRevision, signal);
	}

	private async toOutcome(result: SwapResult, request: SwapRequest, storeRevision: number, signal: AbortSignal): Promise<ChangeOutcome> {
		if (result.type === 'failed') {
			return {type: 'unavailable', effect: result.effect, message: result.message};
		}

		if (result.type === 'conflict') {
			await this.refreshReplica(signal);
			const current = result.current && toConfigurationEntry(request.key, result.current);
			const isLive = current && parseEntry(current).type !== 'deleted';
			return {type: 'conflict', currentRevision: isLive ? current.revision : 0, current: current && parseResource(current)};
		}

		const entry = result.type === 'written' ? {key: request.key, revision: result.revision, value: request.value} : toConfigurationEntry(request.key, result.entry);
		await this.applyAcceptedChange(entry, storeRevision, signal);
		const revision = revisionOfChange(entry.value, entry.revision, request.changeId) ?? entry.revision;
		return {type: 'accepted', revision, resource: parseResource(entry)};
	}

	/** Puts an accepted change in force on this host before the operator receives the response. */
	private async applyAcceptedChange(entry: ConfigurationEntry, storeRevision: number, signal: AbortSignal): Promise<void> {
		const {replica} = this.options;
		// No other change can be missing between consecutive store revisions.
		const sinceRevision = entry.revision === storeRevision + 1 ? Math.min(replica.state.revision, entry.revision - 1) : entry.revision - 1;
		const changes = {sinceRevision, revision: entry.revision, entries: [entry]};
		replica.recordReportedRevision(entry.revision);
		replica.merge(changes);
		if (replica.state.revision < entry.revision) {
			await this.refreshReplica(signal);
		}

		await this.options.copyToNeighbour(changes, signal);
	}

	private async refreshReplica(signal: AbortSignal): Promise<void> {
		try {
			await this.options.loadSnapshot(signal);
		} catch {
			// The watch or a peer delivers the other changes later.
		}
	}

	/**
	 * Writes a value. If the response is lost, the same swap is retried until the stored value shows whether it took effect: an
	 * earlier request that is still in transit cannot take effect after another write of the key.
	 */
	private async swapWithRetries(request: SwapRequest, signal: AbortSignal): Promise<SwapResult> {
		const {clock, prefix, random, keyValueStore} = this.options;
		let effect: 'none' | 'unknown' = 'none';
		let message = '';
		for (let attempt = 1; attempt <= maximumSwapAttempts; attempt++) {
			try {
				const response = await withTimeout(
					clock,
					swapTimeoutMs,
					signal,
					async callSignal => keyValueStore.compareAndSwap(prefix + request.key, request.expectedRevision, request.value, callSignal),
				);
				return response.succeeded ? {type: 'written', revision: response.revision} : resolveRejectedSwap(request, response.current);
			} catch (error) {
				effect = effect === 'unknown' ? effect : writeEffectOf(error);
				message = errorMessageOf(error);
			}

			if (effect === 'none' || signal.aborted) {
				break;
			}

			await clock.sleep(backoffMs(attempt, swapBackoff, random), signal);
		}

		return {type: 'failed', effect, message};
	}
}

/** Determines from the current entry whether an earlier attempt of a rejected swap took effect. */
function resolveRejectedSwap(request: SwapRequest, current: KeyValueEntry | undefined): SwapResult {
	const revision = current && revisionOfChange(current.value, current.modRevision, request.changeId);
	return current && revision !== undefined ? {type: 'alreadyWritten', entry: current} : {type: 'conflict', current};
}

function revisionOfChange(value: string | undefined, entryRevision: number, changeId: string): number | undefined {
	const change = parseStoredValue(value)?.changes.find(({id}) => id === changeId);
	return change && (change.revision ?? entryRevision);
}

/** Encodes the value together with the ids of the latest changes, so that a change is found also after later ones replaced it. */
function encodeStoredValue(change: ConfigurationChange, previous: ConfigurationEntry | undefined): string {
	const earlierChanges = (parseStoredValue(previous?.value)?.changes ?? []).map(({id, revision}) => ({id, revision: revision ?? previous?.revision}));
	const changes = [{id: change.changeId}, ...earlierChanges].slice(0, maximumStoredChanges);
	return JSON.stringify({...valueEncoders[change.action](change as never, previous), changes});
}

const valueEncoders: {readonly [A in ConfigurationChange['action']]: (change: Extract<ConfigurationChange, {action: A}>, previous: ConfigurationEntry | undefined) => Partial<StoredValue>} = {
	create: encodePut,
	replace: encodePut,
	delete(_change, previous) {
		const list = databaseListOf(previous);
		return {deleted: true, ...(list && {databaseList: {generation: list.state.generation, deletedDatabases: [...list.databases]}})};
	},
	settle: ({generation}, previous) => ({spec: parseStoredValue(previous?.value)?.spec, databaseList: {generation}}),
};

function encodePut(change: PutChange, previous: ConfigurationEntry | undefined): Partial<StoredValue> {
	const spec = validatedSpecOf(change);
	const databaseList = change.kind === 'databaseGroups' ? nextListState(databaseListOf(previous), (spec as DatabaseGroupSpec).databases) : undefined;
	return {spec, ...(databaseList && {databaseList: databaseList as StoredValue['databaseList']})};
}

/** Returns the list of databases of a group, or the last one of a deleted group. */
function databaseListOf(entry: ConfigurationEntry | undefined): DatabaseList | undefined {
	const stored = entry && parseStoredValue(entry.value);
	const state = stored?.databaseList ?? {generation: 0};
	const resource = entry && parseResource(entry);
	const databases = resource?.kind === 'databaseGroups' ? (resource.spec as DatabaseGroupSpec).databases : state.deletedDatabases;
	if (databases) {
		return {databases, state};
	}

	return entry?.lastValid && databaseListOf({key: entry.key, ...entry.lastValid});
}

function checkList(change: PutChange, entry: ConfigurationEntry | undefined): readonly FieldProblem[] {
	return change.kind === 'databaseGroups' ? checkListChange(databaseListOf(entry), (validatedSpecOf(change) as DatabaseGroupSpec).databases) : [];
}

/** Refuses to delete a group while its databases change, because a deleted group has one list only. */
function checkListDeletion({kind}: ConfigurationChange, entry: ConfigurationEntry | undefined): readonly FieldProblem[] {
	const isChanging = kind === 'databaseGroups' && databaseListOf(entry)?.state.previousDatabases !== undefined;
	return isChanging ? [{path: 'name', message: 'a change of the databases is not in force yet; delete the group when the condition DatabasesChanging has ended'}] : [];
}

function validateFields(change: ConfigurationChange): readonly FieldProblem[] {
	const nameResult = resourceNameSchema.safeParse(change.name);
	const nameProblems = (nameResult.error?.issues ?? []).map(({message}) => ({path: 'name', message}));
	const validation = isPut(change) ? validateSpec(change.kind, change.spec) : undefined;
	return validation && 'problems' in validation ? [...nameProblems, ...validation.problems] : nameProblems;
}

function isPut(change: ConfigurationChange): change is PutChange {
	return change.action === 'create' || change.action === 'replace';
}

function validatedSpecOf(change: PutChange): Resource['spec'] | undefined {
	const validation = validateSpec(change.kind, change.spec);
	return 'spec' in validation ? validation.spec : undefined;
}

function toConfigurationEntry(key: EntryKey, entry: KeyValueEntry): ConfigurationEntry {
	return {key, revision: entry.modRevision, value: entry.value};
}

function parseResource(entry: ConfigurationEntry): Resource | undefined {
	const parsed = parseEntry(entry);
	return parsed.type === 'resource' ? parsed.resource : undefined;
}

/** Returns the effect of a failed write; it is unknown after a timeout. */
function writeEffectOf(error: unknown): 'none' | 'unknown' {
	return error instanceof FailureError && error.failure.kind === 'platform' ? error.failure.effect : 'unknown';
}
