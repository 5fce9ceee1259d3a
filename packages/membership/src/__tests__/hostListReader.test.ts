import {
	FailureError, type ListedHost, type Member, noopLogger, noopMetrics, type PeerRpc,
} from '@crocusloom/model';
import {FakeClock} from '@crocusloom/model/testing';
import {expect} from 'chai';
import {HostListReader, longestHostListNoticeMs} from '../hostListReader.js';

/** Bound after which a leaving backend server may receive no new work. */
const leavingBoundMs = 3000;
/** Timeout of the client of the host list. */
const callTimeoutMs = 2000;
const hostNames = ['h1', 'h2', 'h3'];

function listedBackend(state: ListedHost['state']): ListedHost {
	return {
		host: 'b1', kind: 'backend', failureDomain: 'bryan', address: '10.1.1.1', port: 5432, state,
	};
}

function createMember(host: string): Member {
	return {
		host, incarnation: 1, failureDomain: 'bryan', address: '127.0.0.1', peerPort: 1, workPort: 2, operatorPort: 3, state: 'alive', leaving: false, configurationRevision: 0, silentMs: 0,
	};
}

type Handler = Parameters<PeerRpc['handle']>[1];

/** Readers of one failure domain with a host list whose reads and notifications a test can lose. */
class FakeDomain {
	readonly clock = new FakeClock();
	hosts: readonly ListedHost[] = [listedBackend('live')];
	/** Reads that begin until this time are never answered. */
	readsLostUntilMs = Number.NEGATIVE_INFINITY;
	areNotificationsLost = false;
	readonly messages: string[] = [];
	readonly readers: readonly HostListReader[];
	private readonly handlers = new Map<string, Map<string, Handler>>();
	private readonly abortController = new AbortController();

	/** @param draw - every random number, from 0 to 1 */
	constructor(private readonly draw: number) {
		this.readers = hostNames.map(host => this.createReader(host));
	}

	start(): void {
		for (const reader of this.readers) {
			reader.run(this.abortController.signal).catch(() => undefined);
		}
	}

	stop(): void {
		this.abortController.abort(new Error('the test ends'));
	}

	/** Starts a new process of a host, which takes the place of the earlier one. */
	restart(host: string): HostListReader {
		const reader = this.createReader(host);
		reader.run(this.abortController.signal).catch(() => undefined);
		return reader;
	}

	/** Returns true if all hosts know that the backend server leaves. */
	get isKnown(): boolean {
		return this.readers.every(reader => reader.currentHosts().some(({state}) => state === 'leaving'));
	}

	/** Sends a message from one host to another, as a peer of another release may. */
	async send(from: string, to: string, method: string, parameters: unknown): Promise<void> {
		await this.handlers.get(to)!.get(method)!(parameters, from, this.abortController.signal);
	}

	private async list(): Promise<readonly ListedHost[]> {
		if (this.clock.nowMs() <= this.readsLostUntilMs) {
			await this.clock.sleep(callTimeoutMs);
			throw new Error('no answer');
		}

		return this.hosts;
	}

	private createReader(host: string): HostListReader {
		return new HostListReader({
			hostList: {list: async () => this.list()},
			membership: {
				self: createMember(host), members: () => hostNames.map(name => createMember(name)), holderOf: createMember, reportUnreachable: () => undefined, onChange: () => undefined,
			},
			peers: this.peersOf(host),
			clock: this.clock,
			random: {next: () => this.draw},
			log: {
				...noopLogger,
				info: (_fields, message) => {
					this.messages.push(message);
				},
				warn: (_fields, message) => {
					this.messages.push(message);
				},
			},
			metrics: noopMetrics,
		});
	}

	private peersOf(self: string): PeerRpc {
		const ownHandlers = new Map<string, Handler>();
		this.handlers.set(self, ownHandlers);
		const deliver = async (host: string, method: string, parameters: unknown, signal: AbortSignal): Promise<unknown> => {
			const handler = this.handlers.get(host)?.get(method);
			if (!handler) {
				throw new FailureError({
					kind: 'peer', step: 'peer', peer: host, message: 'unreachable',
				});
			}

			return handler(parameters, self, signal);
		};

		return {
			call: async <R>(host: string, method: string, parameters: unknown, signal: AbortSignal) => deliver(host, method, parameters, signal) as Promise<R>,
			notify: (host, method, parameters) => {
				if (!this.areNotificationsLost) {
					deliver(host, method, parameters, this.abortController.signal).catch(() => undefined);
				}
			},
			handle(method, handler) {
				ownHandlers.set(method, handler);
			},
		};
	}
}

type Case = {readonly title: string; readonly change: (domain: FakeDomain) => void};

const cases: readonly Case[] = [
	{title: 'with nothing wrong', change: () => undefined},
	{
		title: 'if the next read is never answered',
		change(domain) {
			domain.readsLostUntilMs = domain.clock.nowMs() + 1250;
		},
	},
	{
		title: 'if the notification of the change is lost',
		change(domain) {
			domain.areNotificationsLost = true;
			void domain.clock.sleep(1300).then(() => {
				domain.areNotificationsLost = false;
			});
		},
	},
	{
		title: 'if no message of the reader arrives any more',
		change(domain) {
			domain.areNotificationsLost = true;
		},
	},
];

const oddMessages: ReadonlyArray<{readonly name: string; readonly method: string; readonly parameters: unknown}> = [
	{name: 'a list without parameters', method: 'hostList.changed', parameters: null},
	{name: 'a list without hosts', method: 'hostList.changed', parameters: {}},
	{name: 'hosts that are no list', method: 'hostList.changed', parameters: {hosts: {}}},
	{name: 'a host that is null', method: 'hostList.changed', parameters: {hosts: [null]}},
	{name: 'a port out of range', method: 'hostList.changed', parameters: {hosts: [{...listedBackend('live'), port: 70_000}]}},
	{name: 'an unknown state', method: 'hostList.changed', parameters: {hosts: [{...listedBackend('live'), state: 'gone'}]}},
	{name: 'a digest without parameters', method: 'hostList.digest', parameters: null},
];

describe('host list reader', () => {
	it('tells all hosts within the bound that a backend server leaves, by the sum of all waits (guards against constants that do not add up to the bound)', () => {
		expect(longestHostListNoticeMs()).to.be.below(leavingBoundMs);
	});

	it('logs the begin and the end of an outage once on each host (guards against failed reads without a line, and a line for each of them)', async () => {
		const domain = new FakeDomain(0.5);
		domain.start();
		await domain.clock.runUntil(5000);
		domain.messages.length = 0;
		domain.readsLostUntilMs = domain.clock.nowMs() + 20_000;
		await domain.clock.runUntil(40_000);
		domain.stop();
		expect(domain.messages.toSorted()).to.deep.equal([
			...hostNames.map(() => 'the host list cannot be read; the last list stays in use'),
			...hostNames.map(() => 'the host list is current again'),
		]);
	});

	for (const {title, change} of cases) {
		it(`tells all hosts within the bound that a backend server leaves, ${title} (guards against new work at leaving servers)`, async () => {
			for (const draw of [0, 0.5, 0.999]) {
				for (let phaseMs = 0; phaseMs < 3000; phaseMs += 100) {
					const domain = new FakeDomain(draw);
					domain.start();
					await domain.clock.runUntil(5000 + phaseMs);
					domain.hosts = [listedBackend('leaving')];
					change(domain);
					const changedMs = domain.clock.nowMs();
					await domain.clock.runUntil(changedMs + 60_000, () => domain.isKnown);
					domain.stop();
					expect(domain.clock.nowMs() - changedMs, `draw ${draw}, phase ${phaseMs} ms`).to.be.at.most(leavingBoundMs);
				}
			}
		});
	}

	for (const {name, method, parameters} of oddMessages) {
		it(`keeps its list and follows the next change after an odd message of a peer, ${name} (guards against a message that ends the reader or empties its list)`, async () => {
			const domain = new FakeDomain(0.5);
			domain.start();
			await domain.clock.runUntil(5000);
			for (const host of hostNames) {
				const otherHost = hostNames.find(name => name !== host)!;
				await domain.send(otherHost, host, method, parameters);
			}

			expect(domain.readers.map(reader => reader.currentHosts())).to.deep.equal(hostNames.map(() => domain.hosts));
			domain.hosts = [listedBackend('leaving')];
			const changedMs = domain.clock.nowMs();
			await domain.clock.runUntil(changedMs + 60_000, () => domain.isKnown);
			domain.stop();
			expect(domain.clock.nowMs() - changedMs).to.be.at.most(leavingBoundMs);
		});
	}

	for (const restartedHost of hostNames) {
		it(`learns from peers which servers leave if it starts while the host list is unavailable, on ${restartedHost} (guards against new work at a leaving server after a restart)`, async () => {
			const domain = new FakeDomain(0.5);
			domain.hosts = [listedBackend('leaving')];
			domain.start();
			await domain.clock.runUntil(5000);
			domain.readsLostUntilMs = Number.POSITIVE_INFINITY;
			const restarted = domain.restart(restartedHost);
			await domain.clock.runUntil(5000 + leavingBoundMs);
			domain.stop();
			expect(restarted.currentHosts()).to.deep.equal(domain.hosts);
		});
	}

	it('keeps its list while the host list is unavailable (guards against an older list of a peer that replaces it)', async () => {
		const domain = new FakeDomain(0.5);
		domain.start();
		await domain.clock.runUntil(5000);
		domain.areNotificationsLost = true;
		const olderList = domain.hosts;
		domain.hosts = [listedBackend('leaving')];
		await domain.clock.runUntil(10_000);
		domain.readsLostUntilMs = Number.POSITIVE_INFINITY;
		await domain.send('h2', 'h1', 'hostList.changed', {hosts: olderList});
		await domain.clock.runUntil(20_000);
		domain.stop();
		expect(domain.readers.slice(1).map(reader => reader.currentHosts())).to.deep.equal([domain.hosts, domain.hosts]);
	});
});
