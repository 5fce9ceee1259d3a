import {maximumNotifiedNeighbours} from '@crocusloom/control';
import {rendezvousOrder, ringNeighbours} from '@crocusloom/membership';
import {expect} from 'chai';

/** Numbers of hosts of one deployment, up to the target size. */
const hostCounts = [5, 12, 36, 205, 820];
const hostNamePrefixes = ['h', 'front-bryan-', 'n'];

/** Returns the hosts that notifications reach; each host that gets a change notifies its own neighbours. */
function notifiedHosts(hosts: readonly string[], watcher: string): ReadonlySet<string> {
	const notified = new Set([watcher]);
	for (const host of notified) {
		const neighbours = rendezvousOrder(host, hosts.filter(other => other !== host)).slice(0, maximumNotifiedNeighbours);
		for (const neighbour of neighbours) {
			notified.add(neighbour);
		}
	}

	return notified;
}

describe('changes of the configuration', () => {
	for (const hostCount of hostCounts) {
		it(`reach each of ${hostCount} hosts by notifications and one heartbeat (guards against a bound that counts fewer hops than a change takes)`, () => {
			for (const prefix of hostNamePrefixes) {
				const hosts = Array.from({length: hostCount}, (_, index) => `${prefix}${index}`);
				const notified = notifiedHosts(hosts, hosts[0]!);
				const unreached = hosts.filter(host => !notified.has(host) && !ringNeighbours(host, hosts.filter(other => other !== host)).some(neighbour => notified.has(neighbour)));
				expect(unreached, prefix).to.deep.equal([]);
			}
		});
	}
});
