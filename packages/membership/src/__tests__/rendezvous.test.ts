import {assert} from 'chai';
import fc from 'fast-check';
import {rendezvousFirst, rendezvousOrder} from '../rendezvous.js';
import {maximumHeartbeatPartners, ringNeighbours} from '../membershipService.js';

const hostNamesArbitrary = fc.uniqueArray(fc.nat(9999).map(number => `h${number}`), {minLength: 1, maxLength: 30});
const seed = 20_261_204;

describe('rendezvousOrder', () => {
	it('guards against the removal of a host that reassigns keys of other hosts', () => {
		fc.assert(fc.property(hostNamesArbitrary, fc.string(), (hosts, key) => {
			const removedHost = hosts[0]!;
			const holderBefore = rendezvousFirst(key, hosts);
			const holderAfter = rendezvousFirst(key, hosts.slice(1));
			assert.isTrue(holderBefore === removedHost || holderBefore === holderAfter);
		}), {seed});
	});

	it('guards against an order that depends on the order of the input', () => {
		fc.assert(fc.property(hostNamesArbitrary, fc.string(), (hosts, key) => {
			assert.deepEqual(rendezvousOrder(key, hosts), rendezvousOrder(key, hosts.toReversed()));
		}), {seed});
	});

	it('guards against an uneven distribution of databases', () => {
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
	it('guards against neighbours that are not mutual, and against a number of neighbours that grows with the number of hosts', () => {
		fc.assert(fc.property(hostNamesArbitrary, hosts => {
			for (const host of hosts) {
				const partners = ringNeighbours(host, hosts.filter(other => other !== host));
				assert.isAtMost(partners.length, maximumHeartbeatPartners);
				for (const partner of partners) {
					assert.include(ringNeighbours(partner, hosts.filter(other => other !== partner)), host);
				}
			}
		}), {seed, numRuns: 50});
	});
});
