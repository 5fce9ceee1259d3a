import {expect} from 'chai';
import {type MemoryServer, MemoryService} from '../testing/index.js';
import {errorOf, type Harness, startProxy} from './proxyHarness.js';

describe('leadership prover', () => {
	let harness: Harness;

	afterEach(() => {
		harness.stop();
	});

	type Case = {
		readonly name: string;
		readonly injectFault: (service: MemoryService) => void;
		readonly outcome: string;
		readonly ids?: readonly string[];
		readonly setUp?: (service: MemoryService) => void;
	};
	const cases: readonly Case[] = [
		{name: 'a primary without faults', injectFault: () => undefined, outcome: 'leads'},
		{
			name: 'a primary after another was promoted',
			injectFault(service) {
				service.promote('b', 1);
				service.replicate(service.server('b'), service.server('c'));
			},
			outcome: 'replaced',
		},
		{
			name: 'a primary that stepped down',
			injectFault(service) {
				service.server('a').role = 'replica';
			},
			outcome: 'replaced',
		},
		{
			name: 'a new primary while its predecessor still claims to be the primary of an older term',
			ids: ['a', 'b'],
			injectFault(service) {
				service.server('b').role = 'primary';
			},
			setUp(service) {
				service.server('a').term = 2;
			},
			outcome: 'leads',
		},
		{
			name: 'a primary whose replicas are all unresponsive',
			injectFault(service) {
				service.server('b').isUnresponsive = true;
				service.server('c').isUnresponsive = true;
			},
			outcome: 'unproven',
		},
		{
			name: 'a primary of four servers if only one other server answers',
			ids: ['a', 'b', 'c', 'd'],
			injectFault(service) {
				service.server('b').isUnresponsive = true;
				service.server('c').isUnresponsive = true;
			},
			outcome: 'unproven',
		},
	];
	it('refuses reads at a former primary whose successor and all others are gone for good (guards against stale reads by hosts that were started later)', async () => {
		const service = new MemoryService('ledger', ['a', 'b', 'c']);
		const [former, successor, follower] = service.servers as [MemoryServer, MemoryServer, MemoryServer];
		former.partitionedFrom.add(successor).add(follower);
		service.promote(successor.id, 1);
		successor.receive({position: {term: successor.term, offsetBytes: 1}, writeId: 'acknowledged'});
		service.replicate(successor, follower);
		successor.isUnresponsive = true;
		follower.isUnresponsive = true;
		harness = await startProxy(service, undefined, {servers: [former.listing()]});
		const proof = await harness.view.prove(harness.view.currentPrimary!);
		expect(proof.kind).to.equal('unproven');
		for (const route of ['strict', 'bounded', 'own']) {
			expect(await errorOf(harness.proxy.openSession(route, 'u'), 'READ a'), route).to.equal('overloaded');
		}
	});

	async function check({injectFault, outcome, setUp, ids = ['a', 'b', 'c']}: Case): Promise<void> {
		const service = new MemoryService('ledger', ids);
		setUp?.(service);
		harness = await startProxy(service);
		const primary = harness.view.currentPrimary!;
		injectFault(service);
		const proof = await harness.view.prove(primary);
		expect(proof.kind).to.equal(outcome);
	}

	for (const proofCase of cases) {
		it(`returns ${proofCase.outcome} for ${proofCase.name} (guards against stale strict reads)`, async () => check(proofCase));
	}

	it('shares one round of probes among all reads that arrive during a round (guards against a probe per read)', async () => {
		harness = await startProxy();
		const primary = harness.view.currentPrimary!;
		const runsBefore = harness.service.runs.length;
		const firstProof = harness.view.prove(primary);
		await Promise.all([firstProof, ...Array.from({length: 20}, async () => harness.view.prove(primary))]);
		expect(harness.service.runs.length - runsBefore).to.be.at.most(4);
	});
});
