import {assert} from 'chai';
import {CallerSession, outcomeOfError} from '../callerSession.js';
import {type FaultCluster, request} from '../faultCluster.js';
import {type Load} from '../load.js';
import {pollUntil} from '../poll.js';
import {describeFailures, type FailureCase} from './failureCases.js';

const sqlStateOf = async (promise: Promise<unknown>) => promise.then(() => 'none', (error: unknown) => (error as {code?: string}).code);

async function connected(faults: FaultCluster, index: number): Promise<CallerSession> {
	const session = new CallerSession(faults.sessionOptions);
	await session.connect(faults.callers.find(({name}) => name === faults.proxies[index]!.name)!);
	return session;
}

const cases: readonly FailureCase[] = [
	{
		name: 'a proxy is killed in the middle of a transaction', guardsAgainst: 'half a transaction, and locks or slots that stay taken', seed: 11,
		async act(faults) {
			const session = await connected(faults, 0);
			await session.query('create table if not exists halves (id int)');
			await session.query('begin');
			await session.query('insert into halves values (1)');
			await faults.cluster.kill(faults.proxies[0]!.name);
			const other = await connected(faults, 1);
			const {rows} = await other.query('select id from halves');
			other.close();
			assert.deepEqual(rows, []);
		},
	},
	{
		name: 'a proxy is killed between commit and answer', guardsAgainst: 'a keyed write that runs twice or is lost', seed: 12,
		async act(faults) {
			const session = await connected(faults, 0);
			await session.query('create table if not exists keyed (id int)');
			await session.query('set crocusloom.idempotency_key = \'between\'');
			const replicas = await faults.replicas();
			// The commit takes effect at the primary and is not acknowledged, because no replica applies it.
			await Promise.all(replicas.map(async replica => faults.setFaults(replica, {replicationPaused: true})));
			const primary = await faults.primary();
			const {position: before} = await faults.status(primary);
			const answer = sqlStateOf(session.query('insert into keyed values (1) returning id'));
			await pollUntil('the commit', async () => {
				const {position} = await faults.status(primary);
				return position.offsetBytes > before.offsetBytes;
			}, 5000);
			await faults.cluster.kill(faults.proxies[0]!.name);
			await Promise.all(replicas.map(async replica => faults.setFaults(replica, {replicationPaused: false})));
			assert.notEqual(await answer, 'none');
			const other = await connected(faults, 1);
			await other.query('set crocusloom.idempotency_key = \'between\'');
			const retried = await other.query('insert into keyed values (1) returning id');
			const {rows} = await other.query('select id from keyed');
			other.close();
			assert.deepEqual([retried.rows.map(({id}) => Number(id)), rows.length], [[1], 1]);
		},
	},
	{
		name: 'a proxy is paused when a promotion begins and resumed after it', guardsAgainst: 'a second primary made by the paused one', seed: 13,
		async act(faults, load) {
			const [first] = faults.proxies;
			const failed = await faults.primary();
			const {fencedTerm: oldTerm} = await faults.status(failed);
			await faults.cluster.kill(failed.name);
			await pollUntil('the fence', async () => {
				const states = await Promise.all(faults.databases.filter(({pid}) => pid !== 0).map(async database => faults.status(database)));
				return states.some(({fencedTerm}) => fencedTerm > oldTerm);
			}, 13_000);
			faults.cluster.pause(first!.name);
			await faults.untilPromoted(failed);
			faults.cluster.resume(first!.name);
			await load.untilServed();
		},
	},
	{
		name: 'all proxies suspect the primary at once', guardsAgainst: 'two primaries of one term', seed: 14,
		async act(faults, load) {
			const failed = await faults.primary();
			for (const {name} of faults.proxies) {
				faults.cluster.pause(name);
			}

			await faults.cluster.kill(failed.name);
			// All suspect the primary when they continue, so that none has a lead over the others.
			for (const {name} of faults.proxies) {
				faults.cluster.resume(name);
			}

			await faults.untilPromoted(failed);
			await load.untilServed();
			const states = await Promise.all(faults.databases.filter(({pid}) => pid !== 0).map(async database => faults.status(database)));
			assert.equal(states.filter(({isWritable}) => isWritable).length, 1);
		},
	},
	{
		name: 'an entry host is killed and restarted', guardsAgainst: 'a configuration older than the one that the host served before', seed: 15,
		async act(faults) {
			const [host] = faults.proxies;
			const operator = faults.operators.find(({name}) => name === host!.name)!;
			const {body: before} = await request<{readonly revision: number}>(`${operator.url}/v1/status`);
			await faults.cluster.kill(host!.name);
			await faults.setPlatformFaults({down: 'refuse'});
			await faults.cluster.restart(host!.name);
			await pollUntil('a configuration', async () => {
				const {body} = await request<{readonly ready: boolean; readonly revision: number}>(`${operator.url}/v1/status`);
				assert.isTrue(!body.ready || body.revision >= before.revision);
				return body.ready;
			}, 7000);
		},
	},
	{
		name: 'SIGTERM at a proxy under load', guardsAgainst: 'requests that are cut, and idle callers that are not told to leave', seed: 16,
		async act(faults) {
			const idle = await connected(faults, 0);
			const busy = await connected(faults, 0);
			await busy.query('create table if not exists drained (id int)');
			await busy.query('begin');
			await busy.query('insert into drained values (1)');
			const {pid} = faults.proxies[0]!;
			const told = idle.closed();
			process.kill(pid, 'SIGTERM');
			try {
				assert.equal(await told, '57P01');
				await busy.query('insert into drained values (2)');
				const {command} = await busy.query('commit');
				assert.equal(command, 'COMMIT');
			} finally {
				busy.close();
				await faults.cluster.process(faults.proxies[0]!.name).exited;
			}
		},
	},
	...(['inside', 'outside'] as const).map((place, index): FailureCase => ({
		name: `cancel through another proxy, ${place} a transaction`, guardsAgainst: 'cancel requests that get lost behind a load balancer', seed: 17 + index,
		async act(faults) {
			const [session, locker] = [await connected(faults, 0), await connected(faults, 1)];
			await locker.query(`create table if not exists locked_${place} (id int primary key, state int)`);
			await locker.query(`insert into locked_${place} values (1, 0)`);
			await locker.query('begin');
			await locker.query(`update locked_${place} set state = 1 where id = 1`);
			if (place === 'inside') {
				await session.query('begin');
			}

			const {canceled: before} = await faults.counters(await faults.primary());
			const answer = session.query(`update locked_${place} set state = 2 where id = 1`).then(() => 'none', (error: unknown) => error);
			await pollUntil('a canceled statement', async () => {
				session.cancelThrough(faults.callers.find(({name}) => name === faults.proxies[1]!.name)!);
				const {canceled} = await faults.counters(await faults.primary());
				return canceled > before;
			}, 5000);
			const error = await answer;
			await locker.query('rollback');
			locker.close();
			session.close();
			assert.equal((error as {code?: string}).code, '57014', outcomeOfError(error));
		},
	})),
];

describeFailures('failures of proxies, in real processes', cases);
