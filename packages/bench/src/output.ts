/**
 * Files that the tool writes: plots and the page of measurements.
 */
import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {type MachineFacts} from './machine.js';
import {plotOf} from './plots.js';
import {consoleText} from './report.js';
import {nameOf, type ExperimentResult} from './run.js';

export type Page = {readonly command: string; readonly machine: MachineFacts; readonly results: readonly ExperimentResult[]};

/** Writes the plot of an experiment. @param directory - created if it is missing */
export async function writePlot(directory: string, result: ExperimentResult): Promise<void> {
	await mkdir(directory, {recursive: true});
	await writeFile(path.join(directory, `${nameOf(result)}.svg`), plotOf(result));
}

/** Writes the page of measurements, and the plots into `plots` beside it. */
export async function writeMarkdown(file: string, page: Page): Promise<void> {
	for (const result of page.results) {
		await writePlot(path.join(path.dirname(file), 'plots'), result);
	}

	await writeFile(file, pageText(page));
}

/** Text of the page of measurements. */
export function pageText({command, machine, results}: Page): string {
	return [
		'---\nsidebar_position: 6\ntitle: Measurements\n---\n\n# Measurements\n',
		`Written by \`${command}\` on ${machine.startedAt}, with the stand-ins on the same machine.\n`,
		[
			`- Cores: ${machine.cores} (${machine.model})`,
			`- Memory: ${machine.memoryGib} GiB, ${machine.freeMemoryGib} GiB free at the start`,
			`- Node.js: ${machine.node}`,
			`- Load average at the start (1, 5 and 15 minutes): ${machine.loadAverage.join(', ')}`,
		].join('\n'),
		'',
		explanation,
		...results.flatMap(result => [consoleText(result), `![${nameOf(result)}](plots/${nameOf(result)}.svg)\n`]),
	].join('\n');
}

const explanation = `Arrivals are Poisson and follow their schedule whatever the answers do; a latency counts from the scheduled arrival.
The percentage within the target is of all arrivals. "Not run" was reported by the system; "not sent" found no free
connection while its caller waited (twice the target); "unknown" was reported so, or its connection closed; "lost" got no
answer within 5 s; "failed" is any other error. The baseline is a pool without ranks: each load process has a fixed share
of the primary's connections, takes requests first come, first served, and sends all statements to the backend server that
started as the primary. The best replica share is the share of samples in which a replica held the position that the
primary had one sample before. Each floor is the rank's share of all slots of the group, at most what arrived.
`;
