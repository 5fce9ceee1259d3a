import {
	type Clock, type ClockContinuity, comparePositions, type LogPosition,
} from '@crocusloom/model';
import {type Backend} from '../servers/backend.js';
import {type KnownPrimary, probeStatus, type ProofOutcome} from '../servers/leadershipProver.js';
import {type ConfirmServers} from '../ports.js';
import {settledWithin} from '../statements/withTimeout.js';
import {freshnessMarginMs, type CommitSamples} from './commitSamples.js';
import {type CommitProof} from './commitEvidence.js';

/** Minimum number of servers besides the primary for a sample that is taken without it. */
const minimumOthersForSample = 2;
/** Minimum time between two samples that are taken without the primary, as each of them asks service discovery. */
const otherSampleIntervalMs = 500;
/** Fraction of the freshness bound from which on the age of the newest sample triggers a new one, so that it is ready before the bound is exceeded. */
const refreshFraction = 0.5;

export type CommitSamplerPorts = {
	/** Returns the primary, or undefined while it is unknown. */
	readonly primary: () => KnownPrimary | undefined;
	/** Returns the last known primary. */
	readonly lastPrimary: () => KnownPrimary | undefined;
	/** Returns the servers that can hold commits. */
	readonly listMembers: () => readonly Backend[];
	/** Asks the primary for its position, and adds a sample if the answer proves it. */
	readonly prove: (primary: KnownPrimary) => Promise<ProofOutcome>;
	/** Checks whether a log that ends at a position holds each acknowledged commit that a departed server may have taken with it. */
	readonly checkCommits: (position: LogPosition) => CommitProof;
	readonly confirmServers: ConfirmServers;
	readonly clock: Clock;
	readonly continuity: ClockContinuity;
};

/** Takes samples of the commit position of a service when reads with a freshness bound need them. */
export class CommitSampler {
	private runningRefresh: Promise<void> | undefined;
	private lastOtherSampleMs = Number.NEGATIVE_INFINITY;

	/**
	 * @param samples - samples to which new ones are added
	 * @param ports - servers of the service, and proofs of their positions
	 */
	constructor(private readonly samples: CommitSamples, private readonly ports: CommitSamplerPorts) {}

	/**
	 * Returns the minimum position for a read with a freshness bound.
	 * @param arrivedMs - arrival time of the read
	 * @param maxAgeMs - maximum age of the data in milliseconds
	 * @param waitLimitMs - longest wait for a new sample in milliseconds
	 * @returns undefined if no position can be determined at present
	 */
	async minimumPositionFor(arrivedMs: number, maxAgeMs: number, waitLimitMs: number): Promise<LogPosition | undefined> {
		this.dropSamplesOfUnknownAge();
		const oldestMs = arrivedMs - maxAgeMs + freshnessMarginMs;
		if (this.samples.newestSampleMs < arrivedMs - (maxAgeMs * refreshFraction)) {
			void this.refresh();
		}

		const sample = this.samples.oldestSampleSince(oldestMs);
		if (sample) {
			return sample.position;
		}

		await settledWithin(this.refresh(), waitLimitMs);
		this.dropSamplesOfUnknownAge();
		return this.samples.oldestSampleSince(oldestMs)?.position;
	}

	/** Drops the samples from before a suspension of the process, which are older than the monotonic clock says. Called at regular intervals, too. */
	dropSamplesOfUnknownAge(): void {
		this.samples.dropBefore(this.ports.continuity.sinceMs());
	}

	/** Takes a sample, or joins the one that is being taken. */
	async refresh(): Promise<void> {
		this.runningRefresh ??= this.takeSample().finally(() => {
			this.runningRefresh = undefined;
		});
		return this.runningRefresh;
	}

	private async takeSample(): Promise<void> {
		const primary = this.ports.lastPrimary();
		const outcome = primary && primary === this.ports.primary() ? await this.ports.prove(primary) : undefined;
		if (primary && outcome?.kind !== 'leads') {
			await this.takeSampleWithout(primary);
		}
	}

	/**
	 * Adds a sample of the commit position. Without a primary, the newest position received by any of the other servers covers
	 * every acknowledged commit, provided that all of them answer, that none departed with commits which they lack, and that
	 * service discovery confirms that there is no further one: a server that joined unseen may have acknowledged commits alone.
	 */
	private async takeSampleWithout(primary: KnownPrimary): Promise<void> {
		const startedMs = this.ports.clock.nowMs();
		if (startedMs - this.lastOtherSampleMs < otherSampleIntervalMs) {
			return;
		}

		this.lastOtherSampleMs = startedMs;
		if (!await this.ports.confirmServers()) {
			return;
		}

		const others = this.ports.listMembers().filter(backend => backend !== primary.backend);
		const statuses = await Promise.all(others.map(async backend => probeStatus(backend)));
		if (others.length < minimumOthersForSample || statuses.includes(undefined)) {
			return;
		}

		const [newestPosition] = statuses.map(status => status!.receivedPosition).toSorted((a, b) => comparePositions(b, a));
		if (this.ports.checkCommits(newestPosition!).kind === 'proven') {
			this.samples.add(startedMs, newestPosition!);
		}
	}
}
