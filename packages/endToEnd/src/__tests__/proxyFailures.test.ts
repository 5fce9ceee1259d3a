import {assert} from 'chai';
import {CallerSession, attemptOutcomeOf} from '../callerSession.js';
import {type FaultCluster, sendRequest} from '../faultCluster.js';
import {type LoadGenerator} from '../loadGenerator.js';
import {pollUntil} from '../poll.js';
import {describeFailureCases, type FailureCase} from './failureCases.js';

const sqlStateOf = async (promise: Promise<unknown>) => promise.then(() => 'none', (error: unknown) => (error as {code?: string}).code);

async function connectThroughProxy(faultCluster: FaultCluster, index: number): Promise<CallerSession> {
	const session = new CallerSession(faultCluster.sessionOptions);
	await session.connect(faultCluster.callerEndpoints.find(({name}) => name === faultCluster.proxies[index]!.name)!);
	return session;
}

const cases: readonly FailureCase[] = [
	{
		name: 'a proxy is killed in the middle of a transaction', guardsAgainst: 'partial transactions, and locks or slots that are not released', seed: 11,
		async run(faultCluster) {
			const session = await connectThroughProxy(faultCluster, 0);
			await session.query('create table if not exists halves (id int)');
			await session.query('begin');
			await session.query('insert into halves values (1)');
			await faultCluster.cluster.kill(faultCluster.proxies[0]!.name);
			const other = await connectThroughProxy(faultCluster, 1);
			const {rows} = await other.query('select id from halves');
			other.close();
			assert.deepEqual(rows, []);
		},
	},
	{
		name: 'a proxy is killed after the commit and before the answer', guardsAgainst: 'a write with an idempotency key that runs twice or is lost', seed: 12,
		async run(faultCluster) {
			const session = await connectThroughProxy(faultCluster, 0);
			await session.query('create table if not exists keyed (id int)');
			await session.query('set crocusloom.idempotency_key = \'between\'');
			const replicas = await faultCluster.findReplicas();
			// The primary writes the commit to its log but does not acknowledge it, because no replica applies it.
			await Promise.all(replicas.map(async replica => faultCluster.setDatabaseFaults(replica, {replicationPaused: true})));
			const primary = await faultCluster.findPrimary();
			const {position: before} = await faultCluster.readDatabaseStatus(primary);
			const sqlState = sqlStateOf(session.query('insert into keyed values (1) returning id'));
			await pollUntil('the commit', async () => {
				const {position} = await faultCluster.readDatabaseStatus(primary);
				return position.offsetBytes > before.offsetBytes;
			}, 5000);
			await faultCluster.cluster.kill(faultCluster.proxies[0]!.name);
			await Promise.all(replicas.map(async replica => faultCluster.setDatabaseFaults(replica, {replicationPaused: false})));
			assert.notEqual(await sqlState, 'none');
			const other = await connectThroughProxy(faultCluster, 1);
			await other.query('set crocusloom.idempotency_key = \'between\'');
			const retried = await other.query('insert into keyed values (1) returning id');
			const {rows} = await other.query('select id from keyed');
			other.close();
			assert.deepEqual([retried.rows.map(({id}) => Number(id)), rows.length], [[1], 1]);
		},
	},
	{
		name: 'a proxy is paused when a promotion begins and resumed after it', guardsAgainst: 'a second primary that the resumed proxy promotes', seed: 13,
		async run(faultCluster, loadGenerator) {
			const [pausedProxy] = faultCluster.proxies;
			const failedPrimary = await faultCluster.findPrimary();
			const {fencedTerm: oldTerm} = await faultCluster.readDatabaseStatus(failedPrimary);
			await faultCluster.cluster.kill(failedPrimary.name);
			await pollUntil('the fence', async () => {
				const states = await Promise.all(faultCluster.databases.filter(({pid}) => pid !== 0).map(async database => faultCluster.readDatabaseStatus(database)));
				return states.some(({fencedTerm}) => fencedTerm > oldTerm);
			}, 13_000);
			faultCluster.cluster.pause(pausedProxy!.name);
			await faultCluster.waitForPromotion(failedPrimary);
			faultCluster.cluster.resume(pausedProxy!.name);
			await loadGenerator.waitForAcknowledgedWrites();
		},
	},
	{
		name: 'all proxies suspect the primary at once', guardsAgainst: 'two primaries in one term', seed: 14,
		async run(faultCluster, loadGenerator) {
			const failedPrimary = await faultCluster.findPrimary();
			for (const {name} of faultCluster.proxies) {
				faultCluster.cluster.pause(name);
			}

			await faultCluster.cluster.kill(failedPrimary.name);
			// All proxies were paused during the kill, so they suspect the primary at the same time when they resume.
			for (const {name} of faultCluster.proxies) {
				faultCluster.cluster.resume(name);
			}

			await faultCluster.waitForPromotion(failedPrimary);
			await loadGenerator.waitForAcknowledgedWrites();
			const states = await Promise.all(faultCluster.databases.filter(({pid}) => pid !== 0).map(async database => faultCluster.readDatabaseStatus(database)));
			assert.equal(states.filter(({isWritable}) => isWritable).length, 1);
		},
	},
	{
		name: 'an entry host is killed and restarted', guardsAgainst: 'a configuration that is older than the one in force before the restart', seed: 15,
		async run(faultCluster) {
			const [proxy] = faultCluster.proxies;
			const operator = faultCluster.operatorEndpoints.find(({name}) => name === proxy!.name)!;
			const {body: before} = await sendRequest<{readonly revision: number}>(`${operator.url}/v1/status`);
			await faultCluster.cluster.kill(proxy!.name);
			await faultCluster.setPlatformFaults({down: 'refuse'});
			await faultCluster.cluster.restart(proxy!.name);
			await pollUntil('a configuration', async () => {
				const {body} = await sendRequest<{readonly ready: boolean; readonly revision: number}>(`${operator.url}/v1/status`);
				assert.isTrue(!body.ready || body.revision >= before.revision);
				return body.ready;
			}, 7000);
		},
	},
	{
		name: 'a proxy under load receives SIGTERM', guardsAgainst: 'aborted requests, and idle callers whose connection ends without 57P01', seed: 16,
		async run(faultCluster) {
			const idle = await connectThroughProxy(faultCluster, 0);
			const busy = await connectThroughProxy(faultCluster, 0);
			await busy.query('create table if not exists drained (id int)');
			await busy.query('begin');
			await busy.query('insert into drained values (1)');
			const {pid} = faultCluster.proxies[0]!;
			const closeSqlState = idle.waitForClose();
			process.kill(pid, 'SIGTERM');
			try {
				assert.equal(await closeSqlState, '57P01');
				await busy.query('insert into drained values (2)');
				const {command} = await busy.query('commit');
				assert.equal(command, 'COMMIT');
			} finally {
				busy.close();
				await faultCluster.cluster.process(faultCluster.proxies[0]!.name).exited;
			}
		},
	},
	...(['inside', 'outside'] as const).map((position, index): FailureCase => ({
		name: `cancel through another proxy, ${position} a transaction`, guardsAgainst: 'cancel requests that get lost behind a load balancer', seed: 17 + index,
		async run(faultCluster) {
			const [blockedSession, lockHolder] = [await connectThroughProxy(faultCluster, 0), await connectThroughProxy(faultCluster, 1)];
			await lockHolder.query(`create table if not exists locked_${position} (id int primary key, state int)`);
			await lockHolder.query(`insert into locked_${position} values (1, 0)`);
			await lockHolder.query('begin');
			await lockHolder.query(`update locked_${position} set state = 1 where id = 1`);
			if (position === 'inside') {
				await blockedSession.query('begin');
			}

			const {canceled: before} = await faultCluster.readDatabaseCounters(await faultCluster.findPrimary());
			let error: unknown;
			blockedSession.query(`update locked_${position} set state = 2 where id = 1`).then(() => {
				error = 'none';
			}, (queryError: unknown) => {
				error = queryError;
			});
			await pollUntil('a canceled statement', async () => {
				blockedSession.sendCancelRequest(faultCluster.callerEndpoints.find(({name}) => name === faultCluster.proxies[1]!.name)!);
				return error !== undefined;
			}, 5000);
			const {canceled} = await faultCluster.readDatabaseCounters(await faultCluster.findPrimary());
			assert.isTrue(canceled > before || String(error).includes('canceled before it ran'), 'the server or the proxy canceled the statement');
			await lockHolder.query('rollback');
			lockHolder.close();
			blockedSession.close();
			assert.equal((error as {code?: string}).code, '57014', attemptOutcomeOf(error));
		},
	})),
];

describeFailureCases('failures of proxies, in real processes', cases);
