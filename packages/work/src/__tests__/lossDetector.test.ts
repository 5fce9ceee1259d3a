import {expect} from 'chai';
import {type GroupState} from '@crocusloom/model';
import {
	exchangeOptions, groupState, neverSettling, failureIfRejected, query, setUp, runPendingTasks, waitUntil, workRequest,
} from './fakes.js';

function stateWithSilentPrimary(silentMs: number): GroupState {
	const state = groupState();
	return {...state, databases: state.databases.map(view => view.database === 'a' ? {...view, silentMs} : view)};
}

describe('loss of a database', () => {
	type Case = {readonly name: string; readonly state: GroupState; readonly write: 'unknown' | 'runs'; readonly read: 'unknown' | 'runs'};
	const cases: readonly Case[] = [
		{
			name: 'is silent', state: stateWithSilentPrimary(700), write: 'unknown', read: 'unknown',
		},
		{
			name: 'was replaced as the primary', state: groupState({term: 2, primary: 'b'}), write: 'unknown', read: 'runs',
		},
		{
			name: 'is fenced while no primary is known', state: groupState({term: 2, primary: undefined}), write: 'unknown', read: 'runs',
		},
		{
			name: 'answers its monitor', state: stateWithSilentPrimary(500), write: 'runs', read: 'runs',
		},
		{
			name: 'has not answered a new monitor yet', state: {...stateWithSilentPrimary(Number.POSITIVE_INFINITY), primary: undefined}, write: 'runs', read: 'runs',
		},
	];
	for (const {name, state, ...expected} of cases) {
		it(`aborts only the affected work when the database ${name} (guards against statements that never end or are aborted needlessly)`, async () => {
			const {holder, view, server, clock} = setUp();
			server.responseGate = neverSettling();
			const outcomes = {write: 'runs', read: 'runs'};
			for (const mode of ['write', 'read'] as const) {
				const recordOutcome = async () => {
					const failure = await failureIfRejected(holder.openSync(workRequest({mode})).exchange(query(mode), () => undefined, exchangeOptions({mayCommit: mode === 'write'})));
					outcomes[mode] = failure!.kind;
				};

				void recordOutcome();
			}

			await waitUntil(() => server.executedTexts.length === 2);
			view.currentState = state;
			await clock.advance(300);
			expect(outcomes).to.deep.equal(expected);
			expect(holder.stats()[0]!.busySlots).to.equal(Object.values(expected).filter(outcome => outcome === 'runs').length);
		});
	}

	it('rejects waiting and new work while the database is silent, and accepts work again afterwards (guards against slots held by a frozen server)', async () => {
		const {holder, view, server, clock} = setUp();
		server.responseGate = neverSettling();
		const run = async () => failureIfRejected(holder.openSync(workRequest()).exchange(query('X'), () => undefined, exchangeOptions()));
		const running = [run(), run(), run()];
		await waitUntil(() => server.executedTexts.length === 3);
		const waiting = run();
		await runPendingTasks();
		view.currentState = stateWithSilentPrimary(700);
		await clock.advance(200);
		const outcomes = await Promise.all(running);
		expect(outcomes.map(failure => failure?.kind)).to.deep.equal(['unknown', 'unknown', 'unknown']);
		expect(await waiting).to.include({kind: 'notRun', reason: 'unreachable'});
		expect(() => holder.openSync(workRequest())).to.throw('does not answer');
		expect(server.openCount, 'connections are closed').to.equal(0);
		view.currentState = groupState();
		server.responseGate = undefined;
		await clock.advance(200);
		expect(await run()).to.equal(undefined);
	});

	it('reports unreachable instead of shed for statements that a silent database did not start (guards against a shed write during a failover)', async () => {
		for (const [silentMs, reason] of [[300, 'unreachable'], [100, 'shed']] as const) {
			const {holder, view, server, clock} = setUp();
			server.responseGate = neverSettling();
			const run = async (waitLimitMs: number) => failureIfRejected(holder.openSync(workRequest({waitLimitMs})).exchange(query('X'), () => undefined, exchangeOptions()));
			void Promise.all([run(1000), run(1000), run(1000)]);
			await waitUntil(() => server.executedTexts.length === 3);
			const waiting = run(150);
			view.currentState = stateWithSilentPrimary(silentMs);
			await clock.advance(200);
			expect(await waiting).to.include({kind: 'notRun', reason});
		}
	});

	it('aborts the wait for a majority when the database is lost (guards against a commit that waits for its full limit)', async () => {
		const {holder, view, clock} = setUp();
		view.majorityGate = neverSettling();
		const running = failureIfRejected(holder.openSync(workRequest()).exchange(query('INSERT'), () => undefined, exchangeOptions()));
		await waitUntil(() => view.majorityWaits.length === 1);
		view.currentState = groupState({term: 2, primary: 'b'});
		await clock.advance(200);
		expect(await running).to.include({kind: 'unknown', step: 'acknowledge'});
	});
});
