import {type LogPosition} from '@crocusloom/model';
import {expect} from 'chai';
import {CommitEvidence, type CommitProof} from '../commits/commitEvidence.js';
import {CommitSamples} from '../commits/commitSamples.js';

function at(offsetBytes: number, term = 1): LogPosition {
	return {term, offsetBytes};
}

/** Records a proven position of the primary as the proxy does: as a sample and as evidence. */
type Recorder = {readonly evidence: CommitEvidence; readonly sample: (takenMs: number, position: LogPosition) => void};

type Case = {
	readonly title: string;
	readonly record: (recorder: Recorder) => void;
	readonly position: LogPosition;
	readonly expected: CommitProof;
};

const cases: readonly Case[] = [
	{
		title: 'proves any log if no server has departed (guards against promotions that wait without a reason)',
		record({sample}) {
			sample(100, at(7));
		},
		position: at(1),
		expected: {kind: 'proven'},
	},
	{
		title: 'does not know the commit position before the primary has reported it after a departure (guards against lost commits)',
		record({evidence, sample}) {
			sample(100, at(7));
			evidence.recordDeparture('c', 200);
		},
		position: at(9),
		expected: {kind: 'unknown', departedServers: ['c']},
	},
	{
		title: 'requires the first position that the primary reports after a departure (guards against lost commits)',
		record({evidence, sample}) {
			evidence.recordDeparture('c', 200);
			sample(300, at(8));
			sample(400, at(12));
		},
		position: at(7),
		expected: {kind: 'incomplete', requiredPosition: at(8)},
	},
	{
		title: 'proves a log that holds the required position (guards against requirements that grow with each commit)',
		record({evidence, sample}) {
			evidence.recordDeparture('c', 200);
			sample(300, at(8));
			sample(400, at(12));
		},
		position: at(8),
		expected: {kind: 'proven'},
	},
	{
		title: 'uses a sample that was taken between a departure and its discovery (guards against promotions that wait for a primary that is gone)',
		record({evidence, sample}) {
			sample(100, at(5));
			sample(300, at(8));
			evidence.recordDeparture('c', 200);
		},
		position: at(7),
		expected: {kind: 'incomplete', requiredPosition: at(8)},
	},
	{
		title: 'keeps the requirement of an earlier departure until the position after a later one is known (guards against lost commits)',
		record({evidence, sample}) {
			evidence.recordDeparture('c', 200);
			sample(300, at(8));
			evidence.recordDeparture('d', 400);
		},
		position: at(9),
		expected: {kind: 'unknown', departedServers: ['d']},
	},
	{
		title: 'requires the newest of two positions (guards against lost commits of the later departure)',
		record({evidence, sample}) {
			evidence.recordDeparture('c', 200);
			sample(300, at(8));
			evidence.recordDeparture('d', 400);
			sample(500, at(10));
		},
		position: at(9),
		expected: {kind: 'incomplete', requiredPosition: at(10)},
	},
	{
		title: 'requires the log of a promoted server (guards against lost commits if that server fails before any other has its log)',
		record({evidence}) {
			evidence.recordPromotedLog(at(8));
		},
		position: at(7),
		expected: {kind: 'incomplete', requiredPosition: at(8)},
	},
	{
		title: 'proves a log of a newer term than the required position (guards against promotions that wait after a promotion)',
		record({evidence}) {
			evidence.recordPromotedLog(at(8));
		},
		position: at(3, 2),
		expected: {kind: 'proven'},
	},
];

describe('commit evidence', () => {
	for (const {title, record, position, expected} of cases) {
		it(title, () => {
			const samples = new CommitSamples();
			const evidence = new CommitEvidence(samples);
			record({
				evidence,
				sample(takenMs, samplePosition) {
					samples.add(takenMs, samplePosition);
					evidence.recordSample({takenMs, position: samplePosition});
				},
			});
			expect(evidence.check(position)).to.deep.equal(expected);
		});
	}
});
