import {type Clock, type Logger, type Metrics} from '@crocusloom/model';

export type ConfigurationAgePorts = {
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: Metrics;
};

/**
 * Measures how long ago the configuration in force was last known to be the newest one, and reports when that is longer than
 * the time in which a change must be in force.
 */
export class ConfigurationAge {
	private confirmedMs: number;
	private isOverdue = false;

	/**
	 * @param maximumAgeMs - age in milliseconds above which a confirmed change may be missing
	 */
	constructor(private maximumAgeMs: number, private readonly ports: ConfigurationAgePorts) {
		this.confirmedMs = ports.clock.nowMs();
	}

	/** Time since the last confirmation, or since the start if there was none. */
	get ageMs(): number {
		return this.ports.clock.nowMs() - this.confirmedMs;
	}

	/** Changes the age in milliseconds above which a confirmed change may be missing. */
	setMaximumAge(maximumAgeMs: number): void {
		this.maximumAgeMs = maximumAgeMs;
	}

	/** Records that the configuration in force is the newest one. */
	confirm(): void {
		if (this.isOverdue) {
			this.isOverdue = false;
			this.ports.log.info({ageMs: Math.round(this.ageMs)}, 'the configuration is confirmed again');
		}

		this.confirmedMs = this.ports.clock.nowMs();
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
