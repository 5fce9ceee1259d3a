import {expect} from 'chai';
import {changeBoundMs, longestNoticeMs, longestPropagationMs} from '../changeTiming.js';
import {FakeDeployment} from './fakes.js';

const changeKey = 'crocusloom/test/ranks/first';
const changeValue = JSON.stringify({spec: {order: 1, targetMs: 50, floorShare: 0.1}, changes: [{id: 'c1'}]});
const hostNames = ['a', 'b', 'c'] as const;
const stepMs = 50;
/** A link of 2 Mbit/s. */
const slowLinkBytesPerMs = 250;
/** Draws the longest delays. */
const longestDelays = {next: () => 0.999};

type FaultCase = {
	readonly title: string;
	readonly begin: (deployment: FakeDeployment) => void;
	readonly end: (deployment: FakeDeployment) => void;
	readonly durationsMs: readonly number[];
};

const durationsMs = Array.from({length: 30}, (_, step) => 250 + (step * 350));

const cases: readonly FaultCase[] = [
	{
		title: 'the store answers after it was frozen',
		begin({platform}) {
			platform.isFrozen = true;
			platform.silenceWatches();
		},
		end({platform}) {
			platform.isFrozen = false;
		},
		durationsMs,
	},
	{
		title: 'the store answers after it was down',
		begin({platform}) {
			platform.setDown(true);
		},
		end({platform}) {
			platform.setDown(false);
		},
		durationsMs,
	},
	{
		title: 'all watches have gone silent without an error',
		begin({platform}) {
			platform.silenceWatches();
		},
		end: () => undefined,
		durationsMs: [0],
	},
	{
		title: 'all watches are confirmed and report no events',
		begin({platform}) {
			platform.isWithholdingEvents = true;
		},
		end: () => undefined,
		durationsMs,
	},
];

/** Calls a second that each of 820 watchers may make: 2,000 of the store less 757 for host lists. */
const callsPerSecondOfWatcher = (2000 - 757) / 820;

/** Returns the time from the end of the fault, and a change that is made then, until the change is in force on all hosts. */
async function playFault({begin, end}: FaultCase, durationMs: number): Promise<number> {
	const deployment = new FakeDeployment(longestDelays);
	const {clock, platform} = deployment;
	const hosts = hostNames.map(host => deployment.startHost(host));
	await Promise.all(hosts.map(async ({started}) => clock.until(started)));
	await clock.advance(3000 + durationMs);
	begin(deployment);
	await clock.advance(durationMs);
	end(deployment);
	const revision = platform.put(changeKey, changeValue);
	const changedMs = clock.nowMs();
	while (hosts.some(({store}) => store.revision() < revision) && clock.nowMs() - changedMs < 60_000) {
		await clock.advance(stepMs);
	}

	deployment.stopAllHosts();
	return clock.nowMs() - changedMs;
}

describe('configuration changes', () => {
	it('are in force within the bound by the sum of all waits (guards against constants that do not add up to the bound)', () => {
		expect(longestNoticeMs() + longestPropagationMs()).to.be.at.most(changeBoundMs);
	});

	it('are watched with few calls while the store refuses them (guards against watchers that exceed the rate of a shared store)', async () => {
		const deployment = new FakeDeployment();
		const {clock, platform} = deployment;
		const hosts = Array.from({length: 40}, (_, index) => deployment.startHost(`h${index}`, `domain-${index}`));
		await Promise.all(hosts.map(async ({started}) => clock.until(started)));
		platform.setDown(true);
		await clock.advance(3000);
		const callsBefore = platform.callTimesMs.length;
		await clock.advance(20_000);
		deployment.stopAllHosts();
		expect((platform.callTimesMs.length - callsBefore) / 20 / hosts.length).to.be.at.most(callsPerSecondOfWatcher);
	});

	it('are in force within the bound and the time of the transfer if snapshots arrive slowly (guards against snapshots that are given up while they arrive)', async () => {
		const listTransferMs = 6000;
		const deployment = new FakeDeployment(longestDelays);
		const {clock, platform} = deployment;
		platform.listTransferMs = listTransferMs;
		const {started, store} = deployment.startHost('a');
		await clock.until(started);
		platform.isWithholdingEvents = true;
		const revision = platform.put(changeKey, changeValue);
		await clock.advance(changeBoundMs + listTransferMs);
		deployment.stopAllHosts();
		expect(store.revision()).to.equal(revision);
	});

	it('reach a host that starts without the store over a slow link (guards against pulls that are given up while they arrive)', async () => {
		const entryCount = 500;
		const paddedValue = JSON.stringify({spec: {order: 1, targetMs: 50, floorShare: 0.1}, changes: [{id: 'c'.repeat(2000)}]});
		const deployment = new FakeDeployment();
		const {clock, network, platform} = deployment;
		for (let index = 0; index < entryCount; index++) {
			platform.put(`${changeKey}-${index}`, paddedValue);
		}

		await clock.until(deployment.startHost('a').started);
		platform.setDown(true);
		network.bytesPerMs = slowLinkBytesPerMs;
		const {started, store} = deployment.startHost('b');
		await clock.until(started);
		deployment.stopAllHosts();
		expect(store.revision()).to.equal(entryCount);
		expect(store.current().ranks.size).to.equal(entryCount);
	});

	it('cause one snapshot for each change of another deployment (guards against snapshots that are loaded again and again)', async () => {
		const deployment = new FakeDeployment();
		const {clock, platform} = deployment;
		const {started} = deployment.startHost('a');
		await clock.until(started);
		await clock.advance(10_000);
		const listsBefore = platform.listCount;
		platform.isWithholdingEvents = true;
		platform.put('crocusloom/other/ranks/first', changeValue);
		await clock.advance(20_000);
		deployment.stopAllHosts();
		expect(platform.listCount - listsBefore).to.equal(1);
	});

	for (const faultCase of cases) {
		it(`are in force on all hosts within the bound once ${faultCase.title} (guards against calls that wait longer than the bound)`, async () => {
			for (const durationMs of faultCase.durationsMs) {
				expect(await playFault(faultCase, durationMs), `fault of ${durationMs} ms`).to.be.at.most(changeBoundMs);
			}
		});
	}
});
