import {ClockContinuity, type Metrics, noopMetrics} from '@crocusloom/model';
import {FakeClock, RecordingLogger} from '@crocusloom/model/testing';
import {expect} from 'chai';
import {ConfigurationAge} from '../sessions/configurationAge.js';

const maximumAgeMs = 3000;
const checkIntervalMs = 100;

type Case = {
	readonly title: string;
	readonly confirmedAtMs: readonly number[];
	readonly warnings: number;
	readonly recoveries: number;
};

const cases: readonly Case[] = [
	{
		title: 'stays silent while confirmations arrive in time', confirmedAtMs: [1000, 4000, 7000], warnings: 0, recoveries: 0,
	},
	{
		title: 'warns once and reports the next confirmation (guards against an outdated configuration that nobody is told of)', confirmedAtMs: [1000, 6000, 7000], warnings: 1, recoveries: 1,
	},
	{
		title: 'warns if there is never a confirmation', confirmedAtMs: [], warnings: 1, recoveries: 0,
	},
];

describe('configuration age', () => {
	for (const {title, confirmedAtMs, warnings, recoveries} of cases) {
		it(title, async () => {
			const clock = new FakeClock();
			const log = new RecordingLogger();
			const gauges: number[] = [];
			const metrics: Metrics = {
				...noopMetrics, gauge(_name, value) {
					gauges.push(value);
				},
			};
			const age = new ConfigurationAge(maximumAgeMs, {
				clock, log, metrics, continuity: new ClockContinuity(clock, 0),
			});
			for (let atMs = checkIntervalMs; atMs <= 8000; atMs += checkIntervalMs) {
				await clock.runUntil(atMs);
				if (confirmedAtMs.includes(atMs)) {
					age.confirm();
				}

				age.check();
			}

			expect(log.withMessage('confirmed changes of the configuration may be missing').length).to.equal(warnings);
			expect(log.withMessage('the configuration is confirmed again').length).to.equal(recoveries);
			expect(gauges.at(-1)).to.equal(8000 - (confirmedAtMs.at(-1) ?? 0));
		});
	}

	it('counts the time of a suspension (guards against an outdated configuration that seems to be confirmed)', () => {
		const times = {monotonicMs: 0, wallMs: 1_000_000};
		const clock = {nowMs: () => times.monotonicMs, wallMs: () => times.wallMs, sleep: async () => undefined};
		const age = new ConfigurationAge(maximumAgeMs, {
			clock, log: new RecordingLogger(), metrics: noopMetrics, continuity: new ClockContinuity(clock, 0),
		});
		times.wallMs += 5000;
		expect(age.ageMs).to.equal(5000);
		age.confirm();
		expect(age.ageMs).to.equal(0);
		times.wallMs -= 5000;
		times.monotonicMs += 200;
		expect(age.ageMs).to.equal(200);
	});
});
