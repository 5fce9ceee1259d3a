import {assert} from 'chai';
import {CallerSession} from '../callerSession.js';
import {type FaultCluster, request} from '../faultCluster.js';
import {type Load} from '../load.js';
import {pollUntil} from '../poll.js';
import {describeFailures, type FailureCase} from './failureCases.js';

type Rank = {readonly revision: number; readonly spec: {readonly targetMs: number}};
type Group = {readonly revision: number; readonly spec: {readonly databases: ReadonlyArray<{readonly name: string}>}};

/** Stated target for a change to be in force everywhere. */
const configurationBoundMs = 7000;
/** Stated target for new work to stay away from a leaving backend server. */
const leavingBoundMs = 3000;

async function promote(faults: FaultCluster, load: Load): Promise<void> {
	const failed = await faults.primary();
	await faults.cluster.kill(failed.name);
	await faults.untilPromoted(failed);
	await load.untilServed();
}

async function putRank(faults: FaultCluster, operator: number, revision: number, targetMs: number) {
	return request(`${faults.operators[operator]!.url}/v1/ranks/boards`, {
		method: 'PUT', headers: {'if-match': `${revision}`}, body: {spec: {order: 2, targetMs, floorShare: 0.2}},
	});
}

const platformFaults = [
	{name: 'down', faults: {down: 'hang'}, seed: 21},
	{name: 'slow', faults: {slowMs: 1500}, seed: 22},
	{name: 'losing answers after the effect', faults: {loseAnswers: 50}, seed: 23},
] as const;

const cases: readonly FailureCase[] = [
	...platformFaults.map(({name, faults: settings, seed}): FailureCase => ({
		name: `the platform is ${name} during a promotion`, guardsAgainst: 'a promotion or statements that need the platform', seed,
		async act(faults, load) {
			await faults.setPlatformFaults(settings);
			await promote(faults, load);
		},
	})),
	{
		name: 'operators race on one resource, and the accepted change is in force everywhere within 7 s',
		guardsAgainst: 'two accepted changes of one revision, and changes that do not arrive',
		seed: 24,
		async act(faults) {
			const {body: {revision}} = await request<Rank>(`${faults.operators[0]!.url}/v1/ranks/boards`);
			const answers = await Promise.all([0, 1].map(async operator => putRank(faults, operator, revision, 600 + operator)));
			assert.sameMembers(answers.map(({status}) => status), [200, 409]);
			const accepted = 600 + answers.findIndex(({status}) => status === 200);
			await pollUntil('the change at every proxy', async () => {
				const ranks = await Promise.all(faults.operators.map(async ({url}) => request<Rank>(`${url}/v1/ranks/boards`)));
				return ranks.every(({body}) => body.spec.targetMs === accepted);
			}, configurationBoundMs);
		},
	},
	...(['resource', 'host list'] as const).map((source, index): FailureCase => ({
		name: `a backend server is marked leaving in the ${source}`, guardsAgainst: 'new work at a server that leaves', seed: 25 + index,
		async act(faults, load) {
			const [leaving] = await faults.replicas();
			await setLeaving(faults, source, leaving!.name);
			await new Promise(resolve => {
				setTimeout(resolve, leavingBoundMs);
			});
			const before = await faults.counters(leaving!);
			await load.untilServed(40);
			const after = await faults.counters(leaving!);
			await setLeaving(faults, source, '');
			const selects = (counters: typeof before) => counters.statementsByKind.select ?? 0;
			assert.equal(selects(after), selects(before));
		},
	})),
	{
		name: 'a failure domain is cut off with an old primary that holds a tail, then healed',
		guardsAgainst: 'an unacknowledged tail that survives, and an old primary that does not rejoin',
		seed: 27,
		async act(faults) {
			const old = await faults.primary();
			const outside = faults.callers.find(({failureDomain}) => failureDomain !== old.failureDomain)!;
			const inside = faults.callers.find(({failureDomain}) => failureDomain === old.failureDomain)!;
			const session = new CallerSession(faults.sessionOptions);
			await session.connect(inside);
			await session.query('create table if not exists tail (id int)');
			await faults.cutDomain(old.failureDomain);
			const outcome = await session.query('insert into tail values (1)').then(() => 'acknowledged', (error: unknown) => (error as {code?: string}).code);
			assert.equal(outcome, '08007');
			await faults.untilPromoted(old);
			await faults.heal();
			await faults.untilHealthy();
			await session.connect(outside);
			const {rows} = await session.query('select id from tail');
			session.close();
			assert.deepEqual(rows, []);
			const {role} = await faults.status(old);
			assert.equal(role, 'replica');
		},
	},
];

async function setLeaving(faults: FaultCluster, source: 'resource' | 'host list', name: string): Promise<void> {
	if (source === 'host list') {
		const hosts = [...faults.databases, ...faults.proxies].map(process => ({
			host: process.name,
			kind: process.kind === 'proxy' ? 'entry' : 'backend',
			failureDomain: process.failureDomain,
			address: process.host,
			port: process.port,
			state: process.name === name ? 'leaving' : 'live',
		}));
		await request(`${faults.platform.controlUrl}/hosts`, {method: 'PUT', body: hosts});
		return;
	}

	const url = `${faults.operators[0]!.url}/v1/databaseGroups/booking-db-1`;
	const {body: {revision, spec}} = await request<Group>(url);
	const databases = spec.databases.map(database => ({...database, leaving: database.name === name}));
	const {status} = await request(url, {method: 'PUT', headers: {'if-match': `${revision}`}, body: {spec: {...spec, databases}}});
	assert.equal(status, 200);
}

describeFailures('failures of the platform and of failure domains, in real processes', cases);
