import {expect} from 'chai';
import fc from 'fast-check';
import {
	FailureError, noopMetrics, type ExchangeResult, type Failure, type GroupDirectory, type GroupState, type Member, type Membership, type NotRunReason,
	type UnitOfWork, type WorkIntent, type WorkRequest,
} from '@crocusloom/model';
import {FakeClock} from '@crocusloom/model/testing';
import {commandComplete, errorResponse, readyForQuery} from '@crocusloom/wire';
import {failoverWaitLimitMs, maximumConcurrentAttempts, maximumFailoverWaiters} from '../failoverQueue.js';
import {RetryBudget} from '../retryBudget.js';
import {WorkDispatcher} from '../workDispatcher.js';
import {
	exchangeOptions, FakeConfiguration, groupState, member, neverSettling, failureIfRejected, query, RecordingSink, seededRandom, waitUntil,
} from './fakes.js';

type HolderResponse = 'ok' | 'readOnly' | NotRunReason | 'slowPeer' | 'unknown' | 'lostMidway';

const [self, peer] = ['self', 'peer'].map((host): Member => ({
	...member(0), host,
})) as [Member, Member];

function failureFor(response: Exclude<HolderResponse, 'ok' | 'readOnly'>): Failure {
	const base = {step: 'admission', peer: 'x', message: response} as const;
	if (response === 'unknown' || response === 'lostMidway') {
		return {kind: 'unknown', ...base};
	}

	return {kind: 'notRun', reason: response === 'slowPeer' ? 'unreachable' : response, ...base};
}

/** Socket error of a refused connection. A connection attempt that timed out has no error code. */
const refusedConnection = Object.assign(new Error('connect ECONNREFUSED'), {code: 'ECONNREFUSED'});

/** Creates a dispatcher whose holders respond as a test determines. The primary `a` is held by this host, its replicas by a peer. */
function setUpDispatcher(responseOf: (request: WorkRequest, attempt: number) => HolderResponse) {
	const clock = new FakeClock();
	const requests: WorkRequest[] = [];
	const reported: string[] = [];
	const released: string[] = [];
	const conditions = {state: groupState() as GroupState | undefined, gate: undefined as Promise<void> | undefined, probes: 0};
	const work = (request: WorkRequest): UnitOfWork => ({
		async exchange(_frames, sink): Promise<ExchangeResult> {
			requests.push(request);
			const response = responseOf(request, requests.length);
			await conditions.gate;
			if (response === 'lostMidway') {
				await sink(commandComplete('SELECT 0'));
			}

			if (response !== 'ok' && response !== 'readOnly') {
				throw new FailureError(failureFor(response));
			}

			await sink(response === 'ok' ? commandComplete('SELECT 0') : errorResponse({sqlState: '25006', message: 'read-only'}));
			await sink(readyForQuery('I'));
			return {
				transactionStatus: 'I', sqlState: response === 'ok' ? undefined : '25006', database: request.database, waitMs: 0, runMs: 0,
			};
		},
		cancel: () => undefined,
		release() {
			released.push(request.database);
		},
	});
	const directory: GroupDirectory = {
		stateOf: () => conditions.state,
		states: () => [],
		async commitPosition() {
			conditions.probes++;
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
		{openSync: work, stats: () => []},
		{
			async open(_member, request) {
				const response = responseOf(request, requests.length + 1);
				if (response === 'unreachable' || response === 'slowPeer') {
					requests.push(request);
					throw new FailureError(failureFor(response), {cause: response === 'unreachable' ? refusedConnection : undefined});
				}

				return work(request);
			},
			followMembership: () => undefined,
			closeIfSilent: () => undefined,
		},
	);
	const run = async (overrides: Partial<WorkIntent> = {}, sink = new RecordingSink()) =>
		dispatcher.dispatch(intent(overrides), query('X'), sink.sink, exchangeOptions());
	return {
		clock, requests, reported, released, conditions, dispatcher, run, databases: () => requests.map(({database}) => database).join(''),
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

const withLaggingReplicas = (state: GroupState): GroupState => ({
	...state,
	databases: state.databases.map(view => view.database === 'a' ? view : {...view, position: {term: 1, offsetBytes: view.database === 'b' ? 40 : 60}, provenAgeMs: 5000}),
});

/** Replicas that are caught up, but whose positions were reported before the last write. */
const withOlderReportedPositions = (state: GroupState): GroupState => ({
	...withLaggingReplicas(state),
	databases: withLaggingReplicas(state).databases.map(view => ({...view, provenAgeMs: 400})),
});

describe('WorkDispatcher', () => {
	type RoutingCase = {
		readonly name: string;
		readonly intent: Partial<WorkIntent>;
		readonly state?: GroupState;
		readonly pattern: RegExp;
		readonly probes?: number;
		readonly minimum?: number;
	};
	const routingCases: readonly RoutingCase[] = [
		{name: 'a write to the primary', intent: {mode: 'write'}, pattern: /^a$/v},
		{
			name: 'a session read to a fresh replica', intent: {}, pattern: /^[bc]$/v, minimum: 100,
		},
		{
			name: 'a session read to the primary when the replicas lag', intent: {}, state: withLaggingReplicas(groupState()), pattern: /^a$/v,
		},
		{
			name: 'a session read to a caught-up replica whose reported position is older', intent: {}, state: withOlderReportedPositions(groupState()), pattern: /^[bc]$/v, minimum: 100,
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
	for (const {name, intent: overrides, state, pattern, probes = 0, minimum} of routingCases) {
		it(`sends ${name} (guards against stale reads and idle replicas)`, async () => {
			const {run, databases, requests, conditions} = setUpDispatcher(() => 'ok');
			conditions.state = state ?? conditions.state;
			await run(overrides);
			expect(databases()).to.match(pattern);
			expect(conditions.probes).to.equal(probes);
			if (minimum) {
				expect(requests[0]!.minimumPosition!.offsetBytes).to.equal(minimum);
			}
		});
	}

	it('skips a replica for a short time after its holder reported it as lagging (guards against every read waiting there in vain)', async () => {
		const {run, databases, conditions, clock} = setUpDispatcher(({database}) => database === 'a' ? 'ok' : 'tooStale');
		conditions.state = withOlderReportedPositions(groupState());
		await run();
		await run();
		await run();
		expect(databases()).to.match(/^(?:bacaa|cabaa)$/v);
		await clock.advance(600);
		await run();
		expect(databases()).to.match(/[bc]a$/v);
	});

	it('spreads reads over replicas by work in flight (guards against one replica receiving all reads)', async () => {
		const {run, requests, conditions, dispatcher} = setUpDispatcher(() => 'ok');
		conditions.gate = neverSettling();
		for (let index = 0; index < 20; index++) {
			void run();
		}

		await waitUntil(() => requests.length === 20);
		const counts = ['a', 'b', 'c'].map(name => requests.filter(({database}) => database === name).length);
		expect(counts[1]).to.be.within(5, 10);
		expect(counts[2]).to.be.within(5, 10);
		expect(dispatcher.explain(intent()).candidates).to.have.length(3);
	});

	it('sends a read to the most advanced replica while the primary is busy (guards against reads that crowd out writes)', async () => {
		const {run, requests, conditions, databases} = setUpDispatcher(({database}) => database === 'a' ? 'ok' : 'tooStale');
		conditions.state = withLaggingReplicas(groupState());
		conditions.gate = neverSettling();
		for (let index = 0; index < 3; index++) {
			void run({mode: 'write'});
		}

		await waitUntil(() => requests.length === 3);
		conditions.gate = undefined;
		await run();
		expect(databases()).to.equal('aaaca');
	});

	type RetryCase = {
		readonly name: string;
		readonly mode: 'read' | 'write';
		readonly responses: readonly HolderResponse[];
		readonly kind?: Failure['kind'];
		readonly attempts: number;
		readonly reported?: number;
	};
	const retryCases: readonly RetryCase[] = [
		{
			name: 'redirects a write after notPrimary', mode: 'write', responses: ['notPrimary', 'ok'], attempts: 2,
		},
		{
			name: 'retries a read at another database when a holder is unreachable, and reports the holder', mode: 'read', responses: ['unreachable', 'ok'], attempts: 2, reported: 1,
		},
		{
			name: 'retries a read at another database when a peer is slow to accept a connection, without reporting the peer', mode: 'read', responses: ['slowPeer', 'ok'], attempts: 2, reported: 0,
		},
		{
			name: 'waits for the new primary when a fenced one refuses a write', mode: 'write', responses: ['readOnly', 'ok'], attempts: 2,
		},
		{
			name: 'retries a shed read at another database', mode: 'read', responses: ['shed', 'ok'], attempts: 2,
		},
		{
			name: 'never retries a write whose outcome is unknown', mode: 'write', responses: ['unknown', 'ok'], kind: 'unknown', attempts: 1,
		},
		{
			name: 'reruns a read whose response was lost before the caller received a byte', mode: 'read', responses: ['unknown', 'ok'], attempts: 2,
		},
		{
			name: 'never reruns a read of which the caller received a part', mode: 'read', responses: ['lostMidway', 'ok'], kind: 'unknown', attempts: 1,
		},
		{
			name: 'never reruns a lost read that attempts a write', mode: 'read', responses: ['unknown', 'readOnly', 'ok'], kind: 'unknown', attempts: 2,
		},
		{
			name: 'never reruns a lost write that was classified as a read', mode: 'read', responses: ['readOnly', 'unknown', 'ok'], kind: 'unknown', attempts: 2,
		},
		{
			name: 'reports the loss of a read that is lost repeatedly', mode: 'read', responses: Array.from({length: 9}, () => 'unknown' as const), kind: 'unknown', attempts: 4,
		},
		{
			name: 'does not retry a shed write', mode: 'write', responses: ['shed', 'ok'], kind: 'notRun', attempts: 1,
		},
		{
			name: 'fails a write that no primary accepts', mode: 'write', responses: Array.from({length: 99}, () => 'notPrimary' as const), kind: 'notRun', attempts: 40,
		},
	];
	for (const {name, mode, responses, kind, attempts, reported = 0} of retryCases) {
		it(`${name} (guards against work that is lost or runs twice)`, async () => {
			const dispatcher = setUpDispatcher((_request, attempt) => responses[attempt - 1]!);
			const running = failureIfRejected(dispatcher.run({mode}));
			await dispatcher.clock.advance(failoverWaitLimitMs + 100);
			const failure = await running;
			expect(failure?.kind).to.equal(kind);
			expect(dispatcher.requests.length).to.be.within(1, attempts);
			expect(dispatcher.requests.length === 1).to.equal(attempts === 1);
			expect(dispatcher.reported).to.have.length(reported);
		});
	}

	it('tells the caller which unit of work each attempt runs in (guards against cancel requests that reach no unit of work)', async () => {
		const {dispatcher, databases} = setUpDispatcher((_request, attempt) => attempt === 1 ? 'unreachable' : 'ok');
		const opened: UnitOfWork[] = [];
		const {work} = await dispatcher.dispatch(intent({mode: 'read'}), query('X'), new RecordingSink().sink, exchangeOptions({
			onOpen(unit) {
				opened.push(unit);
			},
		}));
		expect(databases()).to.have.length(2);
		expect(opened.at(-1)).to.equal(work);
	});

	it('waits for a new primary during a failover (guards against writes that fail although a promotion is in progress)', async () => {
		const {run, clock, conditions, databases} = setUpDispatcher(() => 'ok');
		conditions.state = groupState({primary: undefined});
		const running = run({mode: 'write'});
		await clock.advance(700);
		expect(databases()).to.equal('');
		conditions.state = groupState({term: 2, primary: 'b'});
		await clock.advance(30);
		await running;
		expect(databases()).to.equal('b');
	});

	const failoverReasons: readonly NotRunReason[] = ['notPrimary', 'noPrimary', 'unreachable'];
	for (const reason of failoverReasons) {
		it(`lets a write that fails as ${reason} wait beyond the target of its rank, up to the failover limit (guards against errors during a failover)`, async () => {
			const conditions = {isUp: false};
			const {run, clock, requests} = setUpDispatcher(() => conditions.isUp ? 'ok' : reason);
			const firstWrite = failureIfRejected(run({mode: 'write', waitLimitMs: 150}));
			await clock.advance(4000);
			expect(requests.length, 'attempts while no primary accepts the write').to.be.within(10, 40);
			conditions.isUp = true;
			await clock.advance(500);
			expect(await firstWrite).to.equal(undefined);
			expect(Math.max(...requests.map(({waitLimitMs}) => waitLimitMs)), 'wait limit at the admission queue').to.be.at.most(150);
			conditions.isUp = false;
			const secondWrite = {failure: undefined as Failure | undefined};
			const runSecondWrite = async () => {
				secondWrite.failure = await failureIfRejected(run({mode: 'write', waitLimitMs: 150}));
			};

			void runSecondWrite();
			await clock.advance(failoverWaitLimitMs - 100);
			expect(secondWrite.failure, 'failure before the failover limit').to.equal(undefined);
			await clock.advance(200);
			expect(secondWrite.failure).to.include({kind: 'notRun', reason});
		});
	}

	it('limits the writes that wait for a primary, and their concurrent attempts (guards against a storm at the new primary)', async () => {
		const {run, clock, conditions, requests} = setUpDispatcher(() => 'ok');
		conditions.state = groupState({primary: undefined});
		const counts = {refused: 0, done: 0};
		const write = async (index: number) => {
			const failure = await failureIfRejected(run({mode: 'write', callerKey: `c${index}`, waitLimitMs: 150}));
			counts[failure ? 'refused' : 'done']++;
		};

		for (let index = 0; index < maximumFailoverWaiters + 10; index++) {
			void write(index);
		}

		await clock.advance(1000);
		expect(counts).to.deep.equal({refused: 10, done: 0});
		let answer!: () => void;
		conditions.gate = new Promise(resolve => {
			answer = resolve;
		});
		conditions.state = groupState({term: 2, primary: 'b'});
		await clock.advance(1000);
		expect(requests).to.have.length(maximumConcurrentAttempts);
		answer();
		await clock.advance(100);
		expect(counts).to.deep.equal({refused: 10, done: maximumFailoverWaiters});
	});

	it('reruns a read that a replica refuses as read-only at the primary, and hides the error (guards against 25006 reaching the caller)', async () => {
		const {run, databases, released} = setUpDispatcher(({database}) => database === 'a' ? 'ok' : 'readOnly');
		const sink = new RecordingSink();
		await run({}, sink);
		expect(databases()).to.match(/^[bc]a$/v);
		expect(sink.types).to.equal('CZ');
		expect(released).to.have.length(1);
	});

	it('limits retries when all databases fail (guards against a retry storm)', async () => {
		const {run, clock, requests} = setUpDispatcher(() => 'unreachable');
		const outcomes: Array<Promise<unknown>> = [];
		for (let index = 0; index < 500; index++) {
			outcomes.push(run({callerKey: `c${index % 50}`}).catch(() => undefined));
			await clock.advance(5);
		}

		await clock.advance(3000);
		await Promise.all(outcomes);
		// One attempt per request, the 20 retries of the group bucket, and 10% of the requests.
		expect(requests.length).to.be.within(500, 500 + 20 + 50);
	});

	it('never allows more retries than the budgets contain (guards against a budget that can be exceeded)', () => {
		fc.assert(fc.property(fc.array(fc.record({caller: fc.integer({min: 0, max: 4}), retries: fc.integer({min: 0, max: 5})}), {maxLength: 200}), calls => {
			const budget = new RetryBudget();
			const consumedRetries = new Map<string, number>();
			const requestCounts = new Map<string, number>();
			for (const {caller, retries} of calls) {
				const key = String(caller);
				budget.recordRequest('g', key);
				requestCounts.set(key, (requestCounts.get(key) ?? 0) + 1);
				for (let index = 0; index < retries; index++) {
					consumedRetries.set(key, (consumedRetries.get(key) ?? 0) + (budget.tryConsume('g', key) ? 1 : 0));
				}
			}

			const total = [...consumedRetries.values()].reduce((sum, count) => sum + count, 0);
			expect(total).to.be.at.most(20 + (0.1 * calls.length));
			for (const [key, count] of consumedRetries) {
				expect(count).to.be.at.most(3 + (0.1 * requestCounts.get(key)!));
			}
		}), {seed: 20_263, numRuns: 200});
	});
});
