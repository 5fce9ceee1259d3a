/**
 * Runs many membership services in one process, which exchange messages without a network.
 */
import {MembershipService} from '@crocusloom/membership';
import {
	noopLogger, noopMetrics, type PeerRpc, type RandomSource,
} from '@crocusloom/model';
import {type VirtualClock} from './virtualClock.js';

type Handler = Parameters<PeerRpc['handle']>[1];

const address = '127.0.0.1';
const firstPort = 10_000;
const failureDomainCount = 8;

/** Delivers notifications between the members of a fleet and counts them. */
export class FleetNetwork {
	sentBytes = 0;
	sentMessages = 0;
	private readonly handlersByHost = new Map<string, Map<string, Handler>>();

	/** Creates the peer RPC of one host. Destinations are host names or, for seeds, `address:port`. */
	createPeerRpc(sender: string): PeerRpc {
		const handlersByMethod = new Map<string, Handler>();
		this.handlersByHost.set(sender, handlersByMethod);
		return {
			handle(method, handler) {
				handlersByMethod.set(method, handler);
			},
			notify: (destination, method, parameters) => {
				const text = JSON.stringify(parameters);
				this.sentMessages++;
				this.sentBytes += text.length;
				const name = destination.includes(':') ? hostNameOf(Number(destination.split(':').at(-1)) - firstPort) : destination;
				void this.handlersByHost.get(name)?.get(method)?.(JSON.parse(text), sender, new AbortController().signal);
			},
			async call() {
				throw new Error('the membership sends only notifications');
			},
		};
	}
}

function hostNameOf(index: number): string {
	return `capacity-proxy-${index}`;
}

/**
 * Starts a fleet in which every member has the addresses of all members as seeds.
 * @param count - number of members
 * @param signal - stops the members
 */
export function startFleet(
	count: number,
	clock: VirtualClock,
	random: RandomSource,
	signal: AbortSignal,
): {readonly members: readonly MembershipService[]; readonly network: FleetNetwork} {
	const network = new FleetNetwork();
	const seeds = Array.from({length: count}, (_, index) => ({address, port: firstPort + index}));
	const members = seeds.map(({port}, index) => new MembershipService({
		self: {
			host: hostNameOf(index),
			incarnation: 1_800_000_000_000,
			failureDomain: `domain-${index % failureDomainCount}`,
			address,
			peerPort: port,
			workPort: port + 10_000,
			operatorPort: port + 20_000,
		},
		seeds,
		peers: network.createPeerRpc(hostNameOf(index)),
		clock,
		random,
		log: noopLogger,
		metrics: noopMetrics,
		configurationRevision: () => 1,
	}));
	for (const member of members) {
		member.run(signal).catch(() => undefined);
	}

	return {members, network};
}
