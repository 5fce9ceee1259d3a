import {
	type Clock, type ClockContinuity, type Logger, type LogPosition,
} from '@crocusloom/model';
import {type RankPolicy} from '@crocusloom/work';
import {type CommitConfirmation, CommitConfirmer} from '../commits/commitConfirmation.js';
import {type AcknowledgedCommit, type ConfirmationMembership} from '../commits/confirmationRules.js';
import {type CommitProof} from '../commits/commitEvidence.js';
import {CommitHistory} from '../commits/commitHistory.js';
import {type CommitSamples} from '../commits/commitSamples.js';
import {CommitWitnesses, type WitnessPorts} from '../commits/commitWitnesses.js';
import {connectionShareFor} from '../connections/connectionShare.js';
import {type PooledConnection} from '../connections/pooledConnection.js';
import {
	type BackendServer, type ConfirmServers, type IsNamedInOrder, type ServiceSpec,
} from '../ports.js';
import {type ServerStatus} from '../statements/statement.js';
import {type ServiceRecord, type ServiceRecords} from './serviceRecords.js';
import {ServiceBackends} from './serviceBackends.js';
import {PrimarySearch} from './primarySearch.js';
import {type KnownPrimary, LeadershipProver, type ProofOutcome} from './leadershipProver.js';
import {type Backend, type BackendLimits, type BackendPorts} from './backend.js';

/** A primary that this proxy had contact with within this time counts as reachable without a check. */
const recentContactMs = 250;

type Listener = () => void;

export type ViewPorts = BackendPorts & Omit<WitnessPorts, 'isRecordedAsReached'> & {
	/** Returns the number of hosts that share the servers' connections. */
	readonly hostCount: () => number;
	readonly confirmServers: ConfirmServers;
	readonly isNamedInOrder: IsNamedInOrder;
	readonly serviceRecords: ServiceRecords;
	readonly continuity: ClockContinuity;
};

/** View of one service in this proxy: its servers, its primary and its commits. */
export class ServiceView {
	/** Called when the primary or the list of servers changes. */
	private readonly listeners = new Set<Listener>();
	private readonly backends: ServiceBackends;
	/** Members when the service was removed from the configuration; undefined while it is configured. */
	private lastMembers: readonly Backend[] | undefined;
	private readonly prover: LeadershipProver;
	private readonly witnesses: CommitWitnesses;
	private readonly confirmer: CommitConfirmer;
	private readonly search: PrimarySearch;
	private readonly commits: CommitHistory;
	private ranks: readonly RankPolicy[] = [];
	private readonly clock: Clock;
	private readonly log: Logger;

	constructor(private spec: ServiceSpec, private readonly ports: ViewPorts) {
		this.clock = ports.clock;
		this.log = ports.log;
		this.backends = this.createBackends();
		this.search = this.createSearch();
		this.witnesses = new CommitWitnesses({...ports, isRecordedAsReached: id => this.isRecordedAsReached(id)});
		this.confirmer = new CommitConfirmer(() => this.confirmationMembership(), ports.clock);
		this.prover = new LeadershipProver(
			() => this.currentPrimary && {primary: this.currentPrimary, others: this.listMembers().filter(backend => backend !== this.currentPrimary?.backend), syncReplicas: this.spec.syncReplicas},
			() => this.clock.nowMs(),
		);
		this.commits = this.createCommitHistory();
	}

	get name(): string {
		return this.spec.name;
	}

	/** The primary, or undefined while it is unknown. */
	get currentPrimary(): KnownPrimary | undefined {
		return this.search.primary;
	}

	/** Highest term that any server has reported. */
	get newestTerm(): number {
		return this.search.newestTerm;
	}

	/** What holders of the promotion lease have recorded for all hosts. It is as old as the list of servers. */
	get record(): ServiceRecord {
		return this.ports.serviceRecords.recordOf(this.name);
	}

	/** True if the platform has lost a part of the record, which has to be written again. */
	get isRecordPartlyLost(): boolean {
		return this.ports.serviceRecords.isPartlyLost(this.name);
	}

	/** Reads the record from the platform. Returns undefined if it does not answer. */
	async readRecord(signal: AbortSignal): Promise<ServiceRecord | undefined> {
		return this.ports.serviceRecords.read(this.name, signal);
	}

	/**
	 * Changes the record while this process holds the promotion lease.
	 * @returns false if the lease is lost or the platform does not answer; the change may be made all the same
	 */
	async changeRecord(change: (record: ServiceRecord) => ServiceRecord, token: number, signal: AbortSignal): Promise<boolean> {
		return this.ports.serviceRecords.change(this.name, change, token, signal);
	}

	/** Checks whether the host of the primary, or of the last known primary, had contact with this proxy recently or accepts a connection. */
	async isPrimaryReachable(): Promise<boolean> {
		const backend = (this.search.primary ?? this.search.lastPrimary)?.backend;
		return backend !== undefined && (this.clock.nowMs() - backend.lastContactMs < recentContactMs || backend.isHostReachable());
	}

	/** Returns the servers that service discovery lists. */
	listBackends(): readonly Backend[] {
		return this.backends.list();
	}

	/** Returns the listed servers that can hold commits: all but those that are gone, as another server answers at their address. */
	listMembers(): readonly Backend[] {
		return this.listBackends().filter(backend => !backend.isReplacedAtAddress);
	}

	/** Asks service discovery whether the list has each server that was registered before the call. */
	async areAllServersListed(): Promise<boolean> {
		return this.ports.confirmServers();
	}

	/** Samples of the commit position. */
	get samples(): CommitSamples {
		return this.commits.samples;
	}

	/** Number of replicas that must receive a commit before it is acknowledged. */
	get syncReplicas(): number {
		return this.spec.syncReplicas;
	}

	/** Applies a changed configuration. */
	configure(spec: ServiceSpec, ranks: readonly RankPolicy[]): void {
		this.spec = spec;
		this.ranks = ranks;
		this.applyLimits();
	}

	/** Recomputes the connection shares after the configuration or the number of hosts changed. */
	applyLimits(): void {
		this.backends.applyLimits();
	}

	/** Replaces the servers of the service by those that service discovery lists. */
	setServers(servers: readonly BackendServer[]): void {
		this.backends.setServers(servers);
		this.notifyListeners();
	}

	/** Maintains connections and searches for an unknown primary. Called at regular intervals. */
	maintain(): void {
		for (const backend of this.listBackends()) {
			backend.maintain(backend === this.search.primary?.backend ? 1 : 0);
		}

		this.maintainRetired();
		this.commits.maintain();
		if (!this.search.primary) {
			void this.findPrimary();
		}
	}

	/**
	 * Registers a listener for changes of the primary or of the list of servers.
	 * @returns a function that removes the listener
	 */
	onChange(listener: Listener): () => void {
		this.listeners.add(listener);
		return () => {
			this.listeners.delete(listener);
		};
	}

	/**
	 * Searches for the primary among all servers. Joins a search that is already running, and does nothing if the last search
	 * started less than the minimum interval ago.
	 */
	async findPrimary(): Promise<void> {
		return this.search.find();
	}

	/** Discards the known primary, because an answer contradicts it, and searches for the new one. */
	invalidatePrimary(primary: KnownPrimary, reason: string): void {
		this.search.invalidate(primary, reason);
	}

	/** Records that a server is the primary of a term, unless a newer term or a primary of this term is already known. */
	recordPrimary(backend: Backend, term: number): void {
		this.search.recordPrimary(backend, term);
	}

	/** Records the status that a server reports. */
	recordStatus(backend: Backend, status: ServerStatus): void {
		const {role, term, receivedPosition} = status;
		this.search.recordTerm(Math.max(term, receivedPosition.term));
		if (role !== 'primary') {
			return;
		}

		if (receivedPosition.term < term) {
			this.recordPromotedLog(backend, receivedPosition);
		}

		this.recordPrimary(backend, term);
	}

	/** Records the log with which a server is promoted. A server that was the primary before acknowledged nothing as a replica since then. */
	recordPromotedLog(backend: Backend, position: LogPosition): void {
		this.commits.recordPromotedLog(backend, position);
	}

	/** Checks whether a log that ends at a position holds each acknowledged commit that a departed server may have taken with it. */
	checkCommits(position: LogPosition): CommitProof {
		return this.commits.check(position);
	}

	/**
	 * Proves that the primary had not been replaced at some time after this call. A successful proof also adds a sample.
	 * @param primary - the primary that the reader uses
	 * @param heldConnection - connection to the primary that the reader holds
	 */
	async prove(primary: KnownPrimary, heldConnection?: PooledConnection): Promise<ProofOutcome> {
		const outcome = await this.prover.prove(primary, heldConnection);
		if (outcome.kind === 'leads') {
			this.commits.recordSample({takenMs: outcome.startedMs, position: outcome.position});
		} else if (outcome.kind === 'replaced') {
			this.invalidatePrimary(primary, 'a server knows a newer term');
		}

		return outcome;
	}

	/**
	 * Waits until no promotion can lose a commit that the primary acknowledged.
	 * @param commit - position of the primary after the commit, and the server that acknowledged it
	 * @param timeoutMs - longest wait in milliseconds
	 */
	async confirmCommit(commit: AcknowledgedCommit, timeoutMs: number): Promise<CommitConfirmation> {
		return this.confirmer.confirm(commit, timeoutMs);
	}

	/**
	 * Returns the minimum position for a read with a freshness bound.
	 * @param arrivedMs - arrival time of the read
	 * @param maxAgeMs - maximum age of the data in milliseconds
	 * @param waitLimitMs - longest wait for a new sample in milliseconds
	 * @returns undefined if no position can be determined at present
	 */
	async minimumPositionFor(arrivedMs: number, maxAgeMs: number, waitLimitMs: number): Promise<LogPosition | undefined> {
		return this.commits.minimumPositionFor(arrivedMs, maxAgeMs, waitLimitMs);
	}

	/** True while a server that takes no new work still has connections in use. */
	get hasRunningWork(): boolean {
		return this.backends.hasRunningWork;
	}

	/** Takes no new work, because the service is no longer configured, and lets running work end by itself. */
	retire(): void {
		this.lastMembers = this.listMembers();
		this.backends.retire();
	}

	/** Maintains the connections of servers that take no new work, until the last one is closed. */
	maintainRetired(): void {
		this.backends.maintainRetired();
	}

	close(): void {
		this.backends.close();
	}

	private createBackends(): ServiceBackends {
		return new ServiceBackends({
			...this.ports,
			service: this.name,
			limits: () => this.limits(),
			onPosition: () => {
				this.confirmer.recordProgress();
			},
			onInitial: backend => {
				this.witnesses.recordInitial(backend);
			},
			onRemoved: (backend, sinceMs) => {
				this.commits.recordRemoved(backend, sinceMs);
				this.search.forget(backend);
			},
			onPrimaryClaim: backend => {
				if (this.search.primary?.backend !== backend) {
					this.search.findAtOnce();
				}
			},
		});
	}

	private createSearch(): PrimarySearch {
		return new PrimarySearch({
			service: this.name,
			listBackends: () => this.listBackends(),
			recordStatus: (backend, status) => {
				this.recordStatus(backend, status);
			},
			onPrimary: ({term}) => {
				this.samples.dropTermsBefore(term);
				this.notifyListeners();
			},
			clock: this.clock,
			log: this.log,
		});
	}

	private createCommitHistory(): CommitHistory {
		return new CommitHistory({
			...this.ports,
			primary: () => this.currentPrimary,
			lastPrimary: () => this.search.lastPrimary,
			isRecordedAsReached: id => this.isRecordedAsReached(id),
			listBackends: () => this.listBackends(),
			listMembers: () => this.listMembers(),
			syncReplicas: () => this.spec.syncReplicas,
			prove: async primary => this.prove(primary),
		});
	}

	private confirmationMembership(): ConfirmationMembership {
		const primary = this.search.lastPrimary?.backend;
		const members = (this.lastMembers ?? this.listMembers()).filter(backend => backend !== primary);
		return {
			primary,
			members,
			witnesses: this.witnesses.select(members),
			ordered: members.filter(({id}) => this.ports.isNamedInOrder(this.name, id)),
			syncReplicas: this.spec.syncReplicas,
			newestTerm: Math.max(this.search.newestTerm, this.record.term),
		};
	}

	private limits(): BackendLimits {
		return {connections: connectionShareFor(this.spec.maxConnections, this.ports.hostCount()), ranks: this.ranks};
	}

	private isRecordedAsReached(serverId: string): boolean {
		return this.record.reachedServers.includes(serverId);
	}

	private notifyListeners(): void {
		for (const listener of this.listeners) {
			listener();
		}
	}
}
