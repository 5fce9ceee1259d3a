import {expect} from 'chai';
import {ClockContinuity} from '../clockContinuity.js';

const toleranceMs = 30;

/** Advances the clocks between two comparisons. */
type Step = {readonly monotonicMs: number; readonly wallMs: number};
type Case = {
	readonly title: string;
	readonly steps: readonly Step[];
	/** Time from which on durations can be measured after each step. */
	readonly sinceMs: readonly number[];
};

const never = Number.NEGATIVE_INFINITY;
const passing: Step = {monotonicMs: 100, wallMs: 100};
const cases: readonly Case[] = [
	{
		title: 'are measured while both clocks run',
		steps: [passing, passing], sinceMs: [never, never],
	},
	{
		title: 'are measured in spite of a small difference',
		steps: [{monotonicMs: 100, wallMs: 125}, passing], sinceMs: [never, never],
	},
	{
		title: 'are not measured across a suspension (guards against data that are older than they seem)',
		steps: [passing, {monotonicMs: 100, wallMs: 5100}, passing], sinceMs: [never, 200, 200],
	},
	{
		title: 'are not measured across many short suspensions (guards against a sum that is not noticed)',
		steps: [{monotonicMs: 100, wallMs: 120}, {monotonicMs: 100, wallMs: 120}], sinceMs: [never, 200],
	},
	{
		title: 'are not measured across a step of the wall clock in either direction',
		steps: [{monotonicMs: 100, wallMs: 3100}, {monotonicMs: 100, wallMs: -2900}], sinceMs: [100, 200],
	},
	{
		title: 'are not measured across a suspension after the wall clock was set back by as much (guards against a suspension that a step hides)',
		steps: [{monotonicMs: 100, wallMs: -4900}, {monotonicMs: 100, wallMs: 5100}], sinceMs: [100, 200],
	},
];

describe('durations', () => {
	for (const {title, steps, sinceMs} of cases) {
		it(title, () => {
			const times = {monotonicMs: 0, wallMs: 1_000_000};
			const continuity = new ClockContinuity({nowMs: () => times.monotonicMs, wallMs: () => times.wallMs, sleep: async () => undefined}, toleranceMs);
			const results = steps.map(step => {
				times.monotonicMs += step.monotonicMs;
				times.wallMs += step.wallMs;
				return continuity.sinceMs();
			});
			expect(results).to.deep.equal(sinceMs);
		});
	}

	it('are measured if the process had to wait between the readings of the two clocks (guards against busy machines that seem suspended)', () => {
		const waitsMs = [0, 50, 0, 0, 0, 0];
		let nowMs = 0;
		const continuity = new ClockContinuity({
			nowMs: () => nowMs,
			wallMs() {
				nowMs += waitsMs.shift() ?? 0;
				return nowMs;
			},
			sleep: async () => undefined,
		}, toleranceMs);
		expect(continuity.sinceMs()).to.equal(never);
	});
});
