import {expect} from 'chai';
import {MembershipService} from '@crocusloom/membership';
import {noopLogger, noopMetrics, type PeerRpc} from '@crocusloom/model';
import {FakeClock} from '@crocusloom/model/testing';

/** Creates a membership service with peers in one failure domain, to which a test delivers their heartbeats. */
function setUp(peers: readonly string[]) {
	const clock = new FakeClock();
	let deliver: ((parameters: unknown) => void) | undefined;
	const peerRpc = {
		handle(_method: string, handler: (parameters: unknown) => void) {
			deliver = handler;
		},
		notify: () => undefined,
	} as unknown as PeerRpc;
	const memberFields = {
		failureDomain: 'd', address: '127.0.0.1', peerPort: 1, workPort: 2, operatorPort: 3,
	};
	const service = new MembershipService({
		self: {host: 'self', incarnation: 1, ...memberFields}, seeds: [], peers: peerRpc, clock, random: {next: () => 0}, log: noopLogger, metrics: noopMetrics, configurationRevision: () => 1,
	});
	let counter = 0;
	const receiveHeartbeat = (host: string) => {
		counter++;
		deliver!({r: [[host, 1, counter, ...Object.values(memberFields), false, 1]]});
	};

	for (const peer of peers) {
		receiveHeartbeat(peer);
	}

	return {clock, service, receiveHeartbeat};
}

const databases = Array.from({length: 40}, (_, index) => `database ${index}`);

describe('cached holders', () => {
	const membershipChanges: ReadonlyArray<{readonly name: string; readonly isRemoved: boolean; readonly change: (fixture: ReturnType<typeof setUp>) => Promise<void> | void}> = [
		{
			name: 'is unreachable', isRemoved: true, change({service}) {
				service.reportUnreachable('p1');
			},
		},
		{
			name: 'stops sending heartbeats', isRemoved: true, async change({clock, receiveHeartbeat}) {
				await clock.advance(20_000);
				receiveHeartbeat('p2');
			},
		},
		{name: 'is alive', isRemoved: false, change: async ({clock}) => clock.advance(10)},
	];
	for (const {name, isRemoved, change} of membershipChanges) {
		it(`follow the membership when a peer ${name} (guards against work sent to a former holder)`, async () => {
			const fixture = setUp(['p1', 'p2']);
			const holders = () => new Set(databases.map(database => fixture.service.holderOf(database, 'd').host));
			expect([...holders()].toSorted()).to.deep.equal(['p1', 'p2', 'self']);
			await change(fixture);
			expect(holders().has('p1')).to.equal(!isRemoved);
		});
	}

	it('are computed once while nothing changes (guards against hashing all members for each statement)', async () => {
		const {service, clock, receiveHeartbeat} = setUp(['p1', 'p2']);
		const first = databases.map(database => service.holderOf(database, 'd'));
		receiveHeartbeat('p1');
		await clock.advance(10);
		expect(databases.every((database, index) => service.holderOf(database, 'd') === first[index])).to.equal(true);
		expect(service.self).to.equal(service.self);
	});
});
