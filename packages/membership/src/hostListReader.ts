import {createHash} from 'node:crypto';
import {
	type Clock, errorMessageOf, type HostList, type ListedHost, type Logger, type Member, type Membership, type Metrics, type PeerRpc, type RandomSource, withTimeout,
} from '@crocusloom/model';
import {rendezvousFirst} from './rendezvous.js';

/** Interval between the starts of reads of the host list by the reader of a failure domain. */
const readIntervalMs = 1000;
/** Interval at which the other hosts read the list, in case no message of the reader reaches them. */
const fallbackReadIntervalMs = 15_000;
/** Timeout of one read, and of one pull from the reader. */
const readTimeoutMs = 1000;

const hostListChangedMethod = 'hostList.changed';
/** Tells which list the reader has, so that a host whose notification was lost can ask for it. */
const hostListDigestMethod = 'hostList.digest';
const hostListCurrentMethod = 'hostList.current';

type HostsMessage = {readonly hosts: readonly ListedHost[]};

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
 * notifies the other hosts of changes, so that the number of reads does not grow with the number of hosts. After a read without a
 * change it sends a digest, because a notification may be lost.
 */
export class HostListReader {
	private listedHosts: readonly ListedHost[] = [];
	private readonly listeners = new Set<() => void>();
	/** Signal of `run`; undefined before it is called. */
	private runSignal: AbortSignal | undefined;

	constructor(private readonly options: HostListReaderOptions) {
		options.peers.handle(hostListChangedMethod, parameters => {
			this.applyHosts((parameters as HostsMessage).hosts);
		});
		options.peers.handle(hostListCurrentMethod, () => ({hosts: this.listedHosts}));
		options.peers.handle(hostListDigestMethod, (parameters, callerHost) => {
			if ((parameters as {readonly digest: string}).digest !== this.digest() && this.runSignal) {
				void this.pullFrom(callerHost, this.runSignal);
			}
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
		const {clock, random} = this.options;
		this.runSignal = signal;
		let lastReadMs = Number.NEGATIVE_INFINITY;
		while (!signal.aborted) {
			const startedMs = clock.nowMs();
			if (this.isReader() || startedMs - lastReadMs >= fallbackReadIntervalMs) {
				await this.readAndNotify(signal);
				lastReadMs = startedMs;
			}

			const intervalMs = readIntervalMs * (0.75 + (random.next() / 2));
			await clock.sleep(Math.max(0, intervalMs - (clock.nowMs() - startedMs)), signal);
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
		const {clock, hostList, metrics, peers} = this.options;
		try {
			const hosts = await withTimeout(clock, readTimeoutMs, signal, async callSignal => hostList.list(callSignal));
			const hasChanged = this.applyHosts(hosts);
			for (const {host} of this.localPeers()) {
				if (hasChanged) {
					peers.notify(host, hostListChangedMethod, {hosts});
				} else {
					peers.notify(host, hostListDigestMethod, {digest: this.digest()});
				}
			}
		} catch {
			metrics.count('host_list_failures_total');
		}
	}

	private async pullFrom(host: string, signal: AbortSignal): Promise<void> {
		const {clock, log, peers} = this.options;
		try {
			const {hosts} = await withTimeout(clock, readTimeoutMs, signal, async callSignal => peers.call<HostsMessage>(host, hostListCurrentMethod, {}, callSignal));
			this.applyHosts(hosts);
		} catch (error) {
			if (!signal.aborted) {
				log.warn({reader: host, reason: errorMessageOf(error)}, 'the host list could not be pulled; the next digest causes another attempt');
			}
		}
	}

	private digest(): string {
		return createHash('sha1').update(JSON.stringify(this.listedHosts)).digest('base64');
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
