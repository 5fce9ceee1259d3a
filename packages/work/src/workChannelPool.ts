import {
	FailureError, type Clock, type Member, type Membership, type Tracer, type UnitOfWork, type WorkOpener, type WorkRequest,
} from '@crocusloom/model';
import {connectSocket} from './connectSocket.js';
import {FrameSocket} from './frameSocket.js';
import {RemoteWork} from './remoteWork.js';

/** Channels to one peer that are kept without work. */
const maximumIdleChannels = 64;
/** Time after which an attempt to connect to a peer is given up. */
const connectTimeoutMs = 1000;
/** Time after which a peer that seems dead is looked at again; a pause of this process makes all peers seem dead until their heartbeats are read. */
const secondLookMs = 100;
/** Silence, two heartbeats long, that must go with a failed attempt to connect before the peer's running work is ended. */
const unreachableSilenceMs = 1000;

export type ChannelPorts = {readonly clock: Clock; readonly tracer: Tracer};

/** Pooled TCP connections to the work servers of peers; each carries one unit of work at a time. */
export class WorkChannelPool {
	private readonly idle = new Map<string, FrameSocket[]>();
	/** All open channels, idle or not, with the peer at the other end. */
	private readonly connected = new Map<FrameSocket, Member>();
	private membership: Membership | undefined;

	/**
	 * @param ports - clock and tracer
	 * @param signal - aborts when the process ends; closes all idle channels
	 */
	constructor(private readonly ports: ChannelPorts, private readonly signal: AbortSignal) {
		signal.addEventListener('abort', () => {
			for (const channels of this.idle.values()) {
				for (const channel of channels.splice(0)) {
					channel.close();
				}
			}
		}, {once: true});
	}

	/** Ends the channels, and so the work, to peers that are dead, as often as the membership changes. */
	followMembership(membership: Membership): void {
		this.membership = membership;
		membership.onChange(() => {
			void this.endLost(member => isLost(membership, member));
		}, this.signal);
	}

	/** Ends the work at a peer that cannot be connected, unless its heartbeats still arrive. */
	endIfSilent(host: string): void {
		void this.endLost(member => member.host === host && silentMs(this.membership, host) > unreachableSilenceMs);
	}

	/** Gives the opener of units of work at a peer. */
	openerFor(member: Member): WorkOpener {
		return {open: async (request, signal) => this.open(member, request, signal)};
	}

	/**
	 * Opens a unit of work at a peer; nothing is sent before its first exchange.
	 * @throws FailureError `notRun` when the peer cannot be connected
	 */
	async open(member: Member, request: WorkRequest, signal: AbortSignal): Promise<UnitOfWork> {
		const channel = this.takeIdle(member) ?? await this.connect(member, signal);
		return new RemoteWork(channel, request, {host: member.host, tracer: this.ports.tracer}, () => {
			this.giveBack(member, channel);
		});
	}

	private async endLost(isLostPeer: (member: Member) => boolean): Promise<void> {
		const suspects = this.channelsTo(isLostPeer);
		if (suspects.length === 0) {
			return;
		}

		try {
			await this.ports.clock.sleep(secondLookMs, this.signal);
		} catch {
			return;
		}

		for (const channel of this.channelsTo(isLostPeer)) {
			channel.close();
		}
	}

	private channelsTo(isWanted: (member: Member) => boolean): readonly FrameSocket[] {
		return [...this.connected].filter(([, member]) => isWanted(member)).map(([channel]) => channel);
	}

	private takeIdle(member: Member): FrameSocket | undefined {
		const channels = this.idle.get(channelKey(member));
		for (;;) {
			const channel = channels?.pop();
			if (!channel?.closed.aborted) {
				return channel;
			}
		}
	}

	private giveBack(member: Member, channel: FrameSocket): void {
		if (channel.closed.aborted) {
			return;
		}

		const key = channelKey(member);
		const channels = this.idle.get(key) ?? [];
		this.idle.set(key, channels);
		if (channels.length >= maximumIdleChannels || this.signal.aborted) {
			channel.close();
			return;
		}

		channels.push(channel);
	}

	private forget(key: string, channel: FrameSocket): void {
		const channels = this.idle.get(key) ?? [];
		const index = channels.indexOf(channel);
		if (index !== -1) {
			channels.splice(index, 1);
		}

		if (channels.length === 0) {
			this.idle.delete(key);
		}
	}

	private async connect(member: Member, signal: AbortSignal): Promise<FrameSocket> {
		const attempt = new AbortController();
		const finished = new AbortController();
		const abort = () => {
			attempt.abort(new Error('the attempt to connect was given up'));
		};

		signal.addEventListener('abort', abort, {once: true});
		void this.ports.clock.sleep(connectTimeoutMs, finished.signal).then(abort, () => undefined);
		try {
			const channel = new FrameSocket(await connectSocket(member.address, member.workPort, attempt.signal), member.host);
			this.connected.set(channel, member);
			channel.closed.addEventListener('abort', () => {
				this.connected.delete(channel);
				this.forget(channelKey(member), channel);
			}, {once: true});
			return channel;
		} catch (error) {
			throw new FailureError({
				kind: 'notRun', reason: 'unreachable', step: 'peer', peer: member.host, message: String(error),
			}, {cause: error});
		} finally {
			signal.removeEventListener('abort', abort);
			finished.abort();
		}
	}
}

function channelKey({host, address, workPort, incarnation}: Member): string {
	return `${host} ${address}:${workPort} ${incarnation}`;
}

/** A peer of which only another process is known was restarted. */
function isLost(membership: Membership, {host, incarnation}: Member): boolean {
	const known = membership.members().find(member => member.host === host);
	return known === undefined || known.state === 'dead' || known.incarnation !== incarnation;
}

function silentMs(membership: Membership | undefined, host: string): number {
	return membership?.members().find(member => member.host === host)?.silentMs ?? Number.POSITIVE_INFINITY;
}
