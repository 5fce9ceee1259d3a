import {isDeepStrictEqual} from 'node:util';
import {systemClock} from '@crocusloom/model';
import {seededRandom, waitUntil} from '@crocusloom/model/testing';
import {expect} from 'chai';
import {
	type BackendConnection, type BackendDialer, type BackendServer, ConnectionError, UnsendableRequestError,
} from '../ports.js';
import {type Session} from '../sessions/session.js';
import {type Answer, errorAnswer, type Statement} from '../statements/statement.js';
import {MemoryService, type RunRecord} from '../testing/index.js';
import {
	errorOf, type Harness, run, startProxy,
} from './proxyHarness.js';

/** What a connection does to a request that the disturbance chooses. */
type Disturbance = 'delay' | 'long delay' | 'reset' | 'refuse setup' | 'unsendable setup' | 'never answer' | 'discard';

const setupKinds: ReadonlySet<string> = new Set(['set', 'prepare', 'discard']);
/** Longer than the time in which a session must be set up, and than the timeout of a statement. */
const longDelayMs = 750;

/** Creates a function that returns reproducible integers below a limit. */
function createRandom(seed: number): (limit: number) => number {
	const random = seededRandom(seed);
	return limit => Math.floor(random.next() * limit);
}

/** Disturbs requests. Answers still arrive in the order of the requests, as on a TCP connection. */
class DisturbingDialer implements BackendDialer {
	readonly counts = new Map<Disturbance, number>();
	/** Requests of a hundred that are disturbed. */
	sharePercent = 0;

	constructor(private readonly service: MemoryService, private readonly random: (limit: number) => number, private readonly disturbances: readonly Disturbance[]) {}

	async dial(server: BackendServer): Promise<BackendConnection> {
		const connection = await this.service.dial(server);
		let lastAnswer: Promise<unknown> = Promise.resolve();
		return {
			get isOpen() {
				return connection.isOpen;
			},
			run: async request => {
				const disturbance = this.choose(setupKinds.has(request.command.kind));
				const answer = this.disturb(disturbance, connection, server, async () => connection.run(request));
				const inOrder = Promise.all([answer, lastAnswer]).then(([own]) => own);
				lastAnswer = inOrder.catch(() => undefined);
				return new Promise<Answer>((resolve, reject) => {
					inOrder.then(resolve, reject);
					connection.onClose(() => {
						reject(new ConnectionError({kind: 'closed', message: 'closed'}, 'execute', server.id));
					});
				});
			},
			readStatus: answer => connection.readStatus(answer),
			onClose(listener) {
				connection.onClose(listener);
			},
			close() {
				connection.close();
			},
		};
	}

	async isReachable(server: BackendServer): Promise<boolean> {
		return this.service.isReachable(server);
	}

	private choose(isSetup: boolean): Disturbance | undefined {
		const disturbance = this.random(100) < this.sharePercent ? this.disturbances[this.random(this.disturbances.length)] : undefined;
		if (disturbance === undefined || (disturbance.endsWith('setup') && !isSetup)) {
			return undefined;
		}

		this.counts.set(disturbance, (this.counts.get(disturbance) ?? 0) + 1);
		return disturbance;
	}

	private async disturb(disturbance: Disturbance | undefined, connection: BackendConnection, server: BackendServer, run: () => Promise<Answer>): Promise<Answer> {
		switch (disturbance) {
			case 'delay':
			case 'long delay': {
				const answer = await run();
				await systemClock.sleep(disturbance === 'delay' ? 5 : longDelayMs);
				return answer;
			}

			case 'reset': {
				const answer = run();
				connection.close();
				return answer;
			}

			case 'refuse setup': {
				return errorAnswer('overloaded', server.id, 'idle');
			}

			case 'unsendable setup': {
				throw new UnsendableRequestError('too long');
			}

			case 'never answer': {
				await run();
				return new Promise<Answer>(resolve => {
					connection.onClose(() => {
						resolve(errorAnswer('failed', 'closed', 'idle'));
					});
				});
			}

			case 'discard': {
				await connection.run({command: {kind: 'discard'}});
				return run();
			}

			case undefined: {
				return run();
			}
		}
	}
}

type Expected = {
	readonly parameters: Readonly<Record<string, string>>;
	readonly shape: string | undefined;
	/** Number of the transaction; undefined outside of one. */
	readonly transaction: number | undefined;
};

/** Callers that keep what their sessions were told, to compare it with what the databases ran. */
class Callers {
	readonly expected = new Map<string, Expected>();
	/** Ids that were answered with success, with the id in the digest of the answer. */
	readonly served = new Map<string, string | undefined>();
	private idCount = 0;
	private transactionCount = 0;

	constructor(private readonly harness: Harness, private readonly random: (limit: number) => number, private readonly shapeCount: number, private readonly valueCount: number) {}

	async play(name: string, operationCount: number): Promise<void> {
		let session = this.harness.proxy.openSession(['strict', 'bounded', 'own'][this.random(3)]!, name);
		let parameters: Record<string, string> = {};
		for (let count = 0; count < operationCount; count++) {
			if (this.random(12) === 0) {
				session.end();
				session = this.harness.proxy.openSession('strict', name);
				parameters = {};
			}

			// Sessions that all have the same names of values share connections without a discard.
			if ((this.valueCount === 1 && !('v0' in parameters)) || this.random(4) === 0) {
				const [key, value] = [`v${this.random(this.valueCount)}`, `${name}-${count}`];
				const answer = await session.run({
					kind: 'set', id: this.nextId(), name: key, value,
				});
				parameters = answer.error ? parameters : {...parameters, [key]: value};
			}

			await (this.random(3) === 0 ? this.playTransaction(session, parameters) : this.playData(session, parameters, undefined));
		}

		session.end();
	}

	private async playTransaction(session: Session, parameters: Readonly<Record<string, string>>): Promise<void> {
		this.transactionCount++;
		const transaction = this.transactionCount;
		let {state} = await session.run({kind: 'begin', id: this.nextId(), readOnly: this.random(2) === 0});
		for (let count = 0; count <= this.random(4) && state === 'open'; count++) {
			state = await this.playData(session, parameters, transaction);
		}

		// The rollback runs in the background while the next statement of the session is already running.
		await session.run(this.random(2) === 0 ? {kind: 'rollback', id: this.nextId()} : {kind: 'commit', id: this.nextId()});
	}

	private async playData(session: Session, parameters: Readonly<Record<string, string>>, transaction: number | undefined): Promise<Answer['state']> {
		const id = this.nextId();
		const isPrepared = this.random(3) > 0;
		const shape = isPrepared ? `q${this.random(this.shapeCount)}` : undefined;
		if (shape !== undefined) {
			await session.run({
				kind: 'prepare', id: this.nextId(), name: 's', mode: this.random(2) === 0 ? 'read' : 'write', shape,
			});
		}

		this.expected.set(id, {parameters, shape, transaction});
		const statement: Statement = isPrepared
			? {
				kind: 'execute', id, name: 's', argumentsText: 'x',
			}
			: {
				kind: 'data', id, mode: 'read', text: 'READ x',
			};
		const answer = await session.run(statement);
		if (!answer.error) {
			this.served.set(id, answer.digest);
		}

		return answer.state;
	}

	private nextId(): string {
		this.idCount++;
		return `r${this.idCount}`;
	}
}

/** Compares the runs of the databases with what the callers were told. */
function violationsOf(runs: readonly RunRecord[], {expected, served}: Callers): readonly string[] {
	const violations: string[] = [];
	const connectionByTransaction = new Map<number, number>();
	const openTransaction = new Map<number, number | undefined>();
	for (const {connection, command, parameters, prepared, inTransaction} of runs) {
		if (command.kind === 'begin') {
			openTransaction.set(connection, undefined);
		}

		const id = 'id' in command ? command.id : '';
		const wanted = expected.get(id);
		if (!wanted) {
			continue;
		}

		if (!isDeepStrictEqual(Object.fromEntries(parameters), wanted.parameters)) {
			violations.push(`${id} ran with other values: ${JSON.stringify([...parameters])} instead of ${JSON.stringify(wanted.parameters)}`);
		}

		if (prepared?.shape !== wanted.shape) {
			violations.push(`${id} ran as ${prepared?.shape} instead of ${wanted.shape}`);
		}

		if (inTransaction !== (wanted.transaction !== undefined)) {
			violations.push(`${id} ran ${inTransaction ? 'inside' : 'outside'} a transaction`);
		}

		if (wanted.transaction !== undefined) {
			const owner = openTransaction.get(connection) ?? wanted.transaction;
			const home = connectionByTransaction.get(wanted.transaction) ?? connection;
			openTransaction.set(connection, wanted.transaction);
			connectionByTransaction.set(wanted.transaction, home);
			if (owner !== wanted.transaction || home !== connection) {
				violations.push(`${id} ran in the transaction of another`);
			}
		}
	}

	for (const [id, digest] of served) {
		if (digest !== `digest-${id}`) {
			violations.push(`${id} was answered with ${digest}`);
		}
	}

	return violations;
}

/** Counts the discards of connections that had the maximum number of prepared statements. */
function limitResetsOf(runs: readonly RunRecord[]): number {
	const names = new Map<number, Set<string>>();
	let count = 0;
	for (const {connection, command} of runs) {
		const known = names.get(connection) ?? new Set();
		names.set(connection, known);
		if (command.kind === 'prepare') {
			known.add(command.preparedName);
		} else if (command.kind === 'discard') {
			count += known.size >= 200 ? 1 : 0;
			known.clear();
		}
	}

	return count;
}

type Trial = {
	readonly name: string;
	readonly disturbances: readonly Disturbance[];
	readonly sharePercent: number;
	readonly shapeCount: number;
	readonly valueCount?: number;
	readonly hasResets?: boolean;
	readonly maxConnections?: number;
	readonly operationCount?: number;
};

const trials: readonly Trial[] = [
	{
		name: 'nothing', disturbances: [], sharePercent: 0, shapeCount: 8,
	},
	{
		name: 'more statements than a connection keeps', disturbances: ['delay'],
		sharePercent: 3, shapeCount: 600,
		valueCount: 1, hasResets: true, maxConnections: 3,
		operationCount: 150,
	},
	{
		name: 'more statements than a connection keeps, and resets', disturbances: [...Array.from({length: 8}, (): Disturbance => 'delay'), 'refuse setup', 'reset'],
		sharePercent: 1, shapeCount: 600,
		valueCount: 1, hasResets: true, maxConnections: 3,
		operationCount: 200,
	},
	{
		name: 'late answers, also after a deadline', disturbances: ['delay', 'delay', 'delay', 'long delay'], sharePercent: 12, shapeCount: 8,
	},
	{
		name: 'resets and silence', disturbances: ['delay', 'reset', 'never answer'], sharePercent: 6, shapeCount: 8,
	},
	{
		name: 'setups that a server refuses', disturbances: ['delay', 'refuse setup', 'unsendable setup'], sharePercent: 20, shapeCount: 300,
	},
	{
		name: 'all of these', disturbances: ['delay', 'long delay', 'reset', 'refuse setup', 'unsendable setup', 'never answer'], sharePercent: 8, shapeCount: 600,
	},
];

describe('state of the connections to backend servers', () => {
	async function playTrial({
		disturbances, sharePercent, shapeCount, valueCount = 3, hasResets = false, maxConnections = 12, operationCount = 40,
	}: Trial, seed: number): Promise<void> {
		const random = createRandom(seed);
		const service = new MemoryService('ledger', ['a', 'b', 'c'], 1, maxConnections);
		const dialer = new DisturbingDialer(service, random, disturbances);
		const harness = await startProxy(service, systemClock, {dialer});
		try {
			dialer.sharePercent = sharePercent;
			const callers = new Callers(harness, random, shapeCount, valueCount);
			await Promise.all(Array.from({length: 12}, async (_, index) => callers.play(`c${index}`, operationCount)));
			const discards = service.runs.filter(({command}) => command.kind === 'discard').length;
			const resets = limitResetsOf(service.runs);
			const counts = {
				served: callers.served.size, asked: callers.expected.size, runs: service.runs.length, discards, resets, ...Object.fromEntries(dialer.counts),
			};
			expect(violationsOf(service.runs, callers), JSON.stringify(counts)).to.deep.equal([]);
			expect(callers.served.size, 'few statements were served').to.be.above(callers.expected.size / 2);
			if (hasResets) {
				expect(resets, 'no connection reached the limit').to.be.above(0);
			}
		} finally {
			harness.stop();
		}
	}

	const seedCount = Number(process.env.CROCUSLOOM_STATE_SEEDS ?? 1);
	for (const trial of trials) {
		for (let seed = 1; seed <= seedCount; seed++) {
			it(`stays as both sides take it to be with ${trial.name}, seed ${seed} (guards against names and values of another session)`, async () => playTrial(trial, seed)).timeout(120_000);
		}
	}
});

describe('connection whose server does not know a prepared statement any more', () => {
	it('sets the values of the session again (guards against statements that run with values of none)', async () => {
		const service = new MemoryService('ledger', ['a', 'b', 'c']);
		const dialer = new DisturbingDialer(service, () => 0, ['discard']);
		const harness = await startProxy(service, systemClock, {dialer});
		try {
			const session = harness.proxy.openSession('strict', 'u');
			await run(session, 'SET v 1');
			await run(session, 'PREPARE s READ q');
			await run(session, 'EXECUTE s x');
			// The server discards the state of the connection once, before it runs the execution.
			dialer.sharePercent = 100;
			const pendingAnswer = run(session, 'EXECUTE s x');
			await waitUntil(() => dialer.counts.has('discard'));
			dialer.sharePercent = 0;
			const {error} = await pendingAnswer;
			expect(error).to.equal(undefined);
			expect(Object.fromEntries(service.runs.findLast(({prepared}) => prepared)!.parameters)).to.deep.equal({v: '1'});
		} finally {
			harness.stop();
		}
	});
});

describe('transaction on a connection with the maximum number of prepared statements', () => {
	it('discards nothing (guards against a command that a server may refuse inside a transaction)', async () => {
		const service = new MemoryService('ledger', ['a', 'b', 'c'], 1, 3);
		const harness = await startProxy(service);
		try {
			const session = harness.proxy.openSession('strict', 'u');
			for (let shape = 0; shape < 199; shape++) {
				await run(session, `PREPARE s READ q${shape}`);
				await run(session, 'EXECUTE s x');
			}

			await run(session, 'BEGIN');
			for (let shape = 199; shape < 203; shape++) {
				await run(session, `PREPARE s READ q${shape}`);
				expect(await errorOf(session, 'EXECUTE s x')).to.equal(undefined);
			}

			await run(session, 'COMMIT');
			expect(service.runs.filter(({command, inTransaction}) => command.kind === 'discard' && inTransaction)).to.deep.equal([]);
		} finally {
			harness.stop();
		}
	}).timeout(20_000);
});

describe('transaction with a refused statement whose caller stays idle', () => {
	/** Longer than the idle timeout of transactions with its slack. */
	const idleMs = 3500;

	it('ends at its server (guards against connections that idle callers keep)', async () => {
		const service = new MemoryService('ledger', ['a', 'b', 'c']);
		const harness = await startProxy(service);
		try {
			const session = harness.proxy.openSession('strict', 'u');
			await run(session, 'BEGIN');
			await run(session, 'WRITE x 1');
			const {state} = await session.run({kind: 'invalid', id: 'q', reason: 'not a statement'});
			expect(state).to.equal('failed');
			await systemClock.sleep(idleMs);
			expect(service.runs.some(({command}) => command.kind === 'rollback')).to.equal(true);
			expect(session.transactionState).to.equal('failed');
			expect(await errorOf(session, 'COMMIT')).to.equal('aborted');
		} finally {
			harness.stop();
		}
	}).timeout(20_000);
});
