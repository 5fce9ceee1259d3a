import {expect} from 'chai';
import {FailureError, type Failure} from '@crocusloom/model';
import {FakeClock} from '@crocusloom/model/testing';
import {ShedHints} from '../shedHints.js';

type Refusal = Extract<Failure, {kind: 'notRun'}>;

const key = {database: 'a', rank: 'boards', callerKey: 'noisy'};
const shed: Refusal = {
	kind: 'notRun', reason: 'shed', step: 'admission', peer: 'a', message: 'full', retryAfterMs: 400,
};

type Case = {
	readonly guardsAgainst: string;
	readonly refusal: Refusal;
	readonly checkedKey?: Partial<typeof key>;
	readonly afterMs: number;
	readonly isRejected: boolean;
};

const cases: readonly Case[] = [
	{
		guardsAgainst: 'shed work that still reaches a busy holder', refusal: shed, afterMs: 10, isRejected: true,
	},
	{
		guardsAgainst: 'a hint that is followed after the overload has ended', refusal: shed, afterMs: 30, isRejected: false,
	},
	{
		guardsAgainst: 'overload by one caller that sheds work of another', refusal: shed, checkedKey: {callerKey: 'quiet'}, afterMs: 1, isRejected: false,
	},
	{
		guardsAgainst: 'overload of one rank that sheds work of another', refusal: shed, checkedKey: {rank: 'bookings'}, afterMs: 1, isRejected: false,
	},
	{
		guardsAgainst: 'overload of one database that sheds work at another', refusal: shed, checkedKey: {database: 'b'}, afterMs: 1, isRejected: false,
	},
	{
		guardsAgainst: 'hints that extend themselves', refusal: {...shed, step: 'route'}, afterMs: 1, isRejected: false,
	},
	{
		guardsAgainst: 'a failover that is mistaken for overload', refusal: {...shed, reason: 'noPrimary'}, afterMs: 1, isRejected: false,
	},
	{
		guardsAgainst: 'a hint that is followed for longer than the holder requested', refusal: {...shed, retryAfterMs: 5}, afterMs: 6, isRejected: false,
	},
];

describe('ShedHints', () => {
	for (const {guardsAgainst, refusal, checkedKey, afterMs, isRejected} of cases) {
		it(`guards against ${guardsAgainst}`, async () => {
			const clock = new FakeClock();
			const hints = new ShedHints(clock);
			hints.record(key, refusal);
			await clock.advance(afterMs);
			const check = () => {
				hints.throwIfShed({...key, ...checkedKey});
			};

			if (isRejected) {
				expect(check).to.throw(FailureError, 'was full a moment ago');
			} else {
				expect(check).not.to.throw();
			}
		});
	}
});
