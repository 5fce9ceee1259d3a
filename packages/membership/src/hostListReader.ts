import {
	childSignal, type Clock, type HostList, type ListedHost, type Logger, type Member, type Membership, type Metrics, type PeerRpc, type RandomSource,
} from '@crocusloom/model';
import {rendezvousFirst} from './rendezvous.js';

/** Time between two looks at the list by the host that reads for its failure domain. */
const readerIntervalMs = 1000;
/** Time between two looks by the other hosts, in case the reader does not reach them. */
const fallbackIntervalMs = 15_000;
/** Time limit of one look. */
const readTimeoutMs = 2000;

const listMethod = 'hostList.changed';

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
 * Keeps the platform's host list. One host of each failure domain reads it each second and passes changes on, so that
 * the reads do not grow with the number of hosts.
 */
export class HostListReader {
	private hosts: readonly ListedHost[] = [];
	private readonly listeners = new Set<() => void>();

	constructor(private readonly options: HostListReaderOptions) {
		options.peers.handle(listMethod, parameters => {
			this.take((parameters as {readonly hosts: readonly ListedHost[]}).hosts);
		});
	}

	/** The list as last read. */
	current(): readonly ListedHost[] {
		return this.hosts;
	}

	onChange(listener: () => void, signal: AbortSignal): void {
		this.listeners.add(listener);
		signal.addEventListener('abort', () => {
			this.listeners.delete(listener);
		}, {once: true});
	}

	/** Reads the list until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		let silentMs = Number.POSITIVE_INFINITY;
		while (!signal.aborted) {
			if (this.isReader() || silentMs >= fallbackIntervalMs) {
				await this.read(signal);
				silentMs = 0;
			}

			const pauseMs = readerIntervalMs * (0.75 + (this.options.random.next() / 2));
			await this.options.clock.sleep(pauseMs, signal);
			silentMs += pauseMs;
		}
	}

	private isReader(): boolean {
		const {self} = this.options.membership;
		return rendezvousFirst('hostList', [self.host, ...this.neighbours().map(member => member.host)]) === self.host;
	}

	private neighbours(): Member[] {
		const {self} = this.options.membership;
		return this.options.membership.members().filter(member =>
			member.host !== self.host && member.failureDomain === self.failureDomain && member.state === 'alive' && !member.leaving);
	}

	private async read(signal: AbortSignal): Promise<void> {
		const limited = childSignal(signal, AbortSignal.timeout(readTimeoutMs));
		try {
			const hosts = await this.options.hostList.list(limited.signal);
			if (this.take(hosts)) {
				for (const {host} of this.neighbours()) {
					this.options.peers.notify(host, listMethod, {hosts});
				}
			}
		} catch {
			this.options.metrics.count('host_list_failures_total');
		} finally {
			limited.release();
		}
	}

	private take(hosts: readonly ListedHost[]): boolean {
		if (JSON.stringify(hosts) === JSON.stringify(this.hosts)) {
			return false;
		}

		this.hosts = hosts;
		const leaving = hosts.filter(host => host.state === 'leaving').map(host => host.host);
		this.options.log.info({hosts: hosts.length, leaving}, 'the host list changed');
		for (const listener of this.listeners) {
			listener();
		}

		return true;
	}
}
