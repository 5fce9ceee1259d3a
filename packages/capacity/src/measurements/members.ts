import {type Member} from '@crocusloom/model';
import {retainedHeapBytes} from '../heap.js';
import {startFleet} from '../memberFleet.js';
import {buildSeries, type SeriesDescription} from '../seriesBuilder.js';
import {type Series} from '../types.js';
import {createSeededRandom, VirtualClock} from '../virtualClock.js';

const memberCounts = [5, 12, 25, 50, 100] as const;
/** Time in which all members discover each other through their seeds. */
const discoveryMs = 2000;
/** Longer than the time after which a silent member that is not a heartbeat partner is considered dead. */
const observationMs = 20_000;
const seed = 20_261_204;

type MemberCountRecord = {
	readonly memberCount: number;
	readonly bytesPerSecond: number;
	readonly messagesPerSecond: number;
	readonly cpuCores: number;
	readonly heapBytes: number;
	readonly suspectedShare: number;
	readonly deadShare: number;
};

async function measureMemberCount(count: number): Promise<MemberCountRecord> {
	const lifetime = new AbortController();
	const clock = new VirtualClock();
	const beforeBytes = await retainedHeapBytes();
	const {members, network} = startFleet(count, clock, createSeededRandom(seed), lifetime.signal);
	await clock.advance(discoveryMs);
	const {sentBytes, sentMessages} = network;
	const cpuBefore = process.cpuUsage();
	await clock.advance(observationMs);
	const {user, system} = process.cpuUsage(cpuBefore);
	const heapBytes = (await retainedHeapBytes() - beforeBytes) / count;
	const perMemberAndSecond = 1000 / observationMs / count;
	const shareOf = (expectedState: Member['state']) =>
		members.reduce((total, member) => total + member.members().filter(({state}) => state === expectedState).length, 0) / (count * count);
	const shares = {suspectedShare: shareOf('suspected'), deadShare: shareOf('dead')};
	lifetime.abort(new Error('measured'));
	return {
		memberCount: count,
		bytesPerSecond: (network.sentBytes - sentBytes) * perMemberAndSecond,
		messagesPerSecond: (network.sentMessages - sentMessages) * perMemberAndSecond,
		cpuCores: (user + system) / 1_000_000 * perMemberAndSecond,
		heapBytes,
		...shares,
	};
}

function describeSeries(id: string, title: string, yUnit: string): SeriesDescription {
	return {
		id, title, xName: 'members', yUnit,
	};
}

/** Measures the costs of the membership of one host, and the share of live members that it wrongly suspects or considers dead. */
export async function measureMembers(): Promise<readonly Series[]> {
	const records: MemberCountRecord[] = [];
	for (const count of memberCounts) {
		records.push(await measureMemberCount(count));
	}

	return buildSeries(records, ({memberCount}) => memberCount, [
		{...describeSeries('member-bytes', 'heartbeats sent by a host, without sockets', 'bytes/s'), valueOf: record => record.bytesPerSecond},
		{...describeSeries('member-messages', 'heartbeats sent by a host', 'messages/s'), valueOf: record => record.messagesPerSecond},
		{...describeSeries('member-cpu', 'processor time of the membership of a host, without sockets', 'cores'), valueOf: record => record.cpuCores},
		{...describeSeries('member-memory', 'heap of the membership of a host', 'bytes'), valueOf: record => record.heapBytes},
		{...describeSeries('member-suspected', 'share of live members that a host suspects after 22 s', 'share'), valueOf: record => record.suspectedShare},
		{...describeSeries('member-dead', 'share of live members that a host takes for dead after 22 s', 'share'), valueOf: record => record.deadShare},
	]);
}
