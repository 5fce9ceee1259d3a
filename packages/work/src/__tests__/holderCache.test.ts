import {expect} from 'chai';
import {MembershipService} from '@crocusloom/membership';
import {noopLogger, noopMetrics, type PeerRpc} from '@crocusloom/model';
import {ManualClock} from './fakes.js';

/** A member table of this host and peers, all in one failure domain, whose heartbeats a test delivers. */
function setUp(peers: readonly string[]) {
	const clock = new ManualClock();
	let receive: ((parameters: unknown) => void) | undefined;
	const calls = {
		handle(_method: string, handler: (parameters: unknown) => void) {
			receive = handler;
		},
		notify: () => undefined,
	} as unknown as PeerRpc;
	const place = {
		failureDomain: 'd', address: '127.0.0.1', peerPort: 1, workPort: 2, operatorPort: 3,
	};
	const service = new MembershipService({
		self: {host: 'self', incarnation: 1, ...place}, seeds: [], peers: calls, clock, random: {next: () => 0}, log: noopLogger, metrics: noopMetrics, configurationRevision: () => 1,
	});
	let counter = 0;
	const hear = (host: string) => {
		counter++;
		receive!({r: [[host, 1, counter, ...Object.values(place), false, 1]]});
	};

	for (const peer of peers) {
		hear(peer);
	}

	return {clock, service, hear};
}

const databases = Array.from({length: 40}, (_, index) => `database ${index}`);

describe('cached holders', () => {
	const changes: ReadonlyArray<{readonly name: string; readonly isGone: boolean; readonly act: (world: ReturnType<typeof setUp>) => Promise<void> | void}> = [
		{
			name: 'is unreachable', isGone: true, act({service}) {
				service.reportUnreachable('p1');
			},
		},
		{
			name: 'falls silent', isGone: true, async act({clock, hear}) {
				await clock.advance(20_000);
				hear('p2');
			},
		},
		{name: 'is alive', isGone: false, act: async ({clock}) => clock.advance(10)},
	];
	for (const {name, isGone, act} of changes) {
		it(`follow the membership when a peer ${name} (guards against work sent to a holder of the past)`, async () => {
			const world = setUp(['p1', 'p2']);
			const holders = () => new Set(databases.map(database => world.service.holderOf(database, 'd').host));
			expect([...holders()].toSorted()).to.deep.equal(['p1', 'p2', 'self']);
			await act(world);
			expect(holders().has('p1')).to.equal(!isGone);
		});
	}

	it('are computed once while nothing changes (guards against a hash over all members for each statement)', async () => {
		const {service, clock, hear} = setUp(['p1', 'p2']);
		const first = databases.map(database => service.holderOf(database, 'd'));
		hear('p1');
		await clock.advance(10);
		expect(databases.every((database, index) => service.holderOf(database, 'd') === first[index])).to.equal(true);
		expect(service.self).to.equal(service.self);
	});
});
