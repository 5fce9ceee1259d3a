import {type Clock, type ClockContinuity, type LogPosition} from '@crocusloom/model';
import {type Backend} from '../servers/backend.js';
import {Departures} from '../servers/departures.js';
import {type KnownPrimary, type ProofOutcome} from '../servers/leadershipProver.js';
import {type ConfirmServers} from '../ports.js';
import {CommitEvidence, type CommitProof} from './commitEvidence.js';
import {CommitSampler} from './commitSampler.js';
import {type CommitSample, CommitSamples} from './commitSamples.js';

export type CommitHistoryPorts = {
	/** Returns the primary, or undefined while it is unknown. */
	readonly primary: () => KnownPrimary | undefined;
	/** Returns the last known primary. */
	readonly lastPrimary: () => KnownPrimary | undefined;
	/** Tells whether a holder of the promotion lease has recorded that it reached a server. */
	readonly isRecordedAsReached: (serverId: string) => boolean;
	/** Returns the servers that service discovery lists. */
	readonly listBackends: () => readonly Backend[];
	/** Returns the servers that can hold commits. */
	readonly listMembers: () => readonly Backend[];
	/** Returns the number of replicas that must receive a commit before it is acknowledged. */
	readonly syncReplicas: () => number;
	/** Asks the primary for its position, and adds a sample if the answer proves it. */
	readonly prove: (primary: KnownPrimary) => Promise<ProofOutcome>;
	readonly confirmServers: ConfirmServers;
	readonly clock: Clock;
	readonly continuity: ClockContinuity;
};

/** What this proxy knows of the commits of one service: samples of the commit position, and what departed servers may have acknowledged. */
export class CommitHistory {
	readonly samples = new CommitSamples();
	private readonly evidence = new CommitEvidence(this.samples);
	private readonly departures: Departures;
	private readonly sampler: CommitSampler;

	constructor(private readonly ports: CommitHistoryPorts) {
		this.departures = new Departures(this.evidence, ports);
		this.sampler = new CommitSampler(this.samples, {...ports, checkCommits: position => this.check(position)});
	}

	/** Records a proven position of the primary. */
	recordSample(sample: CommitSample): void {
		this.samples.add(sample.takenMs, sample.position);
		this.evidence.recordSample(sample);
	}

	/** Records the log with which a server is promoted. A server that was the primary before acknowledged nothing as a replica since then. */
	recordPromotedLog(backend: Backend, position: LogPosition): void {
		if (this.ports.lastPrimary()?.backend !== backend) {
			this.evidence.recordPromotedLog(position);
		}
	}

	/**
	 * Records that a server is no longer listed, or that its process was replaced by a later one.
	 * @param sinceMs - time from which on the server acknowledged nothing
	 */
	recordRemoved(backend: Backend, sinceMs: number): void {
		this.departures.recordRemoved(backend, sinceMs);
	}

	/** Checks whether a log that ends at a position holds each acknowledged commit that a departed server may have taken with it. */
	check(position: LogPosition): CommitProof {
		this.departures.recordReplaced();
		const serverCount = this.ports.listMembers().length;
		const syncReplicas = this.ports.syncReplicas();
		if (!this.ports.lastPrimary() && serverCount <= syncReplicas) {
			return {kind: 'tooFew', serverCount};
		}

		return syncReplicas === 0 ? {kind: 'proven'} : this.evidence.check(position);
	}

	/**
	 * Returns the minimum position for a read with a freshness bound.
	 * @param arrivedMs - arrival time of the read
	 * @param maxAgeMs - maximum age of the data in milliseconds
	 * @param waitLimitMs - longest wait for a new sample in milliseconds
	 * @returns undefined if no position can be determined at present
	 */
	async minimumPositionFor(arrivedMs: number, maxAgeMs: number, waitLimitMs: number): Promise<LogPosition | undefined> {
		return this.sampler.minimumPositionFor(arrivedMs, maxAgeMs, waitLimitMs);
	}

	/** Drops samples of unknown age, and takes one after departures. Called at regular intervals. */
	maintain(): void {
		this.sampler.dropSamplesOfUnknownAge();
		this.sampleAfterDepartures();
	}

	/** Asks the primary for its position if a server has departed since the last sample, because the primary may fail before a read asks. */
	private sampleAfterDepartures(): void {
		this.departures.recordReplaced();
		const primary = this.ports.primary();
		if (primary && !primary.backend.isSuspected && (this.hasMissingServer() || this.evidence.hasUnresolvedDepartures)) {
			void this.sampler.refresh();
		}
	}

	/** Checks whether the entry of a server is missing since the last sample. */
	private hasMissingServer(): boolean {
		return this.ports.listBackends().some(({server}) => (server.missingSinceMs ?? Number.NEGATIVE_INFINITY) > this.samples.newestSampleMs);
	}
}
