import {
	compositeKey, FailureError, type Clock, type Member, type Membership, type Tracer, type UnitOfWork, type WorkOpener, type WorkRequest,
} from '@crocusloom/model';
import {connectSocket} from './connectSocket.js';
import {FrameSocket} from './frameSocket.js';
import {RemoteWork} from './remoteWork.js';

/** Maximum number of idle channels per peer. */
const maximumIdleChannels = 64;
/** Timeout of a connection attempt to a peer. */
const connectTimeoutMs = 1000;
/**
 * Delay after which a peer that appears dead is checked again. After a pause of this process all peers appear dead until their
 * heartbeats are read.
 */
const recheckDelayMs = 100;
/**
 * Time without heartbeats after which a failed connection attempt closes the channels to a peer. Equal to two heartbeat
 * intervals.
 */
const minimumSilenceMs = 1000;

export type ChannelPorts = {readonly clock: Clock; readonly tracer: Tracer};

/** Pool of work channels, which are TCP connections to the work servers of peers. Each carries one unit of work at a time. */
export class WorkChannelPool {
	private readonly idleChannels = new Map<string, FrameSocket[]>();
	/** All open channels, idle or in use, with the peers that they lead to. */
	private readonly openChannels = new Map<FrameSocket, Member>();
	private membership: Membership | undefined;

	/**
	 * @param ports - clock and tracer
	 * @param signal - aborts when the process ends, which closes all idle channels
	 */
	constructor(private readonly ports: ChannelPorts, private readonly signal: AbortSignal) {
		signal.addEventListener('abort', () => {
			for (const channels of this.idleChannels.values()) {
				for (const channel of channels.splice(0)) {
					channel.close();
				}
			}
		}, {once: true});
	}

	/** Closes the channels to dead, unknown or restarted peers whenever the membership changes, which ends the work that runs there. */
	followMembership(membership: Membership): void {
		this.membership = membership;
		membership.onChange(() => {
			void this.closeLostChannels(member => isPeerLost(membership, member));
		}, this.signal);
	}

	/** Closes the channels to a peer that cannot be connected, unless its heartbeats still arrive. */
	closeIfSilent(host: string): void {
		void this.closeLostChannels(member => member.host === host && peerSilentMs(this.membership, host) > minimumSilenceMs);
	}

	/** Returns an opener of units of work at a peer. */
	openerFor(member: Member): WorkOpener {
		return {open: async (request, signal) => this.open(member, request, signal)};
	}

	/**
	 * Opens a unit of work at a peer. Nothing is sent before its first exchange.
	 * @throws FailureError `notRun` if the peer cannot be connected
	 */
	async open(member: Member, request: WorkRequest, signal: AbortSignal): Promise<UnitOfWork> {
		const channel = this.takeIdle(member) ?? await this.connect(member, signal);
		return new RemoteWork(channel, request, {host: member.host, tracer: this.ports.tracer}, () => {
			this.release(member, channel);
		});
	}

	private async closeLostChannels(isLost: (member: Member) => boolean): Promise<void> {
		const suspectChannels = this.channelsTo(isLost);
		if (suspectChannels.length === 0) {
			return;
		}

		try {
			await this.ports.clock.sleep(recheckDelayMs, this.signal);
		} catch {
			return;
		}

		for (const channel of this.channelsTo(isLost)) {
			channel.close();
		}
	}

	private channelsTo(isMatch: (member: Member) => boolean): readonly FrameSocket[] {
		return [...this.openChannels].filter(([, member]) => isMatch(member)).map(([channel]) => channel);
	}

	private takeIdle(member: Member): FrameSocket | undefined {
		const channels = this.idleChannels.get(channelKey(member));
		for (;;) {
			const channel = channels?.pop();
			if (!channel?.closed.aborted) {
				return channel;
			}
		}
	}

	private release(member: Member, channel: FrameSocket): void {
		if (channel.closed.aborted) {
			return;
		}

		const key = channelKey(member);
		const channels = this.idleChannels.get(key) ?? [];
		this.idleChannels.set(key, channels);
		if (channels.length >= maximumIdleChannels || this.signal.aborted) {
			channel.close();
			return;
		}

		channels.push(channel);
	}

	private removeIdle(key: string, channel: FrameSocket): void {
		const channels = this.idleChannels.get(key) ?? [];
		const index = channels.indexOf(channel);
		if (index !== -1) {
			channels.splice(index, 1);
		}

		if (channels.length === 0) {
			this.idleChannels.delete(key);
		}
	}

	private async connect(member: Member, signal: AbortSignal): Promise<FrameSocket> {
		const attemptController = new AbortController();
		const timerController = new AbortController();
		const abort = () => {
			attemptController.abort(new Error('the connection attempt timed out or was aborted'));
		};

		signal.addEventListener('abort', abort, {once: true});
		void this.ports.clock.sleep(connectTimeoutMs, timerController.signal).then(abort, () => undefined);
		try {
			const channel = new FrameSocket(await connectSocket(member.address, member.workPort, attemptController.signal), member.host);
			this.openChannels.set(channel, member);
			channel.closed.addEventListener('abort', () => {
				this.openChannels.delete(channel);
				this.removeIdle(channelKey(member), channel);
			}, {once: true});
			return channel;
		} catch (error) {
			throw new FailureError({
				kind: 'notRun', reason: 'unreachable', step: 'peer', peer: member.host, message: String(error),
			}, {cause: error});
		} finally {
			signal.removeEventListener('abort', abort);
			timerController.abort();
		}
	}
}

function channelKey({host, address, workPort, incarnation}: Member): string {
	return compositeKey([host, address, String(workPort), String(incarnation)]);
}

/** Returns whether a peer is unknown or dead, or was restarted since, in which case its incarnation differs. */
function isPeerLost(membership: Membership, {host, incarnation}: Member): boolean {
	const currentMember = membership.members().find(member => member.host === host);
	return currentMember === undefined || currentMember.state === 'dead' || currentMember.incarnation !== incarnation;
}

function peerSilentMs(membership: Membership | undefined, host: string): number {
	return membership?.members().find(member => member.host === host)?.silentMs ?? Number.POSITIVE_INFINITY;
}
