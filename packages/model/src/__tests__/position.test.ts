import {expect} from 'chai';
import {laterPosition} from '../position.js';
import {type LogPosition} from '../types.js';

type Case = {
	readonly title: string;
	readonly known: LogPosition | undefined;
	readonly reported: LogPosition;
	readonly later: LogPosition;
};

const cases: readonly Case[] = [
	{
		title: 'the reported one if none is known', known: undefined, reported: {term: 1, offsetBytes: 0}, later: {term: 1, offsetBytes: 0},
	},
	{
		title: 'the known one if the reported one is lower in the same term (guards against a reader that goes back)',
		known: {term: 2, offsetBytes: 9}, reported: {term: 2, offsetBytes: 8}, later: {term: 2, offsetBytes: 9},
	},
	{
		title: 'the reported one if it is higher in the same term', known: {term: 2, offsetBytes: 9}, reported: {term: 2, offsetBytes: 10}, later: {term: 2, offsetBytes: 10},
	},
	{
		title: 'either of two equal ones', known: {term: 2, offsetBytes: 9}, reported: {term: 2, offsetBytes: 9}, later: {term: 2, offsetBytes: 9},
	},
	{
		title: 'the one of the later term, whatever the offsets (guards against positions that are compared by offset alone)',
		known: {term: 2, offsetBytes: 9}, reported: {term: 3, offsetBytes: 1}, later: {term: 3, offsetBytes: 1},
	},
	{
		title: 'the known one if it is of the later term, whatever the offsets (guards against positions that are compared by offset alone)',
		known: {term: 3, offsetBytes: 1}, reported: {term: 2, offsetBytes: 9}, later: {term: 3, offsetBytes: 1},
	},
];

describe('later position', () => {
	for (const {title, known, reported, later} of cases) {
		it(`is ${title}`, () => {
			expect(laterPosition(known, reported)).to.deep.equal(later);
		});
	}
});
