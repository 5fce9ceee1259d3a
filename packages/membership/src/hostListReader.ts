import {
	childSignal, type Clock, type HostList, type ListedHost, type Logger, type Member, type Membership, type Metrics, type PeerRpc, type RandomSource,
} from '@crocusloom/model';
import {rendezvousFirst} from './rendezvous.js';

/** Interval at which the reader of a failure domain reads the host list. */
const readIntervalMs = 1000;
/** Interval at which the other hosts read the list, in case the notifications of the reader do not reach them. */
const fallbackReadIntervalMs = 15_000;
/** Timeout of one read. */
const readTimeoutMs = 2000;

const hostListChangedMethod = 'hostList.changed';

export type HostListReaderOptions = {
	readonly hostList: HostList;
	readonly membership: Membership;
	readonly peers: PeerRpc;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Logger;
	readonly metrics: Metrics;
};

/**
 * Keeps a copy of the platform's host list. One host of each failure domain, the reader, reads the list every second and
 * notifies the other hosts of changes, so that the number of reads does not grow with the number of hosts.
 */
export class HostListReader {
	private listedHosts: readonly ListedHost[] = [];
	private readonly listeners = new Set<() => void>();

	constructor(private readonly options: HostListReaderOptions) {
		options.peers.handle(hostListChangedMethod, parameters => {
			this.applyHosts((parameters as {readonly hosts: readonly ListedHost[]}).hosts);
		});
	}

	/** Returns the latest known list. */
	currentHosts(): readonly ListedHost[] {
		return this.listedHosts;
	}

	onChange(listener: () => void, signal: AbortSignal): void {
		this.listeners.add(listener);
		signal.addEventListener('abort', () => {
			this.listeners.delete(listener);
		}, {once: true});
	}

	/** Reads the list periodically until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		let sinceReadMs = Number.POSITIVE_INFINITY;
		while (!signal.aborted) {
			if (this.isReader() || sinceReadMs >= fallbackReadIntervalMs) {
				await this.readAndNotify(signal);
				sinceReadMs = 0;
			}

			const pauseMs = readIntervalMs * (0.75 + (this.options.random.next() / 2));
			await this.options.clock.sleep(pauseMs, signal);
			sinceReadMs += pauseMs;
		}
	}

	private isReader(): boolean {
		const {self} = this.options.membership;
		return rendezvousFirst('hostList', [self.host, ...this.localPeers().map(member => member.host)]) === self.host;
	}

	private localPeers(): Member[] {
		const {self} = this.options.membership;
		return this.options.membership.members().filter(member =>
			member.host !== self.host && member.failureDomain === self.failureDomain && member.state === 'alive' && !member.leaving);
	}

	private async readAndNotify(signal: AbortSignal): Promise<void> {
		const readController = childSignal(signal, AbortSignal.timeout(readTimeoutMs));
		try {
			const hosts = await this.options.hostList.list(readController.signal);
			if (this.applyHosts(hosts)) {
				for (const {host} of this.localPeers()) {
					this.options.peers.notify(host, hostListChangedMethod, {hosts});
				}
			}
		} catch {
			this.options.metrics.count('host_list_failures_total');
		} finally {
			readController.release();
		}
	}

	private applyHosts(hosts: readonly ListedHost[]): boolean {
		if (JSON.stringify(hosts) === JSON.stringify(this.listedHosts)) {
			return false;
		}

		this.listedHosts = hosts;
		const leaving = hosts.filter(host => host.state === 'leaving').map(host => host.host);
		this.options.log.info({hosts: hosts.length, leaving}, 'the host list changed');
		for (const listener of this.listeners) {
			listener();
		}

		return true;
	}
}
