/**
 * Replication: replicas pull records from the primary as JSON in CopyData frames.
 */
import {connect, type Socket} from 'node:net';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {holdsPosition, type LogPosition} from '@crocusloom/model';
import {
	buildFrame, frameHeaderBytes, FrameReader, frontendTypes, type Frame,
} from '@crocusloom/wire';
import {type Database} from './database.js';
import {type Faults, type PeerNames} from './faults.js';
import {type LogRecord, type TermEnds} from './log.js';
import {withResolvers} from './locks.js';
import {buildStartupPacket} from './startup.js';

/** Value of the startup parameter `replication` that selects this protocol. */
export const replicationProtocol = 'crocusloom';

/** First message of a replica: the term that it follows, and the end offset of each term in its log. */
type ReplicaHello = {readonly term: number; readonly ends: TermEnds};
/**
 * Messages of the primary. The first one holds the end of the common prefix of the logs (`common`) and the position of the
 * primary at that time (`end`).
 */
type PrimaryMessage = {readonly common: LogPosition; readonly end: LogPosition} | {readonly records: readonly LogRecord[]};

/** Maximum number of records in a frame. */
const maximumBatchRecords = 200;
/** Delay between connection attempts to the primary, and longest sleep before the fault settings are checked again. */
const retryDelayMs = 50;
/** Size limit of a frame, which holds up to `maximumBatchRecords` commits. */
const maximumFrameBytes = 256 * 1024 * 1024;

function encodeMessage(message: ReplicaHello | PrimaryMessage): Buffer {
	return buildFrame(frontendTypes.copyData, Buffer.from(JSON.stringify(message)));
}

function decodeMessage<T>(frame: Frame): T {
	return JSON.parse(frame.bytes.toString('utf8', frameHeaderBytes)) as T;
}

/** Connection of a replica, as the primary serves it. */
export type ReplicaConnection = {
	readonly socket: Socket;
	readonly database: Database;
	readonly faults: Faults;
	readonly peerNames: PeerNames;
	readonly signal: AbortSignal;
};

/**
 * Sends records to a replica while this database is the writable primary of the term that the replica follows.
 * @param frame - first frame from the replica
 */
export async function serveReplica(frame: Frame, {socket, database, faults, peerNames, signal}: ReplicaConnection): Promise<void> {
	const hello = decodeMessage<ReplicaHello>(frame);
	const isPrimaryOfTerm = () => database.isWritable && database.state.followsTerm === hello.term;
	if (!isPrimaryOfTerm()) {
		return;
	}

	const common = database.log.commonPrefix(hello.ends);
	let nextIndex = database.log.indexAfter(common);
	await faults.waitUntilUnblocked(peerNames, signal);
	socket.write(encodeMessage({common, end: database.position}));
	while (isPrimaryOfTerm() && !signal.aborted) {
		const records: LogRecord[] = [];
		while (records.length < maximumBatchRecords && nextIndex < database.log.length) {
			records.push(database.log.get(nextIndex)!);
			nextIndex++;
		}

		if (records.length === 0) {
			await waitForLogOrStateChange(database, signal);
			continue;
		}

		await faults.waitUntilUnblocked(peerNames, signal);
		if (!socket.write(encodeMessage({records}))) {
			await once(socket, 'drain', {signal});
		}
	}
}

async function waitForLogOrStateChange(database: Database, signal: AbortSignal): Promise<void> {
	const {promise, resolve} = withResolvers();
	database.on('log', resolve);
	database.on('state', resolve);
	signal.addEventListener('abort', resolve);
	await promise;
	database.off('log', resolve);
	database.off('state', resolve);
	signal.removeEventListener('abort', resolve);
}

/** A record and when it was received. */
type ReceivedRecord = {readonly record: LogRecord; readonly atMs: number};

/** State of one connection to the primary. */
type ReplicationStream = {
	/** Records that are received but not applied yet. */
	readonly queue: ReceivedRecord[];
	isApplying: boolean;
	/** Position at which a database that started empty has rebuilt its state. */
	rebuildPosition?: LogPosition;
};

/** Pulls records from the primary that the database follows. */
export class Replicator {
	private pullController?: AbortController;
	private pullTarget = '';
	private readonly onStateChange: () => void;

	/**
	 * @param getAddress - returns the address of this server, by which a fault setting of the primary can cut it off
	 */
	constructor(private readonly database: Database, private readonly faults: Faults, private readonly getAddress: () => string) {
		this.onStateChange = () => {
			this.restartPullIfNeeded();
		};
	}

	/** Starts pulling whenever the database is a replica. */
	start(): void {
		this.database.on('state', this.onStateChange);
		this.restartPullIfNeeded();
	}

	stop(): void {
		this.database.off('state', this.onStateChange);
		this.pullController?.abort();
	}

	/**
	 * Restarts or stops pulling when the followed primary changes. Pulling stops while the fenced term is above the followed
	 * one, so that records of a replaced primary are not applied.
	 */
	private restartPullIfNeeded(): void {
		const {role, fencedTerm, followsTerm, primaryAddress} = this.database.state;
		const isFollowing = role === 'replica' && fencedTerm === followsTerm && primaryAddress !== undefined;
		const target = isFollowing ? `${followsTerm} ${primaryAddress}` : '';
		if (target === this.pullTarget) {
			return;
		}

		this.pullTarget = target;
		this.pullController?.abort();
		if (isFollowing) {
			this.pullController = new AbortController();
			void this.pullWithRetries(followsTerm, primaryAddress, this.pullController.signal);
		}
	}

	private async pullWithRetries(term: number, address: string, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			try {
				await this.pullOnce(term, address, signal);
			} catch {
				// The connection failed, or the primary of the term has been replaced. The next attempt checks again.
			}

			try {
				await sleep(retryDelayMs, undefined, {signal});
			} catch {
				return;
			}
		}
	}

	private async pullOnce(term: number, address: string, signal: AbortSignal): Promise<void> {
		const peerNames = [address];
		await this.faults.waitUntilUnblocked(peerNames, signal);
		const separator = address.lastIndexOf(':');
		const socket = connect({host: address.slice(0, separator), port: Number(address.slice(separator + 1))});
		const connectionController = new AbortController();
		const close = () => {
			connectionController.abort();
			socket.destroy();
		};

		signal.addEventListener('abort', close);
		socket.on('error', close);
		socket.on('close', close);
		socket.setNoDelay(true);
		socket.write(buildStartupPacket({user: 'replica', replication: replicationProtocol, application_name: this.getAddress()}));
		socket.write(encodeMessage({term, ends: this.database.log.termEnds()}));
		try {
			await this.receiveRecords(socket, peerNames, connectionController.signal);
		} finally {
			signal.removeEventListener('abort', close);
			close();
		}
	}

	private async receiveRecords(socket: Socket, peerNames: PeerNames, signal: AbortSignal): Promise<void> {
		const reader = new FrameReader(peerNames[0]!, maximumFrameBytes);
		const stream: ReplicationStream = {queue: [], isApplying: false};
		for await (const chunk of socket as AsyncIterable<Buffer>) {
			await this.faults.waitUntilUnblocked(peerNames, signal);
			for (const frame of reader.push(chunk)) {
				const message = decodeMessage<PrimaryMessage>(frame);
				if ('common' in message) {
					signal.throwIfAborted();
					this.database.truncate(message.common);
					stream.rebuildPosition = message.end;
					this.finishRebuildIfReached(stream);
					continue;
				}

				stream.queue.push(...message.records.map(record => ({record, atMs: performance.now()})));
			}

			if (!stream.isApplying) {
				void this.applyQueue(stream, signal);
			}
		}
	}

	/** Applies the queued records in order, each once the configured lag has passed since it was received. */
	private async applyQueue(stream: ReplicationStream, signal: AbortSignal): Promise<void> {
		const {queue} = stream;
		stream.isApplying = true;
		try {
			while (queue.length > 0) {
				await this.waitUntilDue(queue[0]!, signal);
				signal.throwIfAborted();
				this.database.applyRecord(queue.shift()!.record);
				this.finishRebuildIfReached(stream);
			}
		} catch {
			// The connection closed. Records that were not applied are pulled again.
		} finally {
			stream.isApplying = false;
		}
	}

	private finishRebuildIfReached({rebuildPosition}: ReplicationStream): void {
		if (rebuildPosition && holdsPosition(this.database.position, rebuildPosition)) {
			this.database.finishRebuild();
		}
	}

	private async waitUntilDue({atMs}: ReceivedRecord, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const {lagMs, replicationPaused, frozen} = this.faults.settings;
			if (replicationPaused || frozen) {
				await this.faults.waitForChange(signal);
				continue;
			}

			const waitMs = atMs + lagMs - performance.now();
			if (waitMs <= 0) {
				return;
			}

			await sleep(Math.min(waitMs, retryDelayMs), undefined, {signal});
		}
	}
}
