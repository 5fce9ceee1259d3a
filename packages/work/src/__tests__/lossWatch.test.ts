import {expect} from 'chai';
import {type GroupState} from '@crocusloom/model';
import {
	exchangeOptions, groupState, never, outcomeOf, query, setUp, settle, until, workRequest,
} from './fakes.js';

function silent(silentMs: number): GroupState {
	const state = groupState();
	return {...state, databases: state.databases.map(view => view.database === 'a' ? {...view, silentMs} : view)};
}

describe('loss of a database', () => {
	type Case = {readonly name: string; readonly state: GroupState; readonly write: 'unknown' | 'runs'; readonly read: 'unknown' | 'runs'};
	const cases: readonly Case[] = [
		{
			name: 'is silent', state: silent(700), write: 'unknown', read: 'unknown',
		},
		{
			name: 'was replaced', state: groupState({term: 2, primary: 'b'}), write: 'unknown', read: 'runs',
		},
		{
			name: 'is fenced while no primary is known', state: groupState({term: 2, primary: undefined}), write: 'unknown', read: 'runs',
		},
		{
			name: 'answers its monitor', state: silent(500), write: 'runs', read: 'runs',
		},
		{
			name: 'has not been heard by a new monitor', state: {...silent(Number.POSITIVE_INFINITY), primary: undefined}, write: 'runs', read: 'runs',
		},
	];
	for (const {name, state, ...expected} of cases) {
		it(`ends what it must when the database ${name} (guards against statements that never end or end needlessly)`, async () => {
			const {holder, view, server, clock} = setUp();
			server.gate = never();
			const outcomes = {write: 'runs', read: 'runs'};
			for (const mode of ['write', 'read'] as const) {
				const note = async () => {
					const failure = await outcomeOf(holder.openNow(workRequest({mode})).exchange(query(mode), () => undefined, exchangeOptions({mayCommit: mode === 'write'})));
					outcomes[mode] = failure!.kind;
				};

				void note();
			}

			await until(() => server.log.length === 2);
			view.current = state;
			await clock.advance(300);
			expect(outcomes).to.deep.equal(expected);
			expect(holder.stats()[0]!.busySlots).to.equal(Object.values(expected).filter(outcome => outcome === 'runs').length);
		});
	}

	it('refuses waiting and new work while the database is silent, and serves again afterwards (guards against slots held by a frozen server)', async () => {
		const {holder, view, server, clock} = setUp();
		server.gate = never();
		const run = async () => outcomeOf(holder.openNow(workRequest()).exchange(query('X'), () => undefined, exchangeOptions()));
		const running = [run(), run(), run()];
		await until(() => server.log.length === 3);
		const waiting = run();
		await settle();
		view.current = silent(700);
		await clock.advance(200);
		const outcomes = await Promise.all(running);
		expect(outcomes.map(failure => failure?.kind)).to.deep.equal(['unknown', 'unknown', 'unknown']);
		expect(await waiting).to.include({kind: 'notRun', reason: 'unreachable'});
		expect(() => holder.openNow(workRequest())).to.throw('does not answer');
		expect(server.openNow, 'connections are closed').to.equal(0);
		view.current = groupState();
		server.gate = undefined;
		await clock.advance(200);
		expect(await run()).to.equal(undefined);
	});

	it('does not blame the load for what a silent database did not start (guards against a shed write during a failover)', async () => {
		for (const [silentMs, reason] of [[300, 'unreachable'], [100, 'shed']] as const) {
			const {holder, view, server, clock} = setUp();
			server.gate = never();
			const run = async (waitLimitMs: number) => outcomeOf(holder.openNow(workRequest({waitLimitMs})).exchange(query('X'), () => undefined, exchangeOptions()));
			void Promise.all([run(1000), run(1000), run(1000)]);
			await until(() => server.log.length === 3);
			const waiting = run(150);
			view.current = silent(silentMs);
			await clock.advance(200);
			expect(await waiting).to.include({kind: 'notRun', reason});
		}
	});

	it('ends the wait for a majority with the database (guards against a commit that waits out its full limit)', async () => {
		const {holder, view, clock} = setUp();
		view.gate = never();
		const running = outcomeOf(holder.openNow(workRequest()).exchange(query('INSERT'), () => undefined, exchangeOptions()));
		await until(() => view.waits.length === 1);
		view.current = groupState({term: 2, primary: 'b'});
		await clock.advance(200);
		expect(await running).to.include({kind: 'unknown', step: 'acknowledge'});
	});
});
