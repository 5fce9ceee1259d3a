import {setMaxListeners} from 'node:events';
import {
	childSignal, type Clock, type DatabaseControl, type DatabaseGroupSpec, type DatabaseStatus, type DatabaseView, FailureError, type GroupState, type GroupView, type LogPosition,
	type PromotionRecord, type WaitResult, zeroPosition,
} from '@crocusloom/model';
import {AgeSamples} from './ageSamples.js';
import {
	confirmedPosition, findLeader, hasState, isNewGroup, majorityOf, type Observation,
} from './confirmation.js';
import {DatabaseWatch} from './databaseWatch.js';
import {allMechanisms, type Mechanisms} from './mechanisms.js';
import {SharedProbe} from './sharedProbe.js';
import {probeLimitMs} from './timing.js';
import {waitUntil} from './waitUntil.js';

export type GroupMonitorOptions = {
	readonly group: string;
	/** Name of this host, for the states that peers receive. */
	readonly host: string;
	readonly clock: Clock;
	/** One control of each database of the group; the monitor closes them. */
	readonly controls: readonly DatabaseControl[];
	/** The group's resource now in force. */
	readonly spec: () => DatabaseGroupSpec;
	/** Tests only. */
	readonly mechanisms?: Mechanisms;
};

type PositionWait<T> = {
	readonly watches: readonly DatabaseWatch[];
	readonly position: LogPosition;
	readonly timeoutMs: number;
	readonly signal: AbortSignal;
	readonly settle: () => T | undefined;
};

/** Watches all databases of one group and answers what may be acknowledged, read and promoted. */
export class GroupMonitor implements GroupView {
	readonly watches: readonly DatabaseWatch[];
	readonly mechanisms: Mechanisms;
	private readonly samples = new AgeSamples();
	private readonly listeners = new Set<() => void>();
	private readonly records: PromotionRecord[] = [];
	private readonly lifetime = new AbortController();
	private readonly probe: SharedProbe<LogPosition>;

	constructor(readonly options: GroupMonitorOptions) {
		// Each sleeping loop and each call listens.
		setMaxListeners(0, this.signal);
		this.mechanisms = options.mechanisms ?? allMechanisms;
		this.watches = options.controls.map(control => new DatabaseWatch(control, options.clock, () => {
			this.takeObservations();
		}, this.signal));
		this.probe = new SharedProbe(options.clock, async () => this.probeOnce());
	}

	/** Aborts when the monitor is closed. */
	get signal(): AbortSignal {
		return this.lifetime.signal;
	}

	/** Databases that make a majority. */
	get majority(): number {
		return majorityOf(this.watches.length);
	}

	/** Starts polling. */
	start(): void {
		for (const watch of this.watches) {
			void watch.poll();
		}
	}

	/** Stops polling and closes the controls; calls in progress fail. */
	close(): void {
		this.lifetime.abort(this.noAnswer('the monitor of the group is closed'));
		for (const {control} of this.watches) {
			control.close();
		}
	}

	state(): GroupState {
		const observations = this.observations();
		const leader = findLeader(observations)?.status;
		const newestTerm = Math.max(0, ...observations.map(({status}) => status.followsTerm));
		const isCurrent = leader !== undefined && leader.fencedTerm >= newestTerm;
		const {newestAtMs} = this.samples;
		return {
			group: this.options.group,
			term: isCurrent ? leader.fencedTerm : newestTerm,
			primary: isCurrent ? leader.database : undefined,
			majorityPosition: leader ? this.majorityPosition(leader.fencedTerm) : zeroPosition,
			databases: this.watches.map(watch => this.viewOf(watch)),
			confirmedAgeMs: newestAtMs === undefined ? Number.POSITIVE_INFINITY : this.options.clock.nowMs() - newestAtMs,
			reportedBy: this.options.host,
		};
	}

	async waitForMajority(position: LogPosition, timeoutMs: number, signal: AbortSignal): Promise<WaitResult> {
		if (this.options.spec().acknowledgement === 'primary' || !this.mechanisms.majorityWait) {
			return 'reached';
		}

		const verdict = await this.waitOn({
			watches: this.watches, position, timeoutMs, signal, settle: () => this.majorityVerdict(position),
		});
		return verdict ?? 'timeout';
	}

	async commitPosition(signal: AbortSignal): Promise<LogPosition> {
		const owned = childSignal(signal, this.signal);
		try {
			return await this.probe.ask(owned.signal);
		} finally {
			owned.release();
		}
	}

	async waitForDatabase(database: string, position: LogPosition, timeoutMs: number, signal: AbortSignal): Promise<boolean> {
		const watch = this.watchOf(database);
		if (!watch) {
			return false;
		}

		const isHeld = await this.waitOn({
			watches: [watch], position, timeoutMs, signal, settle: () => watch.holds(position) ? true : undefined,
		});
		return isHeld ?? false;
	}

	provenAgeMs(database: string): number {
		const position = this.watchOf(database)?.latest?.status.position;
		return position ? this.samples.ageMs(position, this.options.clock.nowMs()) : Number.POSITIVE_INFINITY;
	}

	promotions(): readonly PromotionRecord[] {
		return this.records;
	}

	/** Keeps the record of a promotion that this process attempted. */
	addPromotion(record: PromotionRecord): void {
		this.records.push(record);
		this.records.splice(0, this.records.length - maximumRecords);
		this.notifyListeners();
	}

	/** Calls a listener after each observation, until the signal aborts. */
	onChange(listener: () => void, signal: AbortSignal): void {
		this.listeners.add(listener);
		signal.addEventListener('abort', () => {
			this.listeners.delete(listener);
		}, {once: true});
	}

	watchOf(database: string): DatabaseWatch | undefined {
		return this.watches.find(watch => watch.database === database);
	}

	/** Newest observation of each database that ever answered. */
	observations(): Observation[] {
		return this.watches.map(watch => watch.latest).filter(observation => observation !== undefined);
	}

	/** Tells whether a status counts towards a majority. */
	counts(status: DatabaseStatus): boolean {
		return !this.mechanisms.stateRequired || hasState(status);
	}

	/** The statuses that count towards a majority: those of databases with state, or all if the whole group is new. */
	countable(statuses: readonly DatabaseStatus[]): readonly DatabaseStatus[] {
		return isNewGroup(statuses, this.watches.length) ? statuses : statuses.filter(status => this.counts(status));
	}

	private countableObservations(observations: readonly Observation[]): readonly Observation[] {
		return observations.filter(({status}) => this.counts(status));
	}

	private viewOf(watch: DatabaseWatch): DatabaseView {
		const status = watch.latest?.status;
		return {
			database: watch.database,
			reachable: watch.reachable,
			role: status?.role ?? 'replica',
			fencedTerm: status?.fencedTerm ?? 0,
			position: status?.position ?? zeroPosition,
			provenAgeMs: this.provenAgeMs(watch.database),
			silentMs: watch.silentMs,
		};
	}

	private majorityPosition(term: number): LogPosition {
		const offsets = this.watches.map(({latest}) => latest?.status)
			.map(status => status && this.counts(status) && status.position.term === term ? status.position.offsetBytes : -1)
			.toSorted((a, b) => b - a);
		const offsetBytes = offsets[this.majority - 1]!;
		return offsetBytes < 0 ? zeroPosition : {term, offsetBytes};
	}

	private majorityVerdict(position: LogPosition): 'reached' | 'superseded' | undefined {
		const verdicts = this.watches.map(watch => watch.verdict(position));
		if (verdicts.filter(verdict => verdict === 'held').length >= this.majority) {
			return 'reached';
		}

		const superseded = verdicts.filter(verdict => verdict === 'superseded').length;
		return superseded > this.watches.length - this.majority ? 'superseded' : undefined;
	}

	private async waitOn<T>({watches, position, timeoutMs, signal, settle}: PositionWait<T>): Promise<T | undefined> {
		const known = settle();
		if (known !== undefined) {
			return known;
		}

		// A fresh object for each wait, because two waits for one position end separately.
		const target = {...position};
		const owned = childSignal(signal, this.signal);
		const result = waitUntil({
			clock: this.options.clock, limitMs: timeoutMs, signal: owned.signal, listeners: this.listeners, settle,
		});
		for (const watch of watches) {
			watch.want(target);
		}

		try {
			return await result;
		} finally {
			for (const watch of watches) {
				watch.unwant(target);
			}

			owned.release();
		}
	}

	private async probeOnce(): Promise<LogPosition> {
		const observations: Observation[] = [];
		const {signal, abort, release} = childSignal(this.signal);
		const found = () => confirmedPosition(this.countableObservations(observations), this.watches.length, this.mechanisms.majorityProbe)?.position;
		const arrivals = new Set<() => void>();
		const result = waitUntil({
			clock: this.options.clock, limitMs: probeLimitMs, signal, listeners: arrivals, settle: found,
		});
		const asked = this.watches.map(async watch => {
			observations.push(await watch.ask(signal));
			for (const arrival of arrivals) {
				arrival();
			}
		});
		void Promise.allSettled(asked);
		try {
			return await result ?? this.refuse('no majority confirmed a primary within the time limit');
		} finally {
			abort();
			release();
		}
	}

	private refuse(message: string): never {
		throw this.noAnswer(message);
	}

	private noAnswer(message: string): FailureError {
		return new FailureError({
			kind: 'notRun', reason: 'noPrimary', step: 'probe', peer: this.options.group, message,
		});
	}

	private takeObservations(): void {
		const sample = confirmedPosition(this.countableObservations(this.observations()), this.watches.length, this.mechanisms.confirmedSamples);
		if (sample) {
			this.samples.add(sample);
		}

		this.notifyListeners();
	}

	private notifyListeners(): void {
		for (const listener of this.listeners) {
			listener();
		}
	}
}

/** Promotion records kept of one group. */
const maximumRecords = 32;
