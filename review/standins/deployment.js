/* eslint camelcase: "off" -- the platform gives the names of the fields */
/**
 * A small deployment: two proxies before one service of three databases, requesters of three routes, and a record of what happened.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {DatabaseGroup, unreachableDropMs} from './databases.js';
import {Proxy} from './proxies.js';
import {Relay} from './relay.js';
import {Requester} from './requester.js';
import {Store} from './store.js';

const readyLimitMs = 20_000;
const readinessIntervalMs = 100;
const requestersPerRoute = 8;
const pauseMs = 100;
const routes = [
	{
		database: 'lepu270', routeType: 'primary', priority: 0, writeShare: 0.3, timeoutMs: 800, targetMs: 150, deadlineMs: 1000,
	},
	{
		database: 'fiti832ti23', routeType: 'read_your_writes', priority: 1, writeShare: 0.12, timeoutMs: 800, targetMs: 250, deadlineMs: 1000, maxStalenessMs: 2500,
	},
	{
		database: 'xapu221ny95', routeType: 'bounded_staleness', priority: 2, writeShare: 0, timeoutMs: 2000, targetMs: 1000, deadlineMs: 3000, maxStalenessMs: 1500,
	},
];

/** False for the run without the disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

export const exitCodes = {held: 0, broken: 1, notRun: 2};

export const sleep = async durationMs => new Promise(resolve => {
	setTimeout(resolve, durationMs);
});

export class Deployment {
	startedMs = performance.now();
	lines = [];
	results = [];
	relays = [];
	proxies = [];
	store = new Store();
	directory = mkdtempSync(path.join(os.tmpdir(), 'review-'));
	isStopped = false;

	/** @param options - `workMs` that a database takes for a read, write or commit */
	constructor({workMs}) {
		this.group = new DatabaseGroup({
			slots: 3, maxConnections: 22, workMs, zones: ['bryan', 'waco', 'temple'],
		});
	}

	/** Adds a line to the record. */
	note(text) {
		this.lines.push(`${this.timeOf(performance.now())}  ${text}`);
		console.log(this.lines.at(-1));
	}

	timeOf(ms) {
		return `${((ms - this.startedMs) / 1000).toFixed(3)} s`;
	}

	/** @returns false if the proxies did not get ready */
	async start() {
		const {store, group, directory} = this;
		await store.start();
		await group.start();
		for (const database of group.databases) {
			const relay = new Relay(database.port, unreachableDropMs);
			await relay.start();
			this.relays.push(relay);
		}

		group.onRoleChange = () => {
			this.writeEntries();
		};

		store.decidePromotion = ({id}) => {
			this.note(`the platform is asked to promote ${id}`);
			group.promote(id);
			return 200;
		};

		store.write('op/config', {
			version: 7,
			routes: routes.map(route => ({
				name: `r-${route.database}`,
				host: route.database,
				prefix: '/',
				route_type: route.routeType,
				timeout_ms: route.timeoutMs,
				target_latency_ms: route.targetMs,
				priority: route.priority,
				service: group.service,
				max_attempts: 2,
				...(route.maxStalenessMs && {max_staleness_ms: route.maxStalenessMs}),
			})),
			services: [{
				name: group.service, health_path: '/health', max_connections: group.maxConnections, protocol: 'h1', tls: false, sync_replicas: 1,
			}],
			limits: {tx_idle_ms: 3000},
		});
		this.writeEntries();
		for (const zone of ['bryan', 'waco']) {
			const proxy = new Proxy(`front-${zone}-1`, {
				directory, zone, storeAddress: store.address, promotionAddress: store.address,
			});
			await proxy.configure();
			proxy.start();
			this.proxies.push(proxy);
		}

		return this.waitUntilReady();
	}

	writeEntries() {
		for (const [index, database] of this.group.databases.entries()) {
			this.store.write(`servers/${database.id}`, database.entry(this.relays[index].address));
		}
	}

	async waitUntilReady() {
		const deadlineMs = performance.now() + readyLimitMs;
		while (performance.now() < deadlineMs) {
			const answers = await Promise.all(this.proxies.map(async proxy => proxy.isReady()));
			if (answers.every(Boolean)) {
				this.note('all proxies are ready');
				return true;
			}

			await sleep(readinessIntervalMs);
		}

		this.note('the proxies did not get ready');
		return false;
	}

	/** Starts the requesters, half of which prefer the one proxy and half the other. */
	startRequesters() {
		const ports = this.proxies.map(({frontPort}) => frontPort);
		const requesters = routes.flatMap(route => Array.from({length: requestersPerRoute}, (_, index) => new Requester(`${route.database}-${index}`, {
			...route, ports: index % 2 === 0 ? ports : ports.toReversed(), pauseMs, record: result => this.results.push(result),
		})));
		this.running = requesters.map(async requester => requester.run(() => this.isStopped));
		this.note(`${requesters.length} requesters begin`);
	}

	async stopRequesters() {
		this.isStopped = true;
		await Promise.all(this.running ?? []);
	}

	/** Returns the reads and writes that were sent in a span. */
	operationsSent(fromMs, toMs) {
		return this.results.filter(({sentMs, isOperation}) => isOperation && sentMs >= fromMs && sentMs < toMs);
	}

	/** Ends all processes and writes the record. */
	async finish(recordFile, verdict) {
		await this.stopRequesters();
		await Promise.all(this.proxies.map(async proxy => proxy.end('SIGKILL')));
		for (const relay of this.relays) {
			relay.stop();
		}

		this.group.stop();
		this.store.stop();
		const sent = this.results.map(({sentMs, tookMs, requester, port, id, text, outcome}) =>
			`${this.timeOf(sentMs)}  ${requester} to port ${port}: ${id} ${text} -> ${outcome} after ${Math.round(tookMs)} ms`);
		const arrived = this.group.arrivals.map(({atMs, database, id, verb}) => `${this.timeOf(atMs)}  ${database} receives ${id} ${verb}`);
		const run = this.group.runs.map(({atMs, database, id, verb}) => `${this.timeOf(atMs)}  ${database} has run ${id} ${verb}`);
		writeFileSync(recordFile, [verdict, ...this.lines, '', 'sent and answered', ...sent, '', 'received by databases', ...arrived, '', 'run by databases', ...run, ''].join('\n'));
		if (process.env.KEEP_LOGS) {
			console.log(`logs of the proxies: ${this.directory}`);
		} else {
			rmSync(this.directory, {recursive: true});
		}
	}
}

/**
 * Plays a case in a deployment, and ends the process with its exit code.
 * @param options - `rule` that is checked, `workMs` of the databases, `recordFile`
 * @param play - receives the deployment and returns the exit code
 */
export async function runCase({rule, workMs, recordFile}, play) {
	const deployment = new Deployment({workMs});
	let exitCode = exitCodes.notRun;
	try {
		exitCode = await deployment.start() ? await play(deployment) : exitCodes.notRun;
	} catch (error) {
		deployment.note(`the case could not run: ${error.stack}`);
	}

	const verdict = `exit code ${exitCode}: ${[`${rule} held`, `${rule} is broken`, 'the case could not run'][exitCode]} (${hasTrouble ? 'with' : 'without'} the disruption)`;
	await deployment.finish(recordFile, verdict);
	console.log(verdict);
	// Connections of requesters may be open still.
	process.exit(exitCode); // eslint-disable-line unicorn/no-process-exit
}
