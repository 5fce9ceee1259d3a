/**
 * Writes the plots and the measurements page.
 */
import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {type MachineInfo} from './machine.js';
import {renderPlot} from './plots.js';
import {renderResult} from './report.js';
import {experimentName, type ExperimentResult} from './run.js';

export type MeasurementsPage = {readonly command: string; readonly machine: MachineInfo; readonly results: readonly ExperimentResult[]};

/** Writes the plot of an experiment as NAME.svg. @param directory - created if it does not exist */
export async function writePlot(directory: string, result: ExperimentResult): Promise<void> {
	await mkdir(directory, {recursive: true});
	await writeFile(path.join(directory, `${experimentName(result)}.svg`), renderPlot(result));
}

/** Writes the measurements page, and the plots to the directory `plots` next to it. */
export async function writeMarkdown(file: string, page: MeasurementsPage): Promise<void> {
	for (const result of page.results) {
		await writePlot(path.join(path.dirname(file), 'plots'), result);
	}

	await writeFile(file, renderPage(page));
}

/** Renders the measurements page in Markdown. */
export function renderPage({command, machine, results}: MeasurementsPage): string {
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
		...results.flatMap(result => [renderResult(result), `![${experimentName(result)}](plots/${experimentName(result)}.svg)\n`]),
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
