import {setMaxListeners} from 'node:events';
import {
	childSignal, type Clock, type DatabaseControl, type DatabaseGroupSpec, type DatabaseSpec, type DatabaseStatus, type DatabaseView, FailureError, generationOfTerm,
	type GroupState, type GroupView, type LogPosition,
	type PromotionRecord, type WaitResult, zeroPosition,
} from '@crocusloom/model';
import {ConfirmedPositionHistory} from './confirmedPositionHistory.js';
import {
	type ConfirmedPosition, findConfirmedPosition, findPrimary, hasState, isNewGroup, newestTermOf, type StatusObservation,
} from './confirmation.js';
import {DatabaseMonitor, type PositionStatus} from './databaseMonitor.js';
import {Quorum} from './quorum.js';
import {allSafetyMechanisms, type SafetyMechanisms} from './safetyMechanisms.js';
import {SharedProbe} from './sharedProbe.js';
import {probeTimeoutMs} from './timing.js';
import {waitUntil} from './waitUntil.js';

export type GroupMonitorOptions = {
	readonly group: string;
	/** Name of this host, reported in the states that peers receive. */
	readonly host: string;
	readonly clock: Clock;
	/** One control per database of the group, including those before a change that is not in force. The monitor closes them. */
	readonly controls: readonly DatabaseControl[];
	/** Returns the resource of the group that is in force. */
	readonly spec: () => DatabaseGroupSpec;
	/** Generation of the list of databases. Terms of later generations are not acted upon. */
	readonly generation?: number;
	/** Databases before a change that is not in force. A majority of them is needed as well. */
	readonly previousDatabases?: readonly DatabaseSpec[];
	/** Set only in tests. */
	readonly mechanisms?: SafetyMechanisms;
};

type PositionWaitOptions<T> = {
	readonly databaseMonitors: readonly DatabaseMonitor[];
	readonly position: LogPosition;
	readonly timeoutMs: number;
	readonly signal: AbortSignal;
	readonly evaluate: () => T | undefined;
};

/** Monitors all databases of one group and determines what may be acknowledged, read and promoted. */
export class GroupMonitor implements GroupView {
	readonly databaseMonitors: readonly DatabaseMonitor[];
	readonly mechanisms: SafetyMechanisms;
	/** Generation of the list of databases that this host has. */
	readonly generation: number;
	readonly startedAtMs: number;
	/** Majorities that a term of the list in the configuration needs. */
	private readonly quorum: Quorum;
	/** Majority that terms of the list before a change need, if the change is not in force. */
	private readonly previousQuorum?: Quorum;
	private readonly confirmedPositions = new ConfirmedPositionHistory();
	private readonly listeners = new Set<() => void>();
	private readonly promotionRecords: PromotionRecord[] = [];
	private readonly closeController = new AbortController();
	private readonly commitPositionProbe: SharedProbe<LogPosition>;

	constructor(readonly options: GroupMonitorOptions) {
		// Each polling loop and each call adds a listener, which would exceed the default limit and print a warning.
		setMaxListeners(0, this.signal);
		this.mechanisms = options.mechanisms ?? allSafetyMechanisms;
		this.generation = options.generation ?? 0;
		this.startedAtMs = options.clock.nowMs();
		const {previousDatabases} = options;
		const listedNames = namesOf(options.spec().databases);
		this.quorum = new Quorum(previousDatabases ? [listedNames, namesOf(previousDatabases)] : [listedNames]);
		this.previousQuorum = previousDatabases && new Quorum([namesOf(previousDatabases)]);
		this.databaseMonitors = options.controls.map(control => new DatabaseMonitor(control, options.clock, () => {
			this.handleObservation();
		}, this.signal));
		this.commitPositionProbe = new SharedProbe(options.clock, async () => this.probeCommitPosition());
	}

	/** Aborts when the monitor is closed. */
	get signal(): AbortSignal {
		return this.closeController.signal;
	}

	/**
	 * Generation in which a promotion takes its term. After a change of the databases, the list before it stays in force until a
	 * database has been fenced for the new one, so that a database that is added delays no promotion while it has no data.
	 */
	get actingGeneration(): number {
		const isNewListUsed = this.observations().some(({status}) => generationOfTerm(newestTermOf(status)) >= this.generation);
		return this.previousQuorum && !isNewListUsed ? this.generation - 1 : this.generation;
	}

	/** Returns the majorities that a generation needs. */
	quorumOfGeneration(generation: number): Quorum {
		return generation < this.generation ? this.previousQuorum ?? this.quorum : this.quorum;
	}

	/** Returns the majorities that a term needs. */
	quorumOfTerm(term: number): Quorum {
		return this.quorumOfGeneration(generationOfTerm(term));
	}

	/** Databases with addresses, including those before a change that is not in force. */
	get databaseSpecs(): readonly DatabaseSpec[] {
		return [...this.options.spec().databases, ...this.options.previousDatabases ?? []];
	}

	/** True if a database was fenced for a later list than this host has, so that this host must not act on the group. */
	get isListSuperseded(): boolean {
		return this.observations().some(({status}) => this.isLaterGeneration(newestTermOf(status)));
	}

	/** Starts to poll the databases. */
	start(): void {
		for (const databaseMonitor of this.databaseMonitors) {
			void databaseMonitor.pollPeriodically();
		}
	}

	/** Stops polling and closes the controls. Calls in progress fail. */
	close(): void {
		this.closeController.abort(this.noPrimaryError('the monitor of the group is closed'));
		for (const {control} of this.databaseMonitors) {
			control.close();
		}
	}

	state(): GroupState {
		const observations = this.observations();
		const primary = findPrimary(observations)?.status;
		const newestTerm = Math.max(0, ...observations.map(({status}) => status.followsTerm));
		const isPrimaryCurrent = primary !== undefined && primary.fencedTerm >= newestTerm && !this.isListSuperseded;
		const {newestConfirmedAtMs} = this.confirmedPositions;
		return {
			group: this.options.group,
			term: isPrimaryCurrent ? primary.fencedTerm : newestTerm,
			primary: isPrimaryCurrent ? primary.database : undefined,
			majorityPosition: primary ? this.majorityPosition(primary.fencedTerm) : zeroPosition,
			databases: this.databaseMonitors.map(databaseMonitor => this.viewOf(databaseMonitor)),
			confirmedAgeMs: newestConfirmedAtMs === undefined ? Number.POSITIVE_INFINITY : this.options.clock.nowMs() - newestConfirmedAtMs,
			reportedBy: this.options.host,
		};
	}

	async waitForMajority(position: LogPosition, timeoutMs: number, signal: AbortSignal): Promise<WaitResult> {
		if (this.options.spec().acknowledgement === 'primary' || !this.mechanisms.majorityWait) {
			return 'reached';
		}

		return this.waitUntilHeldByMajority(position, timeoutMs, signal);
	}

	/** Checks whether the databases of each majority that a generation needs have data that is at most this old. */
	isMajorityFresh(generation: number, maximumAgeMs: number): boolean {
		const freshMonitors = this.databaseMonitors.filter(({database, isReachable}) => isReachable && this.provenAgeMs(database) <= maximumAgeMs);
		const freshStatuses = freshMonitors.map(({latestObservation}) => latestObservation!.status);
		return this.quorumOfGeneration(generation).isMajority(this.eligibleStatuses(freshStatuses).map(({database}) => database));
	}

	/**
	 * Checks whether a change of the databases is in force: the primary has a term of the new list, which a majority of both lists has
	 * confirmed, so that no host with the list before the change can act any more, and both majorities hold the commits confirmed until then.
	 * @throws FailureError `notRun` if no primary is confirmed
	 */
	async isListInForce(timeoutMs: number, signal: AbortSignal): Promise<boolean> {
		const position = await this.commitPosition(signal);
		return generationOfTerm(position.term) === this.generation && await this.waitUntilHeldByMajority(position, timeoutMs, signal) === 'reached';
	}

	async commitPosition(signal: AbortSignal): Promise<LogPosition> {
		const callController = childSignal(signal, this.signal);
		try {
			return await this.commitPositionProbe.joinNextRun(callController.signal);
		} finally {
			callController.release();
		}
	}

	async waitForDatabase(database: string, position: LogPosition, timeoutMs: number, signal: AbortSignal): Promise<boolean> {
		const databaseMonitor = this.databaseMonitorOf(database);
		if (!databaseMonitor) {
			return false;
		}

		const isHeld = await this.waitForPosition({
			databaseMonitors: [databaseMonitor], position, timeoutMs, signal, evaluate: () => databaseMonitor.holds(position) ? true : undefined,
		});
		return isHeld ?? false;
	}

	provenAgeMs(database: string): number {
		const position = this.databaseMonitorOf(database)?.latestObservation?.status.position;
		return position ? this.confirmedPositions.ageUpperBoundMs(position, this.options.clock.nowMs()) : Number.POSITIVE_INFINITY;
	}

	promotions(): readonly PromotionRecord[] {
		return this.promotionRecords;
	}

	/** Stores the record of a promotion that this process attempted. */
	addPromotionRecord(record: PromotionRecord): void {
		this.promotionRecords.push(record);
		this.promotionRecords.splice(0, this.promotionRecords.length - maximumPromotionRecords);
		this.notifyListeners();
	}

	/** Calls a listener after each observation and promotion record until the signal aborts. */
	onChange(listener: () => void, signal: AbortSignal): void {
		this.listeners.add(listener);
		signal.addEventListener('abort', () => {
			this.listeners.delete(listener);
		}, {once: true});
	}

	databaseMonitorOf(database: string): DatabaseMonitor | undefined {
		return this.databaseMonitors.find(databaseMonitor => databaseMonitor.database === database);
	}

	/** Returns the newest observation of each database that has ever responded. */
	observations(): StatusObservation[] {
		return this.databaseMonitors.map(databaseMonitor => databaseMonitor.latestObservation).filter(observation => observation !== undefined);
	}

	/** Checks whether a database with this status counts towards a majority. */
	isEligibleForMajority(status: DatabaseStatus): boolean {
		return !this.mechanisms.stateRequired || hasState(status);
	}

	/** Returns the statuses that count towards a majority: those of databases with state, or all if the whole group is new. */
	eligibleStatuses(statuses: readonly DatabaseStatus[]): readonly DatabaseStatus[] {
		return isNewGroup(statuses, this.databaseMonitors.length) ? statuses : statuses.filter(status => this.isEligibleForMajority(status));
	}

	private eligibleObservations(observations: readonly StatusObservation[]): readonly StatusObservation[] {
		return observations.filter(({status}) => this.isEligibleForMajority(status));
	}

	private viewOf(databaseMonitor: DatabaseMonitor): DatabaseView {
		const status = databaseMonitor.latestObservation?.status;
		return {
			database: databaseMonitor.database,
			reachable: databaseMonitor.isReachable,
			role: status?.role ?? 'replica',
			fencedTerm: status?.fencedTerm ?? 0,
			position: status?.position ?? zeroPosition,
			provenAgeMs: this.provenAgeMs(databaseMonitor.database),
			silentMs: databaseMonitor.silentMs,
		};
	}

	private isLaterGeneration(term: number): boolean {
		return this.mechanisms.listGenerations && generationOfTerm(term) > this.generation;
	}

	private majorityPosition(term: number): LogPosition {
		const heldStatuses = this.observations().map(({status}) => status).filter(status => this.isEligibleForMajority(status) && status.position.term === term);
		const offsetBytes = this.quorumOfTerm(term).valueOfMajority(new Map(heldStatuses.map(({database, position}) => [database, position.offsetBytes])));
		return offsetBytes === undefined || this.isLaterGeneration(term) ? zeroPosition : {term, offsetBytes};
	}

	private async waitUntilHeldByMajority(position: LogPosition, timeoutMs: number, signal: AbortSignal): Promise<WaitResult> {
		const result = await this.waitForPosition({
			databaseMonitors: this.databaseMonitors, position, timeoutMs, signal, evaluate: () => this.majorityWaitResult(position),
		});
		return result ?? 'timeout';
	}

	private majorityWaitResult(position: LogPosition): 'reached' | 'superseded' | undefined {
		// A commit of a later list needs a majority of databases that this host may not know.
		if (this.isLaterGeneration(position.term)) {
			return 'superseded';
		}

		const databasesWith = (positionStatus: PositionStatus) =>
			this.databaseMonitors.filter(databaseMonitor => databaseMonitor.positionStatus(position) === positionStatus).map(({database}) => database);
		const quorum = this.quorumOfTerm(position.term);
		if (quorum.isMajority(databasesWith('held'))) {
			return 'reached';
		}

		return quorum.isMajorityPrevented(databasesWith('superseded')) ? 'superseded' : undefined;
	}

	private async waitForPosition<T>({databaseMonitors, position, timeoutMs, signal, evaluate}: PositionWaitOptions<T>): Promise<T | undefined> {
		const initialResult = evaluate();
		if (initialResult !== undefined) {
			return initialResult;
		}

		// Each wait has its own object, because two waits for an equal position end separately.
		const target = {...position};
		const waitController = childSignal(signal, this.signal);
		const result = waitUntil({
			clock: this.options.clock, timeoutMs, signal: waitController.signal, listeners: this.listeners, evaluate,
		});
		for (const databaseMonitor of databaseMonitors) {
			databaseMonitor.addAwaitedPosition(target);
		}

		try {
			return await result;
		} finally {
			for (const databaseMonitor of databaseMonitors) {
				databaseMonitor.removeAwaitedPosition(target);
			}

			waitController.release();
		}
	}

	private async probeCommitPosition(): Promise<LogPosition> {
		const observations: StatusObservation[] = [];
		const {signal, abort, release} = childSignal(this.signal);
		const findPosition = () => this.findConfirmedPosition(observations, this.mechanisms.majorityProbe)?.position;
		const responseListeners = new Set<() => void>();
		const result = waitUntil({
			clock: this.options.clock, timeoutMs: probeTimeoutMs, signal, listeners: responseListeners, evaluate: findPosition,
		});
		const polls = this.databaseMonitors.map(async databaseMonitor => {
			observations.push(await databaseMonitor.pollStatus(signal));
			for (const listener of responseListeners) {
				listener();
			}
		});
		void Promise.allSettled(polls);
		try {
			return await result ?? this.throwNoPrimary('no majority confirmed a primary within the time limit');
		} finally {
			abort();
			release();
		}
	}

	private findConfirmedPosition(observations: readonly StatusObservation[], isMajorityRequired: boolean): ConfirmedPosition | undefined {
		if (observations.some(({status}) => this.isLaterGeneration(newestTermOf(status)))) {
			return undefined;
		}

		return findConfirmedPosition(this.eligibleObservations(observations), term => this.quorumOfTerm(term), isMajorityRequired);
	}

	private throwNoPrimary(message: string): never {
		throw this.noPrimaryError(message);
	}

	private noPrimaryError(message: string): FailureError {
		return new FailureError({
			kind: 'notRun', reason: 'noPrimary', step: 'probe', peer: this.options.group, message,
		});
	}

	private handleObservation(): void {
		const sample = this.findConfirmedPosition(this.observations(), this.mechanisms.confirmedSamples);
		if (sample) {
			this.confirmedPositions.add(sample);
		}

		this.notifyListeners();
	}

	private notifyListeners(): void {
		for (const listener of this.listeners) {
			listener();
		}
	}
}

function namesOf(databases: readonly DatabaseSpec[]): ReadonlySet<string> {
	return new Set(databases.map(({name}) => name));
}

/** Maximum number of promotion records kept per group. */
const maximumPromotionRecords = 32;
