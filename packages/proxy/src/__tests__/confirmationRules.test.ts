import {type LogPosition} from '@crocusloom/model';
import {expect} from 'chai';
import {type Backend} from '../servers/backend.js';
import {
	type ConfirmationMembership, countSilentRounds, isCommitSafe, type ProbeRound, reasonToGiveUp, type SilentRounds,
} from '../commits/confirmationRules.js';

const position: LogPosition = {term: 3, offsetBytes: 50};
const earlierPosition: LogPosition = {term: 3, offsetBytes: 49};
const otherTermPosition: LogPosition = {term: 2, offsetBytes: 80};

/** Creates a server that has held a position since before any promotion. */
function createServer(heldPosition: LogPosition | undefined): Backend {
	const server = {heldPosition, establishedPosition: heldPosition, undisturbedForMs: 0};
	return server as Backend;
}

const primary = createServer(position);
const holder = createServer(position);
const behind = createServer(earlierPosition);
const otherTerm = createServer(otherTermPosition);
const neverAsked = createServer(undefined);

type Servers = Pick<ConfirmationMembership, 'members' | 'witnesses' | 'ordered'>;

const safetyCases: ReadonlyArray<Servers & {readonly title: string; readonly isSafe: boolean}> = [
	{
		title: 'a witness holds it and no order is recorded', members: [holder, behind], witnesses: [holder, behind], ordered: [], isSafe: true,
	},
	{
		title: 'an order names the witness that holds it', members: [holder, behind], witnesses: [holder, behind], ordered: [holder], isSafe: true,
	},
	{
		title: 'an order names the primary that acknowledged it', members: [holder], witnesses: [holder], ordered: [primary], isSafe: true,
	},
	{
		title: 'an order names a server that is behind', members: [holder, behind], witnesses: [holder, behind], ordered: [behind], isSafe: false,
	},
	{
		title: 'an order names a server that is no witness and is behind', members: [holder, behind], witnesses: [holder], ordered: [behind], isSafe: false,
	},
	{
		title: 'an order names a server whose log is of another term', members: [holder, otherTerm], witnesses: [holder], ordered: [otherTerm], isSafe: false,
	},
	{
		title: 'an order names a server that was never asked', members: [holder, neverAsked], witnesses: [holder], ordered: [neverAsked], isSafe: false,
	},
	{
		title: 'one of two ordered servers is behind', members: [holder, behind], witnesses: [holder], ordered: [holder, behind], isSafe: false,
	},
];

const noRounds: SilentRounds = {witnesses: 0, ordered: 0};

const roundCases: ReadonlyArray<{readonly title: string; readonly rounds: readonly ProbeRound[]; readonly reason: RegExp | undefined}> = [
	{title: 'the ordered server receives', rounds: [{witnesses: ['receiving'], ordered: ['receiving']}], reason: undefined},
	{title: 'the ordered server is busy for long', rounds: Array.from({length: 5}, (): ProbeRound => ({witnesses: ['receiving'], ordered: ['busy']})), reason: undefined},
	{title: 'the ordered server is silent once', rounds: [{witnesses: ['receiving'], ordered: ['silent']}], reason: undefined},
	{
		title: 'the ordered server is silent twice', rounds: [{witnesses: ['receiving'], ordered: ['silent']}, {witnesses: ['receiving'], ordered: ['silent']}], reason: /names does not answer/v,
	},
	{title: 'the ordered server is paused', rounds: [{witnesses: ['receiving'], ordered: ['notReceiving']}], reason: /names does not receive/v},
	{title: 'all witnesses are paused', rounds: [{witnesses: ['notReceiving', 'silent'], ordered: []}], reason: /witnesses is paused/v},
	{title: 'all witnesses are silent twice', rounds: [{witnesses: ['silent'], ordered: []}, {witnesses: ['silent'], ordered: []}], reason: /no witness answers/v},
];

describe('rules of a confirmation', () => {
	for (const {title, isSafe, ...servers} of safetyCases) {
		it(`${isSafe ? 'confirm' : 'do not confirm'} a commit if ${title} (guards against commits that an order loses, and against writes whose outcome is unknown without need)`, () => {
			const membership: ConfirmationMembership = {
				primary, syncReplicas: 1, newestTerm: 3, ...servers,
			};
			expect(isCommitSafe({position, primary, sinceMs: 0}, membership, () => undefined)).to.equal(isSafe);
		});
	}

	for (const {title, rounds, reason} of roundCases) {
		it(`${reason ? 'give up' : 'go on'} if ${title} (guards against callers that wait without a prospect, or are told too early)`, () => {
			let silentRounds = noRounds;
			for (const round of rounds) {
				silentRounds = countSilentRounds(silentRounds, round);
			}

			const found = reasonToGiveUp(rounds.at(-1)!, silentRounds);
			if (reason) {
				expect(found).to.match(reason);
			} else {
				expect(found).to.equal(undefined);
			}
		});
	}
});
