import {assert} from 'chai';
import fc from 'fast-check';
import {rendezvousFirst, rendezvousOrder} from '../rendezvous.js';
import {maximumPartners, ringNeighbours} from '../membershipService.js';

const hostNames = fc.uniqueArray(fc.nat(9999).map(number => `h${number}`), {minLength: 1, maxLength: 30});
const seed = 20_261_204;

describe('rendezvousOrder', () => {
	it('guards against keys moving that a removed host did not have', () => {
		fc.assert(fc.property(hostNames, fc.string(), (hosts, key) => {
			const removed = hosts[0]!;
			const before = rendezvousFirst(key, hosts);
			const after = rendezvousFirst(key, hosts.slice(1));
			assert.isTrue(before === removed || before === after);
		}), {seed});
	});

	it('guards against the order of the input deciding', () => {
		fc.assert(fc.property(hostNames, fc.string(), (hosts, key) => {
			assert.deepEqual(rendezvousOrder(key, hosts), rendezvousOrder(key, hosts.toReversed()));
		}), {seed});
	});

	it('guards against one host holding most databases', () => {
		const hosts = Array.from({length: 5}, (_, index) => `host-${index}`);
		const counts = new Map(hosts.map(host => [host, 0]));
		for (let index = 0; index < 1000; index++) {
			const host = rendezvousFirst(`database-${index}`, hosts)!;
			counts.set(host, counts.get(host)! + 1);
		}

		assert.isBelow(Math.max(...counts.values()), 300);
	});
});

describe('ringNeighbours', () => {
	it('guards against heartbeats that only one side sends, and against partners that grow with the fleet', () => {
		fc.assert(fc.property(hostNames, hosts => {
			for (const host of hosts) {
				const partners = ringNeighbours(host, hosts.filter(other => other !== host));
				assert.isAtMost(partners.length, maximumPartners);
				for (const partner of partners) {
					assert.include(ringNeighbours(partner, hosts.filter(other => other !== partner)), host);
				}
			}
		}), {seed, numRuns: 50});
	});
});
