import {type Clock, type Logger} from '@crocusloom/model';
import {type ServerStatus} from '../statements/statement.js';
import {type Backend} from './backend.js';
import {type KnownPrimary, probeStatus} from './leadershipProver.js';

/** Minimum time between two searches for the primary. */
const minimumSearchIntervalMs = 100;
/** Time in which a server must answer a status probe of a search. */
const searchProbeTimeoutMs = 400;

export type PrimarySearchPorts = {
	/** Name of the service, for the log. */
	readonly service: string;
	/** Returns the servers that service discovery lists. */
	readonly listBackends: () => readonly Backend[];
	/** Receives the status of each server that answers a search. */
	readonly recordStatus: (backend: Backend, status: ServerStatus) => void;
	/** Called when another primary is known. */
	readonly onPrimary: (primary: KnownPrimary) => void;
	readonly clock: Clock;
	readonly log: Logger;
};

/** Search for the primary of a service among its servers, and its result. */
export class PrimarySearch {
	private currentPrimary: KnownPrimary | undefined;
	private previousPrimary: KnownPrimary | undefined;
	/** Highest term that any server has reported. */
	private highestTerm = 0;
	private runningSearch: Promise<void> | undefined;
	private lastSearchMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly ports: PrimarySearchPorts) {}

	/** The primary, or undefined while it is unknown. */
	get primary(): KnownPrimary | undefined {
		return this.currentPrimary;
	}

	/** Highest term that any server has reported. */
	get newestTerm(): number {
		return this.highestTerm;
	}

	/** Last known primary; kept while the primary is unknown. */
	get lastPrimary(): KnownPrimary | undefined {
		return this.previousPrimary;
	}

	/**
	 * Searches for the primary among all servers. Joins a search that is already running, and does nothing if the last search
	 * started less than the minimum interval ago.
	 */
	async find(): Promise<void> {
		if (this.runningSearch) {
			return this.runningSearch;
		}

		if (this.ports.clock.nowMs() - this.lastSearchMs < minimumSearchIntervalMs) {
			return;
		}

		this.lastSearchMs = this.ports.clock.nowMs();
		this.runningSearch = this.probeForPrimary();
		try {
			await this.runningSearch;
		} finally {
			this.runningSearch = undefined;
		}
	}

	/** Searches for the primary even if the last search started less than the minimum interval ago. */
	findAtOnce(): void {
		this.lastSearchMs = Number.NEGATIVE_INFINITY;
		void this.find();
	}

	/** Discards the known primary, because an answer contradicts it, and searches for the new one. */
	invalidate(primary: KnownPrimary, reason: string): void {
		if (this.currentPrimary === primary) {
			this.ports.log.warn({
				service: this.ports.service, server: primary.backend.id, term: primary.term, reason,
			}, 'the known primary is in doubt');
			this.currentPrimary = undefined;
			this.lastSearchMs = Number.NEGATIVE_INFINITY;
		}

		void this.find();
	}

	/** Discards the known primary if it is a server that is no longer listed. */
	forget(backend: Backend): void {
		if (this.currentPrimary?.backend === backend) {
			this.currentPrimary = undefined;
		}
	}

	/** Records a term that a server has reported. A server of an earlier term is not taken for the primary from then on. */
	recordTerm(term: number): void {
		this.highestTerm = Math.max(this.highestTerm, term);
	}

	/** Records that a server is the primary of a term, unless a newer term or a primary of this term is already known. */
	recordPrimary(backend: Backend, term: number): void {
		this.recordTerm(term);
		if (term < this.highestTerm || (this.currentPrimary?.term ?? 0) >= term) {
			return;
		}

		this.ports.log.info({
			service: this.ports.service, server: backend.id, term, before: this.currentPrimary?.backend.id, beforeTerm: this.currentPrimary?.term,
		}, 'a primary is known');
		this.currentPrimary = {backend, term};
		this.previousPrimary = this.currentPrimary;
		this.ports.onPrimary(this.currentPrimary);
	}

	/**
	 * If exactly one server other than the last known primary claims to be the primary, probes it first. Probes all servers if
	 * the primary is still unknown.
	 */
	private async probeForPrimary(): Promise<void> {
		const [claimant, ...otherClaimants] = this.ports.listBackends().filter(backend => backend.server.role === 'primary' && backend !== this.lastPrimary?.backend && !backend.isSuspected);
		if (claimant && otherClaimants.length === 0) {
			await this.probe(claimant);
		}

		if (!this.currentPrimary) {
			await Promise.all(this.ports.listBackends().map(async backend => this.probe(backend)));
		}
	}

	private async probe(backend: Backend): Promise<void> {
		const status = await probeStatus(backend, searchProbeTimeoutMs);
		if (status) {
			this.ports.recordStatus(backend, status);
		}
	}
}
