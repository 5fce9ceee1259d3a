import {expect} from 'chai';
import {FailureError, type Failure} from '@crocusloom/model';
import {ShedHints} from '../shedHints.js';
import {ManualClock} from './fakes.js';

type Refusal = Extract<Failure, {kind: 'notRun'}>;

const key = {database: 'a', rank: 'boards', callerKey: 'noisy'};
const shed: Refusal = {
	kind: 'notRun', reason: 'shed', step: 'admission', peer: 'a', message: 'full', retryAfterMs: 400,
};

type Case = {
	readonly guards: string;
	readonly refusal: Refusal;
	readonly asked?: Partial<typeof key>;
	readonly afterMs: number;
	readonly isRefused: boolean;
};

const cases: readonly Case[] = [
	{
		guards: 'refused work that keeps the holder busy', refusal: shed, afterMs: 10, isRefused: true,
	},
	{
		guards: 'a hint that outlives the flood', refusal: shed, afterMs: 30, isRefused: false,
	},
	{
		guards: 'a noisy caller that crowds out another', refusal: shed, asked: {callerKey: 'quiet'}, afterMs: 1, isRefused: false,
	},
	{
		guards: 'a flood of one rank that stops another', refusal: shed, asked: {rank: 'bookings'}, afterMs: 1, isRefused: false,
	},
	{
		guards: 'a busy database that stops work at another', refusal: shed, asked: {database: 'b'}, afterMs: 1, isRefused: false,
	},
	{
		guards: 'hints that prolong themselves', refusal: {...shed, step: 'route'}, afterMs: 1, isRefused: false,
	},
	{
		guards: 'a failover taken for a flood', refusal: {...shed, reason: 'noPrimary'}, afterMs: 1, isRefused: false,
	},
	{
		guards: 'a wait beyond what the holder asked for', refusal: {...shed, retryAfterMs: 5}, afterMs: 6, isRefused: false,
	},
];

describe('ShedHints', () => {
	for (const {guards, refusal, asked, afterMs, isRefused} of cases) {
		it(`guards against ${guards}`, async () => {
			const clock = new ManualClock();
			const hints = new ShedHints(clock);
			hints.note(key, refusal);
			await clock.advance(afterMs);
			const check = () => {
				hints.check({...key, ...asked});
			};

			if (isRefused) {
				expect(check).to.throw(FailureError, 'was full a moment ago');
			} else {
				expect(check).not.to.throw();
			}
		});
	}
});
