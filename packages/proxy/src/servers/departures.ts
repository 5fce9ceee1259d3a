import {type Clock} from '@crocusloom/model';
import {type CommitEvidence} from '../commits/commitEvidence.js';
import {type Backend} from './backend.js';
import {type KnownPrimary} from './leadershipProver.js';

export type DeparturePorts = {
	/** Returns the servers that service discovery lists. */
	readonly listBackends: () => readonly Backend[];
	/** Returns the last known primary. */
	readonly lastPrimary: () => KnownPrimary | undefined;
	/** Tells whether a holder of the promotion lease has recorded that it reached a server. */
	readonly isRecordedAsReached: (serverId: string) => boolean;
	readonly clock: Clock;
};

/** Records which servers of a service departed with their logs: those that are no longer listed, and listed ones that another server replaced. */
export class Departures {
	/** Listed servers that are known to have departed, because another server answers at their address. */
	private readonly replacedBackends = new Set<Backend>();

	/**
	 * @param evidence - evidence to which departures are added
	 * @param ports - servers of the service
	 */
	constructor(private readonly evidence: CommitEvidence, private readonly ports: DeparturePorts) {}

	/**
	 * Records that a server is no longer listed, or that its process was replaced by a later one.
	 * @param sinceMs - time from which on the server acknowledged nothing
	 */
	recordRemoved(backend: Backend, sinceMs: number): void {
		this.record(backend, sinceMs);
		this.replacedBackends.delete(backend);
	}

	/** Records the listed servers at whose address another server answers since the last call. */
	recordReplaced(): void {
		for (const backend of this.ports.listBackends()) {
			if (backend.isReplacedAtAddress && backend.isConfirmed && !this.replacedBackends.has(backend)) {
				this.record(backend, this.ports.clock.nowMs());
				this.replacedBackends.add(backend);
			}
		}
	}

	/**
	 * Records that a server departed with its log. A primary has no commit alone, except those with which it was promoted, and an entry
	 * that never had a server, as far as this process and all holders of the promotion lease know, has none.
	 */
	private record(backend: Backend, sinceMs: number): void {
		const hadServer = !backend.isUnconfirmed || this.ports.isRecordedAsReached(backend.id);
		if (backend !== this.ports.lastPrimary()?.backend && hadServer && !this.replacedBackends.has(backend)) {
			this.evidence.recordDeparture(backend.id, sinceMs);
		}
	}
}
