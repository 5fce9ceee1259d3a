/**
 * Many memberships in one process, which exchange messages without a network.
 */
import {MembershipService} from '@crocusloom/membership';
import {
	noopLogger, noopMetrics, type PeerRpc, type RandomSource,
} from '@crocusloom/model';
import {type VirtualClock} from './virtualClock.js';

type Handler = Parameters<PeerRpc['handle']>[1];

const address = '127.0.0.1';
const firstPort = 10_000;
const failureDomains = 8;

/** Messages between the members of a fleet. */
export class FleetTraffic {
	bytes = 0;
	messages = 0;
	private readonly handlers = new Map<string, Map<string, Handler>>();

	/** Calls of one host, addressed by host name or, for a seed, by its port. */
	callsOf(self: string): PeerRpc {
		const own = new Map<string, Handler>();
		this.handlers.set(self, own);
		return {
			handle(method, handler) {
				own.set(method, handler);
			},
			notify: (host, method, parameters) => {
				const text = JSON.stringify(parameters);
				this.messages++;
				this.bytes += text.length;
				const name = host.includes(':') ? hostName(Number(host.split(':').at(-1)) - firstPort) : host;
				void this.handlers.get(name)?.get(method)?.(JSON.parse(text), self, new AbortController().signal);
			},
			async call() {
				throw new Error('members only notify');
			},
		};
	}
}

function hostName(index: number): string {
	return `capacity-proxy-${index}`;
}

/**
 * Starts a fleet whose members all know each other's address.
 * @param count - number of members
 * @param signal - ends them
 */
export function startFleet(count: number, clock: VirtualClock, random: RandomSource, signal: AbortSignal): {readonly members: readonly MembershipService[]; readonly traffic: FleetTraffic} {
	const traffic = new FleetTraffic();
	const seeds = Array.from({length: count}, (_, index) => ({address, port: firstPort + index}));
	const members = seeds.map(({port}, index) => new MembershipService({
		self: {
			host: hostName(index), incarnation: 1_800_000_000_000, failureDomain: `domain-${index % failureDomains}`, address, peerPort: port, workPort: port + 10_000, operatorPort: port + 20_000,
		},
		seeds,
		peers: traffic.callsOf(hostName(index)),
		clock,
		random,
		log: noopLogger,
		metrics: noopMetrics,
		configurationRevision: () => 1,
	}));
	for (const member of members) {
		member.run(signal).catch(() => undefined);
	}

	return {members, traffic};
}
