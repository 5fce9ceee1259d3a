import {type Clock, errorMessageOf, type Logger} from '@crocusloom/model';
import {type BackendDialer, type BackendServer, type ConnectionFailure} from '../ports.js';

/** Time without contact, while work is in flight, after which the reachability of the server's host is checked. */
const silenceThresholdMs = 250;
/** Time in which the host must accept a connection in the reachability check. */
const reachabilityTimeoutMs = 250;
/** Concurrent connection attempts per reachability check, because a lost packet is retransmitted only after the timeout. */
const reachabilityAttempts = 2;
/** Minimum time between two reachability checks. */
const reachabilityRetryMs = 200;
/** Time after which a listed server that never answered may belong to an entry without a server. */
export const unconfirmedServerGraceMs = 15_000;
/** Minimum time between two reachability checks of such a server. */
const unconfirmedRetryMs = 2000;

export type ServerContactPorts = {
	readonly dialer: BackendDialer;
	readonly clock: Clock;
	readonly log: Logger;
	/** Called when a reachability check finds that the host of a silent server became unreachable. */
	readonly onUnreachable: () => void;
};

/** Contact of this proxy with one backend server, and whether the server is suspected to have failed. */
export class ServerContact {
	private lastMs: number;
	/** Time of the last sign that the process of the server may have ended. */
	private disturbedMs = Number.NEGATIVE_INFINITY;
	/** True while the host refuses connections or is unreachable. */
	private isDown = false;
	private isChecking = false;
	private lastCheckMs = 0;
	private failuresSinceContact = 0;
	/** False until the server has answered or accepted a connection for the first time. */
	private hasAnswered = false;
	/** True after another server answered at the address. */
	private isReplaced = false;

	constructor(private entry: BackendServer, private readonly ports: ServerContactPorts) {
		this.lastMs = ports.clock.nowMs();
	}

	/** Time of the last sign that the server is alive: an answer, an accepted connection, or a refusal at its connection limit. */
	get lastContactMs(): number {
		return this.lastMs;
	}

	/** True while connections to the server fail or its reachability is being checked. */
	get isSuspected(): boolean {
		return this.isChecking || this.isDown || this.isReplaced;
	}

	/** Time since the last sign that the process of the server may have ended: a connection that it closed, or a host that is not reached. */
	get undisturbedForMs(): number {
		return this.ports.clock.nowMs() - this.disturbedMs;
	}

	/** True if another server answered at the address of this one. */
	get isReplacedAtAddress(): boolean {
		return this.isReplaced;
	}

	/** True once the server has answered or accepted a connection. */
	get isConfirmed(): boolean {
		return this.hasAnswered;
	}

	/** True if the server never answered although it was tried and was listed for the grace time, so that its entry may have no server. */
	get isUnconfirmed(): boolean {
		return !this.hasAnswered && this.noContactForMs >= unconfirmedServerGraceMs;
	}

	/** Time since the last contact if an attempt to reach the server has failed since then; 0 otherwise. */
	get noContactForMs(): number {
		return this.failuresSinceContact === 0 ? 0 : this.silentMs;
	}

	/** Applies a changed discovery entry. */
	configure(entry: BackendServer): void {
		this.isReplaced &&= entry.revision === this.entry.revision;
		this.entry = entry;
	}

	/** Records a sign that the server is alive. */
	recordContact(): void {
		this.lastMs = this.ports.clock.nowMs();
		this.failuresSinceContact = 0;
		this.hasAnswered = true;
		this.isDown = false;
		this.isReplaced = false;
	}

	/** Records a sign that the process of the server may have ended. */
	recordDisturbance(): void {
		this.disturbedMs = this.ports.clock.nowMs();
	}

	/** Records the result of an attempt to connect. A refusal at the connection limit counts as contact, because the server is alive. */
	recordDialResult(failure: ConnectionFailure | undefined): void {
		if (failure === undefined || failure.kind === 'connectionLimit') {
			this.recordContact();
			return;
		}

		this.failuresSinceContact++;
		if (failure.kind === 'refused' || failure.kind === 'unreachable') {
			this.isDown = true;
			this.recordDisturbance();
		}

		if (failure.kind === 'wrongServer' && !this.isReplaced) {
			this.isReplaced = true;
			this.ports.log.warn({server: this.entry.id, address: this.entry.address, reason: failure.message}, 'another server answers at the address of a backend server');
		}
	}

	/** Records that a control command or status probe failed. Only the first failure since the last contact is logged. */
	recordProbeFailure(error: unknown): void {
		this.failuresSinceContact++;
		if (this.failuresSinceContact > 1) {
			return;
		}

		this.ports.log.warn({
			server: this.entry.id, reason: errorMessageOf(error), lastHeardMs: Math.round(this.silentMs),
		}, 'a backend server did not answer a question about its status');
	}

	/**
	 * Checks the reachability of the host of a silent server. Called at regular intervals.
	 * @param inFlightSinceMs - time since which work has been in flight; undefined if there is none
	 */
	checkIfSilent(inFlightSinceMs: number | undefined): void {
		const nowMs = this.ports.clock.nowMs();
		const isSilent = inFlightSinceMs !== undefined && nowMs - Math.max(this.lastMs, inFlightSinceMs) > silenceThresholdMs;
		const retryMs = this.isUnconfirmed ? unconfirmedRetryMs : reachabilityRetryMs;
		if (!this.isChecking && (isSilent || this.isDown) && nowMs - this.lastCheckMs >= retryMs) {
			void this.check();
		}
	}

	/** Checks whether the host accepts at least one of several concurrent connection attempts. An attempt that fails in another way counts as not accepted. */
	async isHostReachable(): Promise<boolean> {
		const attempts = Array.from({length: reachabilityAttempts}, async () => this.ports.dialer.isReachable(this.entry, reachabilityTimeoutMs));
		const results = await Promise.allSettled(attempts);
		for (const result of results) {
			if (result.status === 'rejected') {
				this.recordProbeFailure(result.reason);
			}
		}

		return results.some(result => result.status === 'fulfilled' && result.value);
	}

	private async check(): Promise<void> {
		this.isChecking = true;
		const startedMs = this.ports.clock.nowMs();
		const isReachable = await this.isHostReachable();
		this.isChecking = false;
		this.lastCheckMs = this.ports.clock.nowMs();
		if (isReachable || this.lastMs >= startedMs) {
			this.isDown = false;
			return;
		}

		this.failuresSinceContact++;
		if (!this.isDown) {
			this.isDown = true;
			this.recordDisturbance();
			this.ports.onUnreachable();
		}
	}

	private get silentMs(): number {
		return this.ports.clock.nowMs() - this.lastMs;
	}
}
