import {
	type Clock, type ClockContinuity, type Logger, type Metrics,
} from '@crocusloom/model';

export type ConfigurationAgePorts = {
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly continuity: ClockContinuity;
};

/**
 * Measures how long ago the configuration in force was last known to be the newest one, and reports when that is longer than
 * the time in which a change must be in force.
 */
export class ConfigurationAge {
	private confirmedMs: number;
	private confirmedWallMs: number;
	/** Duration of the call that brought the last confirmation. */
	private callDurationMs = 0;
	private isOverdue = false;

	/**
	 * @param maximumAgeMs - age in milliseconds above which a confirmed change may be missing
	 */
	constructor(private maximumAgeMs: number, private readonly ports: ConfigurationAgePorts) {
		this.confirmedMs = ports.clock.nowMs();
		this.confirmedWallMs = ports.clock.wallMs();
	}

	/** Time since the last confirmation, or since the start if there was none. Includes the time of a suspension, or of a step of the wall clock, which looks the same. */
	get ageMs(): number {
		const {clock, continuity} = this.ports;
		const countedMs = clock.nowMs() - this.confirmedMs;
		return this.confirmedMs <= continuity.sinceMs() ? Math.max(countedMs, clock.wallMs() - this.confirmedWallMs) : countedMs;
	}

	/** Time since the call was sent that brought the last confirmation. The copy of the store holds each change from before that time. */
	get copyAgeMs(): number {
		return this.ageMs + this.callDurationMs;
	}

	/** Changes the age in milliseconds above which a confirmed change may be missing. */
	setMaximumAge(maximumAgeMs: number): void {
		this.maximumAgeMs = maximumAgeMs;
	}

	/**
	 * Records that the configuration in force is the newest one.
	 * @param sentMs - monotonic time at which the call was sent that showed it; now if it is omitted
	 */
	confirm(sentMs = this.ports.clock.nowMs()): void {
		if (this.isOverdue) {
			this.isOverdue = false;
			this.ports.log.info({ageMs: Math.round(this.ageMs)}, 'the configuration is confirmed again');
		}

		this.confirmedMs = this.ports.clock.nowMs();
		this.confirmedWallMs = this.ports.clock.wallMs();
		this.callDurationMs = this.confirmedMs - sentMs;
	}

	/** Updates the metric and reports an overdue confirmation once; called at regular intervals. */
	check(): void {
		const {ageMs, maximumAgeMs} = this;
		this.ports.metrics.gauge('configuration_age_ms', Math.round(ageMs));
		if (!this.isOverdue && ageMs > maximumAgeMs) {
			this.isOverdue = true;
			this.ports.log.warn({ageMs: Math.round(ageMs), maximumAgeMs}, 'confirmed changes of the configuration may be missing');
		}
	}
}
