import {assert} from 'chai';
import {brazos, raizComun} from '@crocusloom/standins';
import {databaseCapacity, experiments, rankLoads} from '../experiments.js';
import {median, summarizeRounds} from '../hop.js';
import {renderPage} from '../output.js';
import {ratePoints, renderPlot} from '../plots.js';
import {renderMarkdownTable} from '../report.js';
import {addSeries, percent, sumBetween} from '../summary.js';
import {escapeXml, niceMaximum} from '../svg.js';

describe('rankLoads', () => {
	for (const deployment of [brazos, raizComun]) {
		it(`${deployment.name}: guards against a steady load above the capacity of one primary`, () => {
			for (const experiment of experiments) {
				const loads = rankLoads(deployment, experiment, 6000, 2);
				const total = loads.reduce((sum, {segments}) => sum + segments[0]!.ratePerSecond, 0) * 2;
				assert.isBelow(total, databaseCapacity(deployment, experiment) * 0.8, experiment.name);
			}
		});

		it(`${deployment.name}: guards against a flood of the wrong rank or rate`, () => {
			for (const [name, index] of [['flood-least', 2], ['flood-most', 0]] as const) {
				const experiment = experiments.find(candidate => candidate.name === name)!;
				const loads = rankLoads(deployment, experiment, 6000, 2);
				assert.deepEqual(loads.map(({segments}) => segments.length), [0, 1, 2].map(rankIndex => rankIndex === index ? 2 : 1));
				assert.equal(loads[index]!.segments[1]!.ratePerSecond * 2, databaseCapacity(deployment, experiment) * 3 * 5);
			}
		});
	}
});

describe('series', () => {
	it('guards against truncated sums of series of unequal length, and intervals that include adjacent buckets', () => {
		assert.deepEqual(addSeries([[1, 2], [3], []]), [4, 2]);
		assert.equal(sumBetween([1, 2, 4, 8], 100, 300), 6);
		assert.deepEqual(ratePoints([1, 1, 1, 1, 1, 2, 2, 2, 2, 2], 1000), [[0.25, 10], [0.75, 20]]);
	});

	it('guards against division by zero', () => {
		assert.deepEqual([percent(0, 0), percent(1, 3)], [100, 33.3]);
	});
});

describe('summarizeRounds', () => {
	it('guards against added latencies that are not paired by round', () => {
		const rows = summarizeRounds([{direct: 1, 'session token': 3, 'no token': 4}, {direct: 5, 'session token': 6, 'no token': 9}, {direct: 2, 'session token': 4, 'no token': 7}]);
		const token = rows.find(({kind}) => kind === 'session token')!;
		assert.deepEqual([token.medianMs, token.addedMs, token.addedLeastMs, token.addedGreatestMs], [4, 2, 1, 2]);
		assert.equal(median([4, 1, 3]), 3);
	});
});

describe('output', () => {
	const rows = summarizeRounds([{direct: 1, 'session token': 3, 'no token': 4}]);
	const result = {
		kind: 'hop', name: 'hop', title: 'Hop', results: [{
			deployment: 'a<b', setting: 'one', rows, violations: ['wrong row'],
		}],
	} as const;

	it('guards against unescaped text in a plot, and axes that end below a value', () => {
		assert.equal(escapeXml('<a & "b">'), '&lt;a &amp; &quot;b&quot;&gt;');
		assert.include(renderPlot(result), 'a&lt;b');
		assert.notMatch(renderPlot(result), /NaN|undefined|Infinity/v);
		for (const value of [0, 0.003, 1, 19, 20, 21, 999]) {
			assert.isAtLeast(niceMaximum(value), value);
		}
	});

	it('guards against cells that break a table, and a page without front matter, machine information or violations', () => {
		assert.equal(renderMarkdownTable({header: ['a', 'b'], rows: [['1|2', '3']]}), '| a | b |\n| --- | --- |\n| 1/2 | 3 |');
		const page = renderPage({
			command: 'npm run bench -- --all', results: [result], machine: {
				cores: 10, model: 'm', memoryGib: 32, freeMemoryGib: 20, node: 'v20', loadAverage: [1, 2, 3], startedAt: 'now',
			},
		});
		assert.match(page, /^---\nsidebar_position: 6\n/v);
		for (const part of ['Cores: 10', '1, 2, 3', 'npm run bench -- --all', 'wrong row', '![hop](plots/hop.svg)']) {
			assert.include(page, part);
		}
	});
});
