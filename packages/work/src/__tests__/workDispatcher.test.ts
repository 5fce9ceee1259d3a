import {expect} from 'chai';
import fc from 'fast-check';
import {
	FailureError, noopMetrics, type ExchangeResult, type Failure, type GroupDirectory, type GroupState, type Member, type Membership, type NotRunReason,
	type UnitOfWork, type WorkIntent, type WorkRequest,
} from '@crocusloom/model';
import {commandComplete, errorResponse, readyForQuery} from '@crocusloom/wire';
import {failoverWaitLimitMs, maximumAttempts, maximumFailoverWaiters} from '../failoverQueue.js';
import {RetryBudget} from '../retryBudget.js';
import {WorkDispatcher} from '../workDispatcher.js';
import {
	exchangeOptions, FakeConfiguration, groupState, ManualClock, member, never, outcomeOf, query, RecordingSink, seededRandom, until,
} from './fakes.js';

type Answer = 'ok' | 'readOnly' | NotRunReason | 'slowPeer' | 'unknown' | 'lostMidway';

const [self, peer] = ['self', 'peer'].map((host): Member => ({
	...member(0), host,
})) as [Member, Member];

function failureFor(answer: Exclude<Answer, 'ok' | 'readOnly'>): Failure {
	const base = {step: 'admission', peer: 'x', message: answer} as const;
	if (answer === 'unknown' || answer === 'lostMidway') {
		return {kind: 'unknown', ...base};
	}

	return {kind: 'notRun', reason: answer === 'slowPeer' ? 'unreachable' : answer, ...base};
}

/** Error of a socket whose connection was refused; an attempt that was given up has no code. */
const refusedConnection = Object.assign(new Error('connect ECONNREFUSED'), {code: 'ECONNREFUSED'});

/** A dispatcher whose holders answer as a test says; the primary `a` is held here, its replicas at a peer. */
function setUpDispatcher(answerOf: (request: WorkRequest, attempt: number) => Answer) {
	const clock = new ManualClock();
	const requests: WorkRequest[] = [];
	const reported: string[] = [];
	const released: string[] = [];
	const world = {state: groupState() as GroupState | undefined, gate: undefined as Promise<void> | undefined, probes: 0};
	const work = (request: WorkRequest): UnitOfWork => ({
		async exchange(_frames, sink): Promise<ExchangeResult> {
			requests.push(request);
			const answer = answerOf(request, requests.length);
			await world.gate;
			if (answer === 'lostMidway') {
				await sink(commandComplete('SELECT 0'));
			}

			if (answer !== 'ok' && answer !== 'readOnly') {
				throw new FailureError(failureFor(answer));
			}

			await sink(answer === 'ok' ? commandComplete('SELECT 0') : errorResponse({sqlState: '25006', message: 'read-only'}));
			await sink(readyForQuery('I'));
			return {
				transactionStatus: 'I', sqlState: answer === 'ok' ? undefined : '25006', database: request.database, waitMs: 0, runMs: 0,
			};
		},
		cancel: () => undefined,
		release() {
			released.push(request.database);
		},
	});
	const directory: GroupDirectory = {
		stateOf: () => world.state,
		states: () => [],
		async commitPosition() {
			world.probes++;
			return {term: 1, offsetBytes: 100};
		},
		promotions: () => [],
	};
	const membership: Membership = {
		self,
		members: () => [self, peer],
		holderOf: database => database === 'a' ? self : peer,
		reportUnreachable(host) {
			reported.push(host);
		},
		onChange: () => undefined,
	};
	const dispatcher = new WorkDispatcher(
		{
			clock, random: {next: seededRandom(3)}, configuration: new FakeConfiguration(), directory, membership, metrics: noopMetrics,
		},
		{openNow: work, stats: () => []},
		{
			async open(_member, request) {
				const answer = answerOf(request, requests.length + 1);
				if (answer === 'unreachable' || answer === 'slowPeer') {
					requests.push(request);
					throw new FailureError(failureFor(answer), {cause: answer === 'unreachable' ? refusedConnection : undefined});
				}

				return work(request);
			},
			followMembership: () => undefined,
			endIfSilent: () => undefined,
		},
	);
	const run = async (overrides: Partial<WorkIntent> = {}, sink = new RecordingSink()) =>
		dispatcher.dispatch(intent(overrides), query('X'), sink.sink, exchangeOptions());
	return {
		clock, requests, reported, released, world, dispatcher, run, databases: () => requests.map(({database}) => database).join(''),
	};
}

function intent(overrides: Partial<WorkIntent> = {}): WorkIntent {
	return {
		group: 'g',
		mode: 'read',
		rank: 'first',
		callerKey: 'caller',
		freshness: {mode: 'session'},
		sessionPosition: {term: 1, offsetBytes: 100},
		hasSessionToken: true,
		waitLimitMs: 2000,
		...overrides,
	};
}

const behind = (state: GroupState): GroupState => ({
	...state,
	databases: state.databases.map(view => view.database === 'a' ? view : {...view, position: {term: 1, offsetBytes: view.database === 'b' ? 40 : 60}, provenAgeMs: 5000}),
});

/** Replicas that keep up, but whose positions were reported before the last write. */
const reportedEarlier = (state: GroupState): GroupState => ({
	...behind(state),
	databases: behind(state).databases.map(view => ({...view, provenAgeMs: 400})),
});

describe('WorkDispatcher', () => {
	type Choice = {
		readonly name: string;
		readonly intent: Partial<WorkIntent>;
		readonly state?: GroupState;
		readonly pattern: RegExp;
		readonly probes?: number;
		readonly minimum?: number;
	};
	const choices: readonly Choice[] = [
		{name: 'a write to the primary', intent: {mode: 'write'}, pattern: /^a$/v},
		{
			name: 'a session read to a fresh replica', intent: {}, pattern: /^[bc]$/v, minimum: 100,
		},
		{
			name: 'a session read to the primary when replicas are behind', intent: {}, state: behind(groupState()), pattern: /^a$/v,
		},
		{
			name: 'a session read to a replica that keeps up, although its reported position is older', intent: {}, state: reportedEarlier(groupState()), pattern: /^[bc]$/v, minimum: 100,
		},
		{
			name: 'a read without a token after a probe', intent: {hasSessionToken: false, sessionPosition: {term: 0, offsetBytes: 0}}, pattern: /^[bc]$/v, probes: 1, minimum: 100,
		},
		{
			name: 'a primary read to the primary after a probe', intent: {freshness: {mode: 'primary'}}, pattern: /^a$/v, probes: 1,
		},
		{
			name: 'a bounded read without a primary to a replica', intent: {freshness: {mode: 'bounded', maxAgeMs: 50}}, state: groupState({primary: undefined}), pattern: /^[abc]$/v,
		},
	];
	for (const {name, intent: overrides, state, pattern, probes = 0, minimum} of choices) {
		it(`sends ${name} (guards against stale reads and idle replicas)`, async () => {
			const {run, databases, requests, world} = setUpDispatcher(() => 'ok');
			world.state = state ?? world.state;
			await run(overrides);
			expect(databases()).to.match(pattern);
			expect(world.probes).to.equal(probes);
			if (minimum) {
				expect(requests[0]!.minimumPosition!.offsetBytes).to.equal(minimum);
			}
		});
	}

	it('passes over a replica that its holder found behind, for a moment (guards against reads that each wait in vain)', async () => {
		const {run, databases, world, clock} = setUpDispatcher(({database}) => database === 'a' ? 'ok' : 'tooStale');
		world.state = reportedEarlier(groupState());
		await run();
		await run();
		await run();
		expect(databases()).to.match(/^(?:bacaa|cabaa)$/v);
		await clock.advance(600);
		await run();
		expect(databases()).to.match(/[bc]a$/v);
	});

	it('spreads reads over replicas by work in flight (guards against one replica taking all)', async () => {
		const {run, requests, world, dispatcher} = setUpDispatcher(() => 'ok');
		world.gate = never();
		for (let index = 0; index < 20; index++) {
			void run();
		}

		await until(() => requests.length === 20);
		const counts = ['a', 'b', 'c'].map(name => requests.filter(({database}) => database === name).length);
		expect(counts[1]).to.be.within(5, 10);
		expect(counts[2]).to.be.within(5, 10);
		expect(dispatcher.explain(intent()).candidates).to.have.length(3);
	});

	it('gives the closest replica a bounded time while the primary is busy (guards against reads that crowd out writes)', async () => {
		const {run, requests, world, databases} = setUpDispatcher(({database}) => database === 'a' ? 'ok' : 'tooStale');
		world.state = behind(groupState());
		world.gate = never();
		for (let index = 0; index < 3; index++) {
			void run({mode: 'write'});
		}

		await until(() => requests.length === 3);
		world.gate = undefined;
		await run();
		expect(databases()).to.equal('aaaca');
	});

	type Case = {
		readonly name: string;
		readonly mode: 'read' | 'write';
		readonly answers: readonly Answer[];
		readonly kind?: Failure['kind'];
		readonly attempts: number;
		readonly reported?: number;
	};
	const remedies: readonly Case[] = [
		{
			name: 'redirects a write after notPrimary', mode: 'write', answers: ['notPrimary', 'ok'], attempts: 2,
		},
		{
			name: 'repeats a read elsewhere when a holder is unreachable, and reports it', mode: 'read', answers: ['unreachable', 'ok'], attempts: 2, reported: 1,
		},
		{
			name: 'repeats a read elsewhere when a peer is slow to accept, and does not take it for dead', mode: 'read', answers: ['slowPeer', 'ok'], attempts: 2, reported: 0,
		},
		{
			name: 'waits for the new primary when a fenced one refuses a write', mode: 'write', answers: ['readOnly', 'ok'], attempts: 2,
		},
		{
			name: 'repeats a shed read elsewhere', mode: 'read', answers: ['shed', 'ok'], attempts: 2,
		},
		{
			name: 'never repeats a write whose outcome is unknown', mode: 'write', answers: ['unknown', 'ok'], kind: 'unknown', attempts: 1,
		},
		{
			name: 'repeats a read that was lost before the caller got a byte', mode: 'read', answers: ['unknown', 'ok'], attempts: 2,
		},
		{
			name: 'never repeats a read of which the caller got a part', mode: 'read', answers: ['lostMidway', 'ok'], kind: 'unknown', attempts: 1,
		},
		{
			name: 'never repeats a lost read that turns out to write', mode: 'read', answers: ['unknown', 'readOnly', 'ok'], kind: 'unknown', attempts: 2,
		},
		{
			name: 'never repeats a lost write that was taken for a read', mode: 'read', answers: ['readOnly', 'unknown', 'ok'], kind: 'unknown', attempts: 2,
		},
		{
			name: 'reports a read that is lost again and again', mode: 'read', answers: Array.from({length: 9}, () => 'unknown' as const), kind: 'unknown', attempts: 4,
		},
		{
			name: 'does not repeat a shed write', mode: 'write', answers: ['shed', 'ok'], kind: 'notRun', attempts: 1,
		},
		{
			name: 'gives up a write that no primary takes', mode: 'write', answers: Array.from({length: 99}, () => 'notPrimary' as const), kind: 'notRun', attempts: 40,
		},
	];
	for (const {name, mode, answers, kind, attempts, reported = 0} of remedies) {
		it(`${name} (guards against lost or doubled work)`, async () => {
			const dispatcher = setUpDispatcher((_request, attempt) => answers[attempt - 1]!);
			const running = outcomeOf(dispatcher.run({mode}));
			await dispatcher.clock.advance(failoverWaitLimitMs + 100);
			const failure = await running;
			expect(failure?.kind).to.equal(kind);
			expect(dispatcher.requests.length).to.be.within(1, attempts);
			expect(dispatcher.requests.length === 1).to.equal(attempts === 1);
			expect(dispatcher.reported).to.have.length(reported);
		});
	}

	it('waits for a new primary during a failover (guards against writes refused although one is near)', async () => {
		const {run, clock, world, databases} = setUpDispatcher(() => 'ok');
		world.state = groupState({primary: undefined});
		const running = run({mode: 'write'});
		await clock.advance(700);
		expect(databases()).to.equal('');
		world.state = groupState({term: 2, primary: 'b'});
		await clock.advance(30);
		await running;
		expect(databases()).to.equal('b');
	});

	const refusals: readonly NotRunReason[] = ['notPrimary', 'noPrimary', 'unreachable'];
	for (const reason of refusals) {
		it(`lets a write that is refused as ${reason} wait beyond its rank's target, up to the limit (guards against errors during a failover)`, async () => {
			const world = {isUp: false};
			const {run, clock, requests} = setUpDispatcher(() => world.isUp ? 'ok' : reason);
			const confirmed = outcomeOf(run({mode: 'write', waitLimitMs: 150}));
			await clock.advance(4000);
			expect(requests.length, 'attempts meanwhile').to.be.within(10, 40);
			world.isUp = true;
			await clock.advance(500);
			expect(await confirmed).to.equal(undefined);
			expect(Math.max(...requests.map(({waitLimitMs}) => waitLimitMs)), 'wait at the queue').to.be.at.most(150);
			world.isUp = false;
			const late = {failure: undefined as Failure | undefined};
			const refused = async () => {
				late.failure = await outcomeOf(run({mode: 'write', waitLimitMs: 150}));
			};

			void refused();
			await clock.advance(failoverWaitLimitMs - 100);
			expect(late.failure, 'before the limit').to.equal(undefined);
			await clock.advance(200);
			expect(late.failure).to.include({kind: 'notRun', reason});
		});
	}

	it('bounds the writes that wait for a primary, and those that go on at a time (guards against a storm at the new primary)', async () => {
		const {run, clock, world, requests} = setUpDispatcher(() => 'ok');
		world.state = groupState({primary: undefined});
		const counts = {refused: 0, done: 0};
		const write = async (index: number) => {
			const failure = await outcomeOf(run({mode: 'write', callerKey: `c${index}`, waitLimitMs: 150}));
			counts[failure ? 'refused' : 'done']++;
		};

		for (let index = 0; index < maximumFailoverWaiters + 10; index++) {
			void write(index);
		}

		await clock.advance(1000);
		expect(counts).to.deep.equal({refused: 10, done: 0});
		let answer!: () => void;
		world.gate = new Promise(resolve => {
			answer = resolve;
		});
		world.state = groupState({term: 2, primary: 'b'});
		await clock.advance(1000);
		expect(requests).to.have.length(maximumAttempts);
		answer();
		await clock.advance(100);
		expect(counts).to.deep.equal({refused: 10, done: maximumFailoverWaiters});
	});

	it('runs a read that a replica refuses again at the primary, without its error (guards against 25006 reaching the caller)', async () => {
		const {run, databases, released} = setUpDispatcher(({database}) => database === 'a' ? 'ok' : 'readOnly');
		const sink = new RecordingSink();
		await run({}, sink);
		expect(databases()).to.match(/^[bc]a$/v);
		expect(sink.types).to.equal('CZ');
		expect(released).to.have.length(1);
	});

	it('bounds retries under total failure (guards against a retry storm)', async () => {
		const {run, clock, requests} = setUpDispatcher(() => 'unreachable');
		const outcomes: Array<Promise<unknown>> = [];
		for (let index = 0; index < 500; index++) {
			outcomes.push(run({callerKey: `c${index % 50}`}).catch(() => undefined));
			await clock.advance(5);
		}

		await clock.advance(3000);
		await Promise.all(outcomes);
		// One attempt each, the group's reserve of 20, and 10% of the requests.
		expect(requests.length).to.be.within(500, 500 + 20 + 50);
	});

	it('never gives more retries than the budgets hold (guards against a budget that can be passed)', () => {
		fc.assert(fc.property(fc.array(fc.record({caller: fc.integer({min: 0, max: 4}), retries: fc.integer({min: 0, max: 5})}), {maxLength: 200}), calls => {
			const budget = new RetryBudget();
			const given = new Map<string, number>();
			const made = new Map<string, number>();
			for (const {caller, retries} of calls) {
				const key = String(caller);
				budget.noteRequest('g', key);
				made.set(key, (made.get(key) ?? 0) + 1);
				for (let index = 0; index < retries; index++) {
					given.set(key, (given.get(key) ?? 0) + (budget.tryRetry('g', key) ? 1 : 0));
				}
			}

			const total = [...given.values()].reduce((sum, count) => sum + count, 0);
			expect(total).to.be.at.most(20 + (0.1 * calls.length));
			for (const [key, count] of given) {
				expect(count).to.be.at.most(3 + (0.1 * made.get(key)!));
			}
		}), {seed: 20_263, numRuns: 200});
	});
});
