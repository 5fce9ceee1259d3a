import {
	type Clock, comparePositions, type Logger, type LogPosition,
} from '@crocusloom/model';
import {type RankPolicy} from '@crocusloom/work';
import {Backend, type BackendPorts} from './backend.js';
import {type CommitProof, CommitEvidence} from './commitEvidence.js';
import {freshnessMarginMs, CommitSamples} from './commitSamples.js';
import {type ConnectionShare, connectionShareFor} from './connectionShare.js';
import {
	probeStatus, type KnownPrimary, LeadershipProver, type ProofOutcome,
} from './leadershipProver.js';
import {type PooledConnection} from './pooledConnection.js';
import {type BackendServer, type ConfirmServers, type ServiceSpec} from './ports.js';
import {type ServerStatus} from './statement.js';

/** Minimum time between two searches for the primary. */
const minimumSearchIntervalMs = 100;
/** Time in which a server must answer a status probe of a search. */
const searchProbeTimeoutMs = 400;
/** A primary that this proxy had contact with within this time counts as reachable without a check. */
const recentContactMs = 250;
/** Minimum number of servers besides the primary for a sample that is taken without it. */
const minimumOthersForSample = 2;
/** Minimum time between two samples that are taken without the primary, as each of them asks service discovery. */
const otherSampleIntervalMs = 500;
/** Fraction of the freshness bound from which on the age of the newest sample triggers a new one, so that it is ready before the bound is exceeded. */
const refreshFraction = 0.5;

type Listener = () => void;

export type ViewPorts = BackendPorts & {
	/** Returns the number of hosts that share the servers' connections. */
	readonly hostCount: () => number;
	readonly confirmServers: ConfirmServers;
};

/** View of one service in this proxy: its servers, its primary and samples of its commit position. */
export class ServiceView {
	readonly samples = new CommitSamples();
	private readonly evidence = new CommitEvidence(this.samples);
	/** Called when the primary or the list of servers changes. */
	private readonly listeners = new Set<Listener>();
	private readonly backends = new Map<string, Backend>();
	/** Servers that are no longer listed and still have connections in use. */
	private readonly retiredBackends = new Set<Backend>();
	/** Listed servers that are known to have departed, because another server answers at their address. */
	private readonly replacedBackends = new Set<Backend>();
	private readonly prover: LeadershipProver;
	private primary: KnownPrimary | undefined;
	/** Last known primary; kept while the primary is unknown. */
	private lastPrimary: KnownPrimary | undefined;
	/** Highest term that any server has reported. */
	private highestTerm = 0;
	private runningSearch: Promise<void> | undefined;
	private lastSearchMs = Number.NEGATIVE_INFINITY;
	private runningRefresh: Promise<void> | undefined;
	private lastOtherSampleMs = Number.NEGATIVE_INFINITY;
	private ranks: readonly RankPolicy[] = [];
	private readonly clock: Clock;
	private readonly log: Logger;

	constructor(private spec: ServiceSpec, private readonly ports: ViewPorts) {
		this.clock = ports.clock;
		this.log = ports.log;
		this.prover = new LeadershipProver(
			() => this.primary && {primary: this.primary, others: this.listMembers().filter(backend => backend !== this.primary?.backend), syncReplicas: this.spec.syncReplicas},
			() => this.clock.nowMs(),
		);
	}

	get name(): string {
		return this.spec.name;
	}

	/** The primary, or undefined while it is unknown. */
	get currentPrimary(): KnownPrimary | undefined {
		return this.primary;
	}

	/** Checks whether the host of the primary, or of the last known primary, had contact with this proxy recently or accepts a connection. */
	async isPrimaryReachable(): Promise<boolean> {
		const backend = (this.primary ?? this.lastPrimary)?.backend;
		return backend !== undefined && (this.clock.nowMs() - backend.lastContactMs < recentContactMs || backend.isHostReachable());
	}

	/** Returns the servers that service discovery lists. */
	listBackends(): readonly Backend[] {
		return [...this.backends.values()];
	}

	/** Returns the listed servers that can hold commits: all but those that are gone, as another server answers at their address. */
	listMembers(): readonly Backend[] {
		return this.listBackends().filter(backend => !backend.isReplacedAtAddress);
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
		for (const backend of this.backends.values()) {
			backend.configure(backend.server, this.limits());
		}
	}

	/** Replaces the servers of the service by those that service discovery lists. */
	setServers(servers: readonly BackendServer[]): void {
		const listed = new Map(servers.map(server => [server.id, server]));
		for (const [id, backend] of this.backends) {
			if (!listed.has(id)) {
				this.removeBackend(backend);
			}
		}

		for (const server of servers) {
			this.addOrUpdate(server);
		}

		this.notifyListeners();
	}

	/** Maintains connections and searches for an unknown primary. Called at regular intervals. */
	maintain(): void {
		for (const backend of this.backends.values()) {
			backend.maintain(backend === this.primary?.backend ? 1 : 0);
		}

		this.maintainRetired();
		this.sampleAfterDepartures();
		if (!this.primary) {
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
		if (this.runningSearch) {
			return this.runningSearch;
		}

		if (this.clock.nowMs() - this.lastSearchMs < minimumSearchIntervalMs) {
			return;
		}

		this.lastSearchMs = this.clock.nowMs();
		this.runningSearch = this.probeForPrimary();
		try {
			await this.runningSearch;
		} finally {
			this.runningSearch = undefined;
		}
	}

	/** Discards the known primary, because an answer contradicts it, and searches for the new one. */
	invalidatePrimary(primary: KnownPrimary, reason: string): void {
		if (this.primary === primary) {
			this.log.warn({
				service: this.name, server: primary.backend.id, term: primary.term, reason,
			}, 'the known primary is in doubt');
			this.primary = undefined;
			this.lastSearchMs = Number.NEGATIVE_INFINITY;
		}

		void this.findPrimary();
	}

	/** Records that a server is the primary of a term, unless a newer term or a primary of this term is already known. */
	recordPrimary(backend: Backend, term: number): void {
		this.highestTerm = Math.max(this.highestTerm, term);
		if (term < this.highestTerm || (this.primary?.term ?? 0) >= term) {
			return;
		}

		this.log.info({
			service: this.name, server: backend.id, term, before: this.primary?.backend.id, beforeTerm: this.primary?.term,
		}, 'a primary is known');
		this.primary = {backend, term};
		this.lastPrimary = this.primary;
		this.samples.dropTermsBefore(term);
		this.notifyListeners();
	}

	/** Records the status that a server reports. */
	recordStatus(backend: Backend, status: ServerStatus): void {
		const {role, term, receivedPosition} = status;
		this.highestTerm = Math.max(this.highestTerm, term, receivedPosition.term);
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
		if (this.lastPrimary?.backend !== backend) {
			this.evidence.recordPromotedLog(position);
		}
	}

	/** Checks whether a log that ends at a position holds each acknowledged commit that a departed server may have taken with it. */
	checkCommits(position: LogPosition): CommitProof {
		this.recordReplacedServers();
		return this.spec.syncReplicas === 0 ? {kind: 'proven'} : this.evidence.check(position);
	}

	/**
	 * Proves that the primary had not been replaced at some time after this call. A successful proof also adds a sample.
	 * @param primary - the primary that the reader uses
	 * @param heldConnection - connection to the primary that the reader holds
	 */
	async prove(primary: KnownPrimary, heldConnection?: PooledConnection): Promise<ProofOutcome> {
		const outcome = await this.prover.prove(primary, heldConnection);
		if (outcome.kind === 'leads') {
			this.samples.add(outcome.startedMs, outcome.position);
			this.evidence.recordSample({takenMs: outcome.startedMs, position: outcome.position});
		} else if (outcome.kind === 'replaced') {
			this.invalidatePrimary(primary, 'a server knows a newer term');
		}

		return outcome;
	}

	/**
	 * Returns the minimum position for a read with a freshness bound.
	 * @param arrivedMs - arrival time of the read
	 * @param maxAgeMs - maximum age of the data in milliseconds
	 * @returns undefined if no position can be determined at present
	 */
	async minimumPositionFor(arrivedMs: number, maxAgeMs: number): Promise<LogPosition | undefined> {
		const oldestMs = arrivedMs - maxAgeMs + freshnessMarginMs;
		if (this.samples.newestSampleMs < arrivedMs - (maxAgeMs * refreshFraction)) {
			void this.refreshSamples();
		}

		const sample = this.samples.oldestSampleSince(oldestMs);
		if (sample) {
			return sample.position;
		}

		await this.refreshSamples();
		return this.samples.oldestSampleSince(oldestMs)?.position;
	}

	/** True while a server that takes no new work still has connections in use. */
	get hasRunningWork(): boolean {
		return this.retiredBackends.size > 0;
	}

	/** Takes no new work, because the service is no longer configured, and lets running work end by itself. */
	retire(): void {
		for (const backend of this.listBackends()) {
			this.removeBackend(backend);
		}
	}

	/** Maintains the connections of servers that take no new work, until the last one is closed. */
	maintainRetired(): void {
		for (const backend of this.retiredBackends) {
			backend.maintain(0);
			if (backend.pool.openCount === 0) {
				this.retiredBackends.delete(backend);
			}
		}
	}

	close(): void {
		for (const backend of [...this.listBackends(), ...this.retiredBackends]) {
			backend.close();
		}
	}

	private limits(): {readonly connections: ConnectionShare; readonly ranks: readonly RankPolicy[]} {
		return {connections: connectionShareFor(this.spec.maxConnections, this.ports.hostCount()), ranks: this.ranks};
	}

	/** Removes a server that is no longer listed. Its entry may only have lapsed, so the work that it is running goes on. */
	private removeBackend(backend: Backend): void {
		this.recordDeparture(backend, backend.server.missingSinceMs ?? this.clock.nowMs());
		this.forget(backend);
		backend.retire();
		this.retiredBackends.add(backend);
		this.log.info({service: this.name, server: backend.id, connectionsInUse: backend.pool.openCount}, 'a backend server is no longer listed');
	}

	/**
	 * Records that a server departed with its log. A primary has no commit alone, except those with which it was promoted, and an entry
	 * that never had a server has none.
	 */
	private recordDeparture(backend: Backend, sinceMs: number): void {
		if (backend !== this.lastPrimary?.backend && !backend.isUnconfirmed && !this.replacedBackends.has(backend)) {
			this.evidence.recordDeparture(backend.id, sinceMs);
		}
	}

	private recordReplacedServers(): void {
		for (const backend of this.backends.values()) {
			if (backend.isReplacedAtAddress && backend.isConfirmed && !this.replacedBackends.has(backend)) {
				this.recordDeparture(backend, this.clock.nowMs());
				this.replacedBackends.add(backend);
			}
		}
	}

	/** Asks the primary for its position if a server has departed since the last sample, because the primary may fail before a read asks. */
	private sampleAfterDepartures(): void {
		this.recordReplacedServers();
		const hasMissingServer = this.listBackends().some(({server}) => (server.missingSinceMs ?? Number.NEGATIVE_INFINITY) > this.samples.newestSampleMs);
		if (this.primary && !this.primary.backend.isSuspected && (hasMissingServer || this.evidence.hasUnresolvedDepartures)) {
			void this.refreshSamples();
		}
	}

	private forget(backend: Backend): void {
		this.backends.delete(backend.id);
		this.replacedBackends.delete(backend);
		if (this.primary?.backend === backend) {
			this.primary = undefined;
		}
	}

	private addOrUpdate(server: BackendServer): void {
		const existing = this.backends.get(server.id);
		if (existing?.server.startedAtMs === server.startedAtMs && existing.server.address === server.address) {
			this.updateBackend(existing, server);
			return;
		}

		if (existing) {
			// The earlier process of the server is gone, and its work with it.
			this.recordDeparture(existing, this.clock.nowMs());
			this.forget(existing);
			existing.close();
		}

		this.backends.set(server.id, new Backend(server, this.limits(), this.ports));
		this.log.info({
			service: this.name, server: server.id, address: server.address, failureDomain: server.failureDomain, role: server.role, leaving: server.isLeaving, restarted: existing !== undefined,
		}, 'a backend server is listed');
	}

	private updateBackend(backend: Backend, server: BackendServer): void {
		const previous = backend.server;
		backend.configure(server, this.limits());
		if (server.isLeaving !== previous.isLeaving || server.role !== previous.role) {
			this.log.info({
				service: this.name, server: server.id, role: server.role, roleBefore: previous.role, leaving: server.isLeaving, revision: server.revision,
			}, 'a backend server changed its state');
		}

		if (server.role === 'primary' && previous.role !== 'primary' && this.primary?.backend !== backend) {
			this.lastSearchMs = Number.NEGATIVE_INFINITY;
			void this.findPrimary();
		}
	}

	/**
	 * If exactly one server other than the last known primary claims to be the primary, probes it first. Probes all servers if
	 * the primary is still unknown.
	 */
	private async probeForPrimary(): Promise<void> {
		const [claimant, ...otherClaimants] = this.listBackends().filter(backend => backend.server.role === 'primary' && backend !== this.lastPrimary?.backend && !backend.isSuspected);
		if (claimant && otherClaimants.length === 0) {
			await this.probeBackend(claimant);
		}

		if (!this.primary) {
			await Promise.all(this.listBackends().map(async backend => this.probeBackend(backend)));
		}
	}

	private async probeBackend(backend: Backend): Promise<void> {
		const status = await probeStatus(backend, searchProbeTimeoutMs);
		if (status) {
			this.recordStatus(backend, status);
		}
	}

	private async refreshSamples(): Promise<void> {
		this.runningRefresh ??= this.takeSample().finally(() => {
			this.runningRefresh = undefined;
		});
		return this.runningRefresh;
	}

	/**
	 * Adds a sample of the commit position. Without a primary, the newest position received by any of the other servers covers
	 * every acknowledged commit, provided that all of them answer, that none departed with commits which they lack, and that
	 * service discovery confirms that there is no further one: a server that joined unseen may have acknowledged commits alone.
	 */
	private async takeSample(): Promise<void> {
		const primary = this.lastPrimary;
		const outcome = primary && primary === this.primary ? await this.prove(primary) : undefined;
		if (outcome?.kind === 'leads') {
			return;
		}

		const startedMs = this.clock.nowMs();
		if (!primary || startedMs - this.lastOtherSampleMs < otherSampleIntervalMs) {
			return;
		}

		this.lastOtherSampleMs = startedMs;
		if (!await this.ports.confirmServers()) {
			return;
		}

		const others = this.listMembers().filter(backend => backend !== primary.backend);
		const statuses = await Promise.all(others.map(async backend => probeStatus(backend)));
		if (others.length < minimumOthersForSample || statuses.includes(undefined)) {
			return;
		}

		const [newestPosition] = statuses.map(status => status!.receivedPosition).toSorted((a, b) => comparePositions(b, a));
		if (this.checkCommits(newestPosition!).kind === 'proven') {
			this.samples.add(startedMs, newestPosition!);
		}
	}

	private notifyListeners(): void {
		for (const listener of this.listeners) {
			listener();
		}
	}
}
