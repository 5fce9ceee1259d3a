import {createHash} from 'node:crypto';
import {
	type Clock, errorMessageOf, type HostList, type ListedHost, type Logger, type Member, type Membership, type Metrics, type PeerRpc, type RandomSource, withTimeout,
} from '@crocusloom/model';
import {
	decodeDigest, decodeHosts, type DigestMessage, type HostsMessage,
} from './hostListMessages.js';
import {rendezvousFirst} from './rendezvous.js';

/** Mean interval between the starts of reads of the host list by the reader of a failure domain. */
export const readIntervalMs = 1000;
/** Share by which an interval between reads is randomly longer or shorter. */
const readIntervalVariation = 0.25;
/** Longest time without a message of the reader after which another host reads the list itself. */
const maximumReaderSilenceMs = 1800;
/** Share of that time by which it is randomly shorter, so that the hosts of a domain do not all read at once. */
const readerSilenceVariation = 0.2;
export const meanReaderSilenceMs = maximumReaderSilenceMs * (1 - (readerSilenceVariation / 2));
/** Timeout of one read, and of one pull from the reader. */
const readTimeoutMs = 1000;

/**
 * Returns the longest time until all hosts know a change of the list, without the time that an answer takes. In the worst case one read
 * is never answered and the next one reports the change, or the reader is no longer heard and the own read takes its whole timeout.
 */
export function longestHostListNoticeMs(): number {
	const longestReadIntervalMs = readIntervalMs * (1 + readIntervalVariation);
	return Math.max(2 * longestReadIntervalMs, maximumReaderSilenceMs + readTimeoutMs);
}

/** Maximum number of peers that a starting host asks for the list in one round. */
const maximumFirstListPeers = 3;

const hostListChangedMethod = 'hostList.changed';
/** Tells which list the reader has, so that a host whose notification was lost can ask for it. */
const hostListDigestMethod = 'hostList.digest';
const hostListCurrentMethod = 'hostList.current';

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
 * change it sends a digest, because a notification may be lost. A host that no longer hears the reader reads the list itself.
 */
export class HostListReader {
	private listedHosts: readonly ListedHost[] = [];
	private readonly listeners = new Set<() => void>();
	/** Signal of `run`; undefined before it is called. */
	private runSignal: AbortSignal | undefined;
	private nextReadMs = Number.NEGATIVE_INFINITY;
	/** Start of the first of a series of failed reads; undefined while the list is current. */
	private failingSinceMs: number | undefined;
	/** False until this process has read the list or got it from a peer. */
	private hasList = false;
	private isPullingFirstList = false;

	constructor(private readonly options: HostListReaderOptions) {
		options.peers.handle(hostListChangedMethod, parameters => {
			this.applyReaderHosts(parameters);
		});
		options.peers.handle(hostListCurrentMethod, (): HostsMessage => ({hosts: this.listedHosts}));
		options.peers.handle(hostListDigestMethod, (parameters, callerHost) => {
			const digest = decodeDigest(parameters);
			if (digest === this.digest()) {
				this.postponeRead();
			} else if (digest !== undefined && this.runSignal) {
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

	/** Reads the list, on the reader periodically and on other hosts when the reader is silent, until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, membership} = this.options;
		if (!this.runSignal) {
			membership.onChange(() => {
				void this.pullFirstList(signal);
			}, signal);
		}

		this.runSignal = signal;
		void this.pullFirstList(signal);
		while (!signal.aborted) {
			const nowMs = clock.nowMs();
			if (nowMs < this.nextReadMs) {
				await clock.sleep(this.nextReadMs - nowMs, signal);
				continue;
			}

			this.nextReadMs = nowMs + this.readDelayMs();
			await this.readAndNotify(signal);
		}
	}

	/** Computes the delay until the next read: the interval of the reader, and on other hosts the time for which they wait for the reader. */
	private readDelayMs(): number {
		const {random} = this.options;
		return this.isReader()
			? readIntervalMs * (1 + (readIntervalVariation * ((2 * random.next()) - 1)))
			: maximumReaderSilenceMs * (1 - (readerSilenceVariation * random.next()));
	}

	/** Postpones the read of this host after the reader has been heard. */
	private postponeRead(): void {
		this.recordCurrent();
		if (!this.isReader()) {
			this.nextReadMs = this.options.clock.nowMs() + this.readDelayMs();
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
		const {clock, hostList, peers} = this.options;
		const startedMs = clock.nowMs();
		try {
			const hosts = await withTimeout(clock, readTimeoutMs, signal, async callSignal => hostList.list(callSignal));
			this.recordCurrent();
			const hasChanged = this.applyHosts(hosts);
			for (const {host} of this.localPeers()) {
				if (hasChanged) {
					peers.notify(host, hostListChangedMethod, {hosts} satisfies HostsMessage);
				} else {
					peers.notify(host, hostListDigestMethod, {digest: this.digest()} satisfies DigestMessage);
				}
			}
		} catch (error) {
			if (!signal.aborted) {
				this.recordReadFailure(startedMs, error);
				void this.pullFirstList(signal);
			}
		}
	}

	/** Records that this host has the current list, from a read or from the reader. */
	private recordCurrent(): void {
		if (this.failingSinceMs !== undefined) {
			this.options.log.info({unreadableForMs: Math.round(this.options.clock.nowMs() - this.failingSinceMs)}, 'the host list is current again');
			this.failingSinceMs = undefined;
		}
	}

	/** Counts a failed read, and logs the first one of a series, so that a long outage does not fill the log. */
	private recordReadFailure(startedMs: number, error: unknown): void {
		const {log, metrics} = this.options;
		metrics.count('host_list_failures_total');
		if (this.failingSinceMs === undefined) {
			this.failingSinceMs = startedMs;
			log.warn({hosts: this.listedHosts.length, reason: errorMessageOf(error)}, 'the host list cannot be read; the last list stays in use');
		}
	}

	/** Pulls the list of a peer that has a newer one than this host. */
	private async pullFrom(host: string, signal: AbortSignal): Promise<void> {
		const message = await this.requestHosts(host, signal);
		if (message !== undefined) {
			this.applyReaderHosts(message);
		}
	}

	/**
	 * Pulls the list of a peer if this process has none since its start, because it would otherwise use servers that leave while the
	 * platform does not answer. Later lists of peers are not pulled in this way, as they may be older than the own one.
	 */
	private async pullFirstList(signal: AbortSignal): Promise<void> {
		if (this.hasList || this.isPullingFirstList) {
			return;
		}

		this.isPullingFirstList = true;
		for (const host of this.firstListPeers()) {
			const hosts = decodeHosts(await this.requestHosts(host, signal)) ?? [];
			if (!this.hasList && hosts.length > 0) {
				this.options.log.info({peer: host, hosts: hosts.length}, 'the first host list was taken from a peer');
				this.applyHosts(hosts);
			}

			if (this.hasList) {
				break;
			}
		}

		this.isPullingFirstList = false;
	}

	/** Returns live peers, those of the own failure domain first. */
	private firstListPeers(): readonly string[] {
		const {self} = this.options.membership;
		const livePeers = this.options.membership.members().filter(({host, state}) => host !== self.host && state !== 'dead');
		const localPeers = livePeers.filter(({failureDomain}) => failureDomain === self.failureDomain);
		const remotePeers = livePeers.filter(({failureDomain}) => failureDomain !== self.failureDomain);
		return [...localPeers, ...remotePeers].slice(0, maximumFirstListPeers).map(({host}) => host);
	}

	/** @returns the response as received, or undefined if there was none */
	private async requestHosts(host: string, signal: AbortSignal): Promise<unknown> {
		const {clock, log, peers} = this.options;
		try {
			return await withTimeout(clock, readTimeoutMs, signal, async callSignal => peers.call<unknown>(host, hostListCurrentMethod, {}, callSignal));
		} catch (error) {
			if (!signal.aborted) {
				log.warn({peer: host, reason: errorMessageOf(error)}, 'the host list could not be pulled from a peer');
			}

			return undefined;
		}
	}

	private digest(): string {
		return createHash('sha1').update(JSON.stringify(this.listedHosts)).digest('base64');
	}

	/** Applies the list of the reader. After an invalid one, this host reads the list itself, as if it had not heard the reader. */
	private applyReaderHosts(message: unknown): void {
		const hosts = decodeHosts(message);
		if (!hosts) {
			this.options.metrics.count('host_list_invalid_messages_total');
			return;
		}

		this.applyHosts(hosts);
		this.postponeRead();
	}

	private applyHosts(hosts: readonly ListedHost[]): boolean {
		this.hasList = true;
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
