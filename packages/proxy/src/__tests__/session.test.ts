import {systemClock} from '@crocusloom/model';
import {waitUntil} from '@crocusloom/model/testing';
import {expect} from 'chai';
import {type Session} from '../sessions/session.js';
import {MemoryService} from '../testing/index.js';
import {
	errorOf, type Harness, run, startProxy, waitUntilServed,
} from './proxyHarness.js';

describe('session', () => {
	let harness: Harness;
	let session: Session;

	async function start(database = 'strict', service?: MemoryService): Promise<void> {
		harness = await startProxy(service);
		session = harness.proxy.openSession(database, 'u');
	}

	/** Runs a read with a freshness bound on each of several new sessions. */
	async function readFrom(sessionCount: number): Promise<void> {
		const sessions = Array.from({length: sessionCount}, (_, index) => harness.proxy.openSession('bounded', `u${index}`));
		await Promise.all(sessions.map(async reader => errorOf(reader, 'READ x')));
	}

	afterEach(() => {
		session.end();
		harness.stop();
	});

	it('delivers the rows and digest of the server unchanged (guards against data answers that the proxy makes up)', async () => {
		await start();
		const answer = await run(session, 'READ 1a4');
		expect(answer.rows.length).to.equal(1);
		expect(answer.digest).to.match(/^digest-q/v);
		expect(answer.state).to.equal('idle');
	});

	it('isolates the parameters of two sessions that share a connection (guards against parameters that leak into another session)', async () => {
		await start();
		const otherSession = harness.proxy.openSession('strict', 'v');
		for (const [owner, value] of [[session, '1'], [otherSession, '2']] as const) {
			await run(owner, `SET a ${value}`);
		}

		await run(otherSession, 'SET only here');
		for (const [owner, expected] of [[session, {a: '1'}], [otherSession, {a: '2', only: 'here'}], [session, {a: '1'}]] as const) {
			await run(owner, 'READ x');
			const record = harness.service.runs.findLast(({command}) => command.kind === 'data');
			expect(Object.fromEntries(record!.parameters)).to.deep.equal(expected);
		}
	});

	const keptValues: ReadonlyArray<{readonly name: string; readonly lengthBytes: number; readonly isKept: boolean}> = [
		{name: 'a short value', lengthBytes: 100, isKept: true},
		{name: 'a value of 100 kB', lengthBytes: 100_000, isKept: false},
	];
	async function expectKept({lengthBytes, isKept}: typeof keptValues[number]): Promise<void> {
		await start();
		await run(session, `SET a ${'x'.repeat(lengthBytes)}`);
		await run(session, 'READ x');
		await run(session, 'READ x');
		const connections = harness.service.runs.filter(({command}) => command.kind === 'data').map(({connection}) => connection);
		expect(connections[0] === connections[1]).to.equal(isKept);
	}

	for (const keptValue of keptValues) {
		it(`${keptValue.isKept ? 'uses' : 'does not use'} a connection again that has ${keptValue.name} (guards against memory that ended sessions keep)`, async () => expectKept(keptValue));
	}

	it('runs the shape that each session prepared under the same name (guards against name collisions between callers)', async () => {
		await start();
		const otherSession = harness.proxy.openSession('strict', 'v');
		await run(session, 'PREPARE s1 READ first');
		await run(otherSession, 'PREPARE s1 READ second');
		for (const [owner, shape] of [[session, 'first'], [otherSession, 'second'], [session, 'first']] as const) {
			await run(owner, 'EXECUTE s1 item');
			expect(harness.service.runs.findLast(({command}) => command.kind === 'executePrepared')!.prepared!.shape).to.equal(shape);
		}
	});

	it('prepares a statement again that a server did not know in a transaction (guards against a connection that fails one caller after the other)', async () => {
		await start();
		await run(session, 'PREPARE s1 READ shape');
		await run(session, 'EXECUTE s1 item');
		harness.service.server('a').forgetPreparedStatements();
		const outcomes: Array<string | undefined> = [];
		for (let attempt = 0; attempt < 3; attempt++) {
			await run(session, 'BEGIN');
			outcomes.push(await errorOf(session, 'EXECUTE s1 item'));
			await run(session, 'ROLLBACK');
			await systemClock.sleep(20);
		}

		expect(outcomes).to.deep.equal(['aborted', undefined, undefined]);
	});

	it('reports a prepared statement that a server does not know, with its connection and name (guards against wrong shapes that no log explains)', async () => {
		await start();
		await run(session, 'PREPARE s1 READ shape');
		await run(session, 'EXECUTE s1 item');
		harness.service.server('a').forgetPreparedStatements();
		await run(session, 'EXECUTE s1 item');
		const served = harness.log.withMessage('request').find(({fields}) => fields.outcome === 'completed');
		const [unknown] = harness.log.withMessage('a backend server does not know a prepared statement');
		expect(unknown!.fields).to.include({server: 'a', backendConnection: served!.fields.backendConnection, preparedAs: served!.fields.preparedAs});
		expect(unknown!.fields.preparedAs).to.be.a('string');
	});

	it('keeps a transaction on one connection (guards against statements that run outside their transaction)', async () => {
		await start();
		await run(session, 'BEGIN');
		const otherSessions = Array.from({length: 4}, (_, index) => harness.proxy.openSession('strict', `w${index}`));
		await Promise.all([run(session, 'WRITE a 1'), ...otherSessions.map(async otherSession => run(otherSession, 'READ x'))]);
		await run(session, 'READ a');
		const commitAnswer = await run(session, 'COMMIT');
		expect(commitAnswer.digest).to.not.equal(undefined);
		const transactionRuns = harness.service.runs.filter(({inTransaction}) => inTransaction);
		expect(new Set(transactionRuns.map(({connection}) => connection)).size).to.equal(1);
		expect(transactionRuns.length).to.equal(3);
		expect(harness.service.acknowledged.length).to.equal(1);
	});

	it('needs one connection to the primary for strict work (guards against leadership proofs that open a second connection)', async () => {
		await start();
		for (const text of ['READ x', 'BEGIN', 'READ x', 'WRITE x 1', 'COMMIT']) {
			expect(await errorOf(session, text), text).to.equal(undefined);
		}

		expect(harness.service.server('a').dialCount).to.equal(1);
	});

	it('answers with unknownDatabase after the route is removed (guards against work on removed routes)', async () => {
		await start();
		harness.configure(2, ['own']);
		const answer = await run(session, 'READ x');
		expect(answer.error?.kind).to.equal('unknownDatabase');
	});

	it('accepts only COMMIT or ROLLBACK in a failed transaction (guards against statements that run outside their transaction)', async () => {
		await start();
		await run(session, 'BEGIN');
		await run(session, 'WRITE a 1');
		harness.service.server('a').refusals.push('failed');
		expect(await errorOf(session, 'WRITE a 2')).to.equal('failed');
		expect(session.transactionState).to.equal('failed');
		expect(await errorOf(session, 'READ a')).to.equal('malformed');
		expect(await errorOf(session, 'COMMIT')).to.equal('aborted');
		expect(harness.service.acknowledged).to.deep.equal([]);
	});

	const lostAnswerCases = [
		{
			name: 'a single write', before: [], statement: 'WRITE a 1', kind: 'inDoubt',
		},
		{
			name: 'the commit of a transaction that wrote', before: ['BEGIN', 'WRITE a 1'], statement: 'COMMIT', kind: 'inDoubt',
		},
		{
			name: 'the commit of a transaction that only read', before: ['BEGIN', 'READ a'], statement: 'COMMIT', kind: 'aborted',
		},
		{
			name: 'a statement before the commit', before: ['BEGIN'], statement: 'WRITE a 1', kind: 'aborted',
		},
	];
	async function checkLostAnswer({before, statement, kind}: typeof lostAnswerCases[number]): Promise<void> {
		await start();
		for (const text of before) {
			await run(session, text);
		}

		harness.service.server('a').answersToLose = 1;
		expect(await errorOf(session, statement)).to.equal(kind);
	}

	for (const lostCase of lostAnswerCases) {
		it(`reports the possible outcome if the answer to ${lostCase.name} is lost (guards against claims that nothing ran)`, async () => checkLostAnswer(lostCase));
	}

	const statementsAfterCommit = ['WRITE a 2', 'EXECUTE w1 a 2', 'READ a', 'EXECUTE r1 a'];
	async function expectServedAfterCommit(text: string): Promise<void> {
		await start('own');
		await run(session, 'PREPARE w1 WRITE shape');
		await run(session, 'PREPARE r1 READ shape');
		expect(await errorOf(session, 'WRITE a 1')).to.equal(undefined);
		expect(await errorOf(session, text)).to.equal(undefined);
	}

	for (const text of statementsAfterCommit) {
		it(`serves ${text} after a commit of the session (guards against writes with a condition that servers accept for reads only)`, async () => expectServedAfterCommit(text));
	}

	it('retries a refused read at other servers (guards against refusals while other servers are free)', async () => {
		await start('own');
		await run(session, 'READ warm');
		for (const server of harness.service.servers) {
			server.refusals.push('overloaded');
		}

		const answer = await run(session, 'READ x');
		expect(answer.error).to.equal(undefined);
	});

	it('reads its own writes while replicas lag (guards against stale reads within a session)', async () => {
		await start('own');
		for (const id of ['b', 'c']) {
			harness.service.server(id).isLagging = true;
		}

		for (let index = 0; index < 10; index++) {
			await run(session, 'WRITE a 1');
			const writePosition = harness.service.server('a').receivedPosition;
			const readAnswer = await run(session, 'READ a');
			expect(readAnswer.error).to.equal(undefined);
			expect(readAnswer.position!.offsetBytes).to.be.at.least(writePosition.offsetBytes);
		}
	});

	it('does not take a minimum position from a single replica while the primary is unreachable (guards against reads that exceed their freshness bound)', async () => {
		await start('bounded');
		const {service, proxy} = harness;
		const [primary, replica, unlisted] = service.servers as [typeof service.servers[0], typeof service.servers[0], typeof service.servers[0]];
		proxy.setServers([primary.listing(), replica.listing()]);
		await run(session, 'READ warm');
		primary.partitionedFrom.add(replica);
		const connection = await service.dial(primary.listing());
		await connection.run({command: {kind: 'data', id: 'elsewhere', text: 'WRITE a 9'}});
		expect(unlisted.receivedPosition).to.deep.equal(primary.receivedPosition);
		primary.isUnresponsive = true;
		const endMs = performance.now() + 2600;
		while (performance.now() < endMs) {
			await systemClock.sleep(200);
			const answer = await run(session, 'READ a');
			const isOverdue = performance.now() > endMs - 600;
			expect(isOverdue && answer.error === undefined, 'a read exceeded its freshness bound').to.equal(false);
		}
	}).timeout(15_000);

	it('takes no minimum position from the known replicas while service discovery does not confirm them (guards against reads without the commits of a server that joined unseen)', async () => {
		let isConfirmed = true;
		harness = await startProxy(undefined, systemClock, {confirmServers: async () => isConfirmed});
		session = harness.proxy.openSession('bounded', 'u');
		const {service} = harness;
		await run(session, 'READ x');
		isConfirmed = false;
		service.server('a').isUnresponsive = true;
		await systemClock.sleep(1600);
		expect(await errorOf(session, 'READ x')).to.equal('overloaded');
		isConfirmed = true;
		await waitUntil(() => harness.view.samples.newestSampleMs > 0);
		let error: string | undefined = 'no read was tried';
		for (let attempt = 0; attempt < 5 && error !== undefined; attempt++) {
			error = await errorOf(session, 'READ x');
		}

		expect(error).to.equal(undefined);
	}).timeout(15_000);

	it('asks service discovery for a confirmation at most twice a second (guards against a store that is overloaded while a primary is dark)', async () => {
		let confirmationCount = 0;
		harness = await startProxy(undefined, systemClock, {
			async confirmServers() {
				confirmationCount++;
				return false;
			},
		});
		session = harness.proxy.openSession('bounded', 'u');
		harness.service.server('a').isUnresponsive = true;
		const endMs = systemClock.nowMs() + 2000;
		while (systemClock.nowMs() < endMs) {
			await readFrom(5);
			await systemClock.sleep(10);
		}

		expect(confirmationCount).to.be.within(1, 5);
	}).timeout(15_000);

	it('does not answer a strict read from a replaced primary (guards against stale reads during a partition)', async () => {
		await start();
		await run(session, 'READ warm');
		const {service} = harness;
		const [oldPrimary, newPrimary, otherReplica] = service.servers as [typeof service.servers[0], typeof service.servers[0], typeof service.servers[0]];
		oldPrimary.partitionedFrom.add(newPrimary);
		oldPrimary.partitionedFrom.add(otherReplica);
		service.promote('b', 1);
		const writer = service.server('b');
		const connection = await service.dial(writer.listing());
		await connection.run({command: {kind: 'data', id: 'elsewhere', text: 'WRITE a 9'}});
		expect(service.acknowledged).to.deep.equal(['elsewhere']);
		const answer = await run(session, 'READ a');
		if (!answer.error) {
			expect(answer.position!.term).to.equal(writer.term);
		}

		await waitUntil(() => harness.view.currentPrimary?.backend.id === 'b');
		const laterAnswer = await run(session, 'READ a');
		expect(laterAnswer.position!.term).to.equal(writer.term);
	});

	const setups: ReadonlyArray<{readonly title: string; readonly statements: readonly string[]}> = [
		{title: 'SET', statements: ['SET a 1', 'READ x']},
		{title: 'PREPARE', statements: ['PREPARE p READ q1', 'EXECUTE p x']},
	];

	async function expectSilentConnectionsToBeReplaced(statements: readonly string[]): Promise<void> {
		await start('strict', new MemoryService('ledger', ['a'], 0));
		const {service, proxy} = harness;
		await run(session, 'READ x');
		for (let count = 0; count < 4; count++) {
			const otherSession = proxy.openSession('strict', `u${count}`);
			service.server('a').silenceConnections();
			let error: string | undefined;
			for (const statement of statements) {
				error = await errorOf(otherSession, statement);
			}

			expect(error).to.be.oneOf([undefined, 'overloaded']);
			otherSession.end();
		}

		await waitUntilServed(harness);
	}

	for (const {title, statements} of setups) {
		// A connection to a database went silent, and the slot of the statement that set it up was never free again.
		it(`frees the slot of a statement whose ${title} is not answered, and says that it did not run (guards against silent connections that keep their slots for good)`, async () => {
			await expectSilentConnectionsToBeReplaced(statements);
		}).timeout(15_000);
	}

	it('refuses a request early if no server can take it (guards against requests that wait until their deadline)', async () => {
		await start();
		for (const server of harness.service.servers) {
			server.isUnresponsive = true;
		}

		await run(session, 'READ x');
		await waitUntil(() => harness.view.currentPrimary === undefined || harness.view.currentPrimary.backend.isSuspected);
		const startedMs = performance.now();
		const answer = await run(session, 'READ x');
		expect(answer.error?.kind).to.equal('overloaded');
		expect(performance.now() - startedMs).to.be.below(600);
	});
});
