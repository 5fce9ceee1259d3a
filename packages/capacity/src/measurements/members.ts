import {type Member} from '@crocusloom/model';
import {keptBytes} from '../heap.js';
import {startFleet} from '../memberFleet.js';
import {buildSeries, type SeriesHead} from '../seriesBuilder.js';
import {type Series} from '../types.js';
import {seededRandom, VirtualClock} from '../virtualClock.js';

const memberCounts = [5, 12, 25, 50, 100] as const;
/** Time in which all members hear of each other by their seeds. */
const introductionMs = 2000;
/** Longer than the time after which a silent member that is no partner counts as dead. */
const observedMs = 20_000;
const seed = 20_261_204;

type MemberCountRecord = {
	readonly members: number;
	readonly bytesPerSecond: number;
	readonly messagesPerSecond: number;
	readonly cpuCores: number;
	readonly bytesKept: number;
	readonly shareSuspected: number;
	readonly shareDead: number;
};

async function measureSize(count: number): Promise<MemberCountRecord> {
	const lifetime = new AbortController();
	const clock = new VirtualClock();
	const before = await keptBytes();
	const {members, traffic} = startFleet(count, clock, seededRandom(seed), lifetime.signal);
	await clock.advance(introductionMs);
	const {bytes, messages} = traffic;
	const cpuBefore = process.cpuUsage();
	await clock.advance(observedMs);
	const {user, system} = process.cpuUsage(cpuBefore);
	const bytesKept = (await keptBytes() - before) / count;
	const perMemberSecond = 1000 / observedMs / count;
	const shareOf = (wanted: Member['state']) =>
		members.reduce((total, member) => total + member.members().filter(({state}) => state === wanted).length, 0) / (count * count);
	const shares = {shareSuspected: shareOf('suspected'), shareDead: shareOf('dead')};
	lifetime.abort(new Error('measured'));
	return {
		members: count,
		bytesPerSecond: (traffic.bytes - bytes) * perMemberSecond,
		messagesPerSecond: (traffic.messages - messages) * perMemberSecond,
		cpuCores: (user + system) / 1_000_000 * perMemberSecond,
		bytesKept,
		...shares,
	};
}

function head(id: string, title: string, yUnit: string): SeriesHead {
	return {
		id, title, xName: 'members', yUnit,
	};
}

/** Costs of the membership of one host, and live members that it takes for silent, by members that all run. */
export async function measureMembers(): Promise<readonly Series[]> {
	const records: MemberCountRecord[] = [];
	for (const count of memberCounts) {
		records.push(await measureSize(count));
	}

	return buildSeries(records, ({members}) => members, [
		{...head('member-bytes', 'heartbeats sent by a host, without sockets', 'bytes/s'), valueOf: record => record.bytesPerSecond},
		{...head('member-messages', 'heartbeats sent by a host', 'messages/s'), valueOf: record => record.messagesPerSecond},
		{...head('member-cpu', 'processor time of the membership of a host, without sockets', 'cores'), valueOf: record => record.cpuCores},
		{...head('member-memory', 'heap of the membership of a host', 'bytes'), valueOf: record => record.bytesKept},
		{...head('member-suspected', 'share of live members that a host suspects after 22 s', 'share'), valueOf: record => record.shareSuspected},
		{...head('member-dead', 'share of live members that a host takes for dead after 22 s', 'share'), valueOf: record => record.shareDead},
	]);
}
