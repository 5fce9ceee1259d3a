import {
	type Clock, comparePositions, type Logger, type LogPosition,
} from '@crocusloom/model';
import {type RankPolicy} from '@crocusloom/work';
import {Backend, type BackendPorts} from './backend.js';
import {boundMarginMs, CommitSamples} from './commitSamples.js';
import {type ConnectionShare, shareOf} from './connectionShare.js';
import {
	askStatus, type Lead, LeadProof, type ProofOutcome,
} from './leadProof.js';
import {type PooledConnection} from './pooledConnection.js';
import {type BackendServer, type ServiceSpec} from './ports.js';
import {type ServerStatus} from './statement.js';

/** Least time between two searches for the primary. */
const searchSpacingMs = 100;
/** Time that a caller of the search waits for a better answer. */
const statusLimitMs = 400;
/** A primary that answered in this time is not tried again for a check of its reachability. */
const heardMs = 250;
/** Servers besides the primary that a sample without the primary needs. */
const leastOthersForSample = 2;
/** A freshness bound is met from samples of this age on, so that the next sample comes before the bound is reached. */
const refreshShare = 0.5;

type Listener = () => void;

export type ViewPorts = BackendPorts & {
	/** Hosts that share the servers' connections. */
	readonly hostCount: () => number;
};

/** What this proxy knows of one service: its servers, its primary and the positions of its commits. */
export class ServiceView {
	readonly samples = new CommitSamples();
	/** Settles when the primary or the servers change, for those that wait. */
	private readonly listeners = new Set<Listener>();
	private readonly backends = new Map<string, Backend>();
	private readonly proof: LeadProof;
	private lead: Lead | undefined;
	/** The last known primary, also while it is in doubt. */
	private lastLead: Lead | undefined;
	/** Highest term that any server has reported. */
	private highestTerm = 0;
	private search: Promise<void> | undefined;
	private searchedMs = Number.NEGATIVE_INFINITY;
	private refresh: Promise<void> | undefined;
	private ranks: readonly RankPolicy[] = [];
	private readonly clock: Clock;
	private readonly log: Logger;

	constructor(private spec: ServiceSpec, private readonly ports: ViewPorts) {
		this.clock = ports.clock;
		this.log = ports.log;
		this.proof = new LeadProof(
			() => this.lead && {lead: this.lead, others: this.listed().filter(backend => backend !== this.lead?.backend), syncReplicas: this.spec.syncReplicas},
			() => this.clock.nowMs(),
		);
	}

	get name(): string {
		return this.spec.name;
	}

	/** The primary, as far as it is known. */
	get currentLead(): Lead | undefined {
		return this.lead;
	}

	/** Tells whether the host of the primary, or of the last known one, answers or accepts a connection. */
	async isPrimaryReachable(): Promise<boolean> {
		const backend = (this.lead ?? this.lastLead)?.backend;
		return backend !== undefined && (this.clock.nowMs() - backend.lastHeardMs < heardMs || backend.reach());
	}

	/** Servers that discovery lists. */
	listed(): readonly Backend[] {
		return [...this.backends.values()];
	}

	/** Puts a changed configuration in force. */
	configure(spec: ServiceSpec, ranks: readonly RankPolicy[]): void {
		this.spec = spec;
		this.ranks = ranks;
		this.applyLimits();
	}

	/** Divides the servers' connections anew, because the configuration or the number of hosts changed. */
	applyLimits(): void {
		for (const backend of this.backends.values()) {
			backend.configure(backend.server, this.limits());
		}
	}

	/** Takes over the service's servers as discovery lists them. */
	setServers(servers: readonly BackendServer[]): void {
		const listed = new Map(servers.map(server => [server.id, server]));
		for (const [id, backend] of this.backends) {
			if (!listed.has(id)) {
				this.remove(backend);
			}
		}

		for (const server of servers) {
			this.put(server);
		}

		this.notify();
	}

	/** Sees to connections and to an unknown primary; called at regular intervals. */
	maintain(): void {
		for (const backend of this.backends.values()) {
			backend.maintain(backend === this.lead?.backend ? 1 : 0);
		}

		if (!this.lead) {
			void this.findLead();
		}
	}

	/**
	 * Calls a listener at each change of the primary or of the servers.
	 * @returns a function that ends this
	 */
	onChange(listener: Listener): () => void {
		this.listeners.add(listener);
		return () => {
			this.listeners.delete(listener);
		};
	}

	/**
	 * Searches for the primary among all servers.
	 * @returns when the search that runs or starts now has ended
	 */
	async findLead(): Promise<void> {
		if (this.search) {
			return this.search;
		}

		if (this.clock.nowMs() - this.searchedMs < searchSpacingMs) {
			return;
		}

		this.searchedMs = this.clock.nowMs();
		this.search = this.askAll();
		try {
			await this.search;
		} finally {
			this.search = undefined;
		}
	}

	/** Drops the known primary, because an answer contradicts it, and searches for the new one. */
	doubtLead(lead: Lead, reason: string): void {
		if (this.lead === lead) {
			this.log.warn({
				service: this.name, server: lead.backend.id, term: lead.term, reason,
			}, 'the known primary is in doubt');
			this.lead = undefined;
			this.searchedMs = Number.NEGATIVE_INFINITY;
		}

		void this.findLead();
	}

	/** Notes that a server leads a term, as its status or a promotion says. */
	noteLead(backend: Backend, term: number): void {
		this.highestTerm = Math.max(this.highestTerm, term);
		if (term < this.highestTerm || (this.lead?.term ?? 0) >= term) {
			return;
		}

		this.log.info({
			service: this.name, server: backend.id, term, before: this.lead?.backend.id, beforeTerm: this.lead?.term,
		}, 'a primary is known');
		this.lead = {backend, term};
		this.lastLead = this.lead;
		this.samples.dropBefore(term);
		this.notify();
	}

	/** Takes over what a server says of itself. */
	noteStatus(backend: Backend, status: ServerStatus): void {
		this.highestTerm = Math.max(this.highestTerm, status.term, status.receivedPosition.term);
		if (status.role === 'primary') {
			this.noteLead(backend, status.term);
		}
	}

	/**
	 * Proves that the known primary led at a moment not before now.
	 * @param lead - the primary that the reader uses
	 * @param carrier - connection to it that the reader holds
	 */
	async prove(lead: Lead, carrier?: PooledConnection): Promise<ProofOutcome> {
		const outcome = await this.proof.prove(lead, carrier);
		if (outcome.kind === 'leads') {
			this.samples.add(outcome.startedMs, outcome.position);
		} else if (outcome.kind === 'replaced') {
			this.doubtLead(lead, 'a server knows a newer term');
		}

		return outcome;
	}

	/**
	 * Gives the position that a read with a bound on its age needs.
	 * @param arrivedMs - arrival of the read
	 * @param maxAgeMs - age that the read accepts
	 * @returns undefined if the position cannot be found out at present
	 */
	async floorFor(arrivedMs: number, maxAgeMs: number): Promise<LogPosition | undefined> {
		const oldestMs = arrivedMs - maxAgeMs + boundMarginMs;
		if (this.samples.newestMs < arrivedMs - (maxAgeMs * refreshShare)) {
			void this.refreshSamples();
		}

		const known = this.samples.floorSince(oldestMs);
		if (known) {
			return known.position;
		}

		await this.refreshSamples();
		return this.samples.floorSince(oldestMs)?.position;
	}

	close(): void {
		for (const backend of this.listed()) {
			backend.close();
		}
	}

	private limits(): {readonly connections: ConnectionShare; readonly ranks: readonly RankPolicy[]} {
		return {connections: shareOf(this.spec.maxConnections, this.ports.hostCount()), ranks: this.ranks};
	}

	private remove(backend: Backend): void {
		this.backends.delete(backend.id);
		if (this.lead?.backend === backend) {
			this.lead = undefined;
		}

		backend.close();
		this.log.info({service: this.name, server: backend.id}, 'a backend server is gone');
	}

	private put(server: BackendServer): void {
		const known = this.backends.get(server.id);
		if (known?.server.startedAtMs === server.startedAtMs && known.server.address === server.address) {
			this.update(known, server);
			return;
		}

		if (known) {
			this.remove(known);
		}

		this.backends.set(server.id, new Backend(server, this.limits(), this.ports));
		this.log.info({
			service: this.name, server: server.id, address: server.address, failureDomain: server.failureDomain, role: server.role, leaving: server.leaving, restarted: known !== undefined,
		}, 'a backend server is listed');
	}

	private update(known: Backend, server: BackendServer): void {
		const before = known.server;
		known.configure(server, this.limits());
		if (server.leaving !== before.leaving || server.role !== before.role) {
			this.log.info({
				service: this.name, server: server.id, role: server.role, roleBefore: before.role, leaving: server.leaving, revision: server.revision,
			}, 'a backend server changed its state');
		}

		if (server.role === 'primary' && before.role !== 'primary' && this.lead?.backend !== known) {
			this.searchedMs = Number.NEGATIVE_INFINITY;
			void this.findLead();
		}
	}

	/** Asks the server that alone claims to be the primary; if it is not, or if it was lost before, all servers. */
	private async askAll(): Promise<void> {
		const [claiming, ...others] = this.listed().filter(backend => backend.server.role === 'primary' && backend !== this.lastLead?.backend);
		if (claiming && others.length === 0) {
			await this.askOne(claiming);
		}

		if (!this.lead) {
			await Promise.all(this.listed().map(async backend => this.askOne(backend)));
		}
	}

	private async askOne(backend: Backend): Promise<void> {
		const status = await askStatus(backend, statusLimitMs);
		if (status) {
			this.noteStatus(backend, status);
		}
	}

	private async refreshSamples(): Promise<void> {
		this.refresh ??= this.takeSample().finally(() => {
			this.refresh = undefined;
		});
		return this.refresh;
	}

	/**
	 * Without a primary, the newest position that all other servers together have received covers every acknowledged commit.
	 * One other server is not enough: a host that is cut off from the platform may not know of another that acknowledged one.
	 */
	private async takeSample(): Promise<void> {
		const lead = this.lastLead;
		const outcome = lead && lead === this.lead ? await this.prove(lead) : undefined;
		if (outcome?.kind === 'leads') {
			return;
		}

		const startedMs = this.clock.nowMs();
		const others = this.listed().filter(backend => backend !== lead?.backend);
		const statuses = await Promise.all(others.map(async backend => askStatus(backend)));
		if (!lead || others.length < leastOthersForSample || statuses.includes(undefined)) {
			return;
		}

		const [newest] = statuses.map(status => status!.receivedPosition).toSorted((a, b) => comparePositions(b, a));
		this.samples.add(startedMs, newest!);
	}

	private notify(): void {
		for (const listener of this.listeners) {
			listener();
		}
	}
}
