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
import {startupPacket} from './startup.js';

/** Value of the startup parameter `replication` that asks for records. */
export const replicationProtocol = 'crocusloom';

/** First message of a replica: the term that it follows and what its log holds. */
type Hello = {readonly term: number; readonly ends: TermEnds};
/** `end` is the primary's position when the replica began to follow it. */
type FromPrimary = {readonly common: LogPosition; readonly end: LogPosition} | {readonly records: readonly LogRecord[]};

/** Records sent in one frame at most. */
const maximumBatch = 200;
/** Pause between attempts to reach the primary. */
const reconnectMs = 50;
/** Limit of a frame of records, which holds up to `maximumBatch` commits. */
const maximumFrameBytes = 256 * 1024 * 1024;

function encode(message: Hello | FromPrimary): Buffer {
	return buildFrame(frontendTypes.copyData, Buffer.from(JSON.stringify(message)));
}

function decode<T>(frame: Frame): T {
	return JSON.parse(frame.bytes.toString('utf8', frameHeaderBytes)) as T;
}

/** Connection of a replica, at the primary. */
export type ReplicaConnection = {
	readonly socket: Socket;
	readonly database: Database;
	readonly faults: Faults;
	readonly names: PeerNames;
	readonly signal: AbortSignal;
};

/**
 * Sends records to a replica for as long as this database leads the term that the replica follows.
 * @param frame - first frame of the replica
 */
export async function serveReplica(frame: Frame, {socket, database, faults, names, signal}: ReplicaConnection): Promise<void> {
	const hello = decode<Hello>(frame);
	const leads = () => database.isWritable && database.state.followsTerm === hello.term;
	if (!leads()) {
		return;
	}

	const common = database.log.commonPrefix(hello.ends);
	let next = database.log.indexAfter(common);
	await faults.untilOpen(names, signal);
	socket.write(encode({common, end: database.position}));
	while (leads() && !signal.aborted) {
		const records: LogRecord[] = [];
		while (records.length < maximumBatch && next < database.log.length) {
			records.push(database.log.get(next)!);
			next++;
		}

		if (records.length === 0) {
			await nextEvent(database, signal);
			continue;
		}

		await faults.untilOpen(names, signal);
		if (!socket.write(encode({records}))) {
			await once(socket, 'drain', {signal});
		}
	}
}

async function nextEvent(database: Database, signal: AbortSignal): Promise<void> {
	const {promise, resolve} = withResolvers();
	database.on('log', resolve);
	database.on('state', resolve);
	signal.addEventListener('abort', resolve);
	await promise;
	database.off('log', resolve);
	database.off('state', resolve);
	signal.removeEventListener('abort', resolve);
}

type Received = {readonly record: LogRecord; readonly atMs: number};

/** What one connection to the primary has delivered. */
type Stream = {
	readonly queue: Received[];
	isApplying: boolean;
	/** Position at which a database that started empty has rebuilt its state. */
	end?: LogPosition;
};

/** Pulls from the primary that the database follows, until stopped. */
export class Replicator {
	private attempt?: AbortController;
	private target = '';
	private readonly onState: () => void;

	/**
	 * @param name - address of this server, by which the primary can be told to cut it off
	 */
	constructor(private readonly database: Database, private readonly faults: Faults, private readonly name: () => string) {
		this.onState = () => {
			this.adjust();
		};
	}

	start(): void {
		this.database.on('state', this.onState);
		this.adjust();
	}

	stop(): void {
		this.database.off('state', this.onState);
		this.attempt?.abort();
	}

	/** Pulls only while no fence is above the followed term, so that a replaced primary's records are refused. */
	private adjust(): void {
		const {role, fencedTerm, followsTerm, primaryAddress} = this.database.state;
		const isFollowing = role === 'replica' && fencedTerm === followsTerm && primaryAddress !== undefined;
		const target = isFollowing ? `${followsTerm} ${primaryAddress}` : '';
		if (target === this.target) {
			return;
		}

		this.target = target;
		this.attempt?.abort();
		if (isFollowing) {
			this.attempt = new AbortController();
			void this.pullUntilStopped(followsTerm, primaryAddress, this.attempt.signal);
		}
	}

	private async pullUntilStopped(term: number, address: string, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			try {
				await this.pull(term, address, signal);
			} catch {
				// The primary is unreachable or no longer leads; the next attempt finds out.
			}

			try {
				await sleep(reconnectMs, undefined, {signal});
			} catch {
				return;
			}
		}
	}

	private async pull(term: number, address: string, signal: AbortSignal): Promise<void> {
		const names = [address];
		await this.faults.untilOpen(names, signal);
		const separator = address.lastIndexOf(':');
		const socket = connect({host: address.slice(0, separator), port: Number(address.slice(separator + 1))});
		const connection = new AbortController();
		const close = () => {
			connection.abort();
			socket.destroy();
		};

		signal.addEventListener('abort', close);
		socket.on('error', close);
		socket.on('close', close);
		socket.setNoDelay(true);
		socket.write(startupPacket({user: 'replica', replication: replicationProtocol, application_name: this.name()}));
		socket.write(encode({term, ends: this.database.log.termEnds()}));
		try {
			await this.receive(socket, names, connection.signal);
		} finally {
			signal.removeEventListener('abort', close);
			close();
		}
	}

	private async receive(socket: Socket, names: PeerNames, signal: AbortSignal): Promise<void> {
		const reader = new FrameReader(names[0]!, maximumFrameBytes);
		const stream: Stream = {queue: [], isApplying: false};
		for await (const chunk of socket as AsyncIterable<Buffer>) {
			await this.faults.untilOpen(names, signal);
			for (const frame of reader.push(chunk)) {
				const message = decode<FromPrimary>(frame);
				if ('common' in message) {
					signal.throwIfAborted();
					this.database.truncate(message.common);
					stream.end = message.end;
					this.finishRebuild(stream);
					continue;
				}

				stream.queue.push(...message.records.map(record => ({record, atMs: performance.now()})));
			}

			if (!stream.isApplying) {
				void this.applyAll(stream, signal);
			}
		}
	}

	/** Applies records in order, each when it is as old as the set lag. */
	private async applyAll(stream: Stream, signal: AbortSignal): Promise<void> {
		const {queue} = stream;
		stream.isApplying = true;
		try {
			while (queue.length > 0) {
				await this.untilDue(queue[0]!, signal);
				signal.throwIfAborted();
				this.database.applyRecord(queue.shift()!.record);
				this.finishRebuild(stream);
			}
		} catch {
			// The connection ended; what was not applied is pulled again.
		} finally {
			stream.isApplying = false;
		}
	}

	private finishRebuild({end}: Stream): void {
		if (end && holdsPosition(this.database.position, end)) {
			this.database.finishRebuild();
		}
	}

	private async untilDue({atMs}: Received, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const {lagMs, replicationPaused, frozen} = this.faults.settings;
			if (replicationPaused || frozen) {
				await this.faults.nextChange(signal);
				continue;
			}

			const waitMs = atMs + lagMs - performance.now();
			if (waitMs <= 0) {
				return;
			}

			await sleep(Math.min(waitMs, reconnectMs), undefined, {signal});
		}
	}
}
