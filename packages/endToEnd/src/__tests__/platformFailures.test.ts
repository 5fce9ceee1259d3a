import {assert} from 'chai';
import {CallerSession} from '../callerSession.js';
import {type FaultCluster, sendRequest, smallDeployment} from '../faultCluster.js';
import {type LoadGenerator} from '../loadGenerator.js';
import {pollUntil} from '../poll.js';
import {describeFailureCases, type FailureCase} from './failureCases.js';

type Rank = {readonly revision: number; readonly spec: {readonly targetMs: number}};
type Group = {
	readonly revision: number;
	readonly spec: {readonly databases: ReadonlyArray<{readonly name: string}>};
	readonly databaseList?: {readonly generation: number; readonly previousDatabases?: readonly unknown[]};
};

/** Target of the design: time until a configuration change is in force at every proxy. */
const maxPropagationMs = 7000;
/** Time until a change of the databases is in force. */
const maxListChangeMs = 10_000;
/** Target of the design: time until a leaving backend server receives no new work. */
const maxDrainStartMs = 3000;

async function failOver(faultCluster: FaultCluster, loadGenerator: LoadGenerator): Promise<void> {
	const failedPrimary = await faultCluster.findPrimary();
	await faultCluster.cluster.kill(failedPrimary.name);
	await faultCluster.waitForPromotion(failedPrimary);
	await loadGenerator.waitForAcknowledgedWrites();
}

async function putRank(faultCluster: FaultCluster, operator: number, revision: number, targetMs: number) {
	return sendRequest(`${faultCluster.operatorEndpoints[operator]!.url}/v1/ranks/boards`, {
		method: 'PUT', headers: {'if-match': `${revision}`}, body: {spec: {order: 2, targetMs, floorShare: 0.2}},
	});
}

/** Waits until a target of the rank `boards` is in force at every proxy. */
async function waitUntilInForce(faultCluster: FaultCluster, targetMs: number): Promise<void> {
	await pollUntil('the change at every proxy', async () => {
		const ranks = await Promise.all(faultCluster.operatorEndpoints.map(async ({url}) => sendRequest<Rank>(`${url}/v1/ranks/boards`)));
		return ranks.every(({body}) => body.spec.targetMs === targetMs);
	}, maxPropagationMs);
}

/** Writes the rank `boards` to the platform's store without a proxy. */
async function writeRankToStore({platform}: FaultCluster, targetMs: number): Promise<void> {
	const value = JSON.stringify({spec: {order: 2, targetMs, floorShare: 0.2}, changes: [{id: 'another-tool'}]});
	const {status} = await sendRequest(`http://${platform.host}:${platform.port}/v3/kv/put`, {
		method: 'POST', body: {key: encodeBase64(`crocusloom/${smallDeployment.name}/ranks/boards`), value: encodeBase64(value)},
	});
	assert.equal(status, 200);
}

function encodeBase64(text: string): string {
	return Buffer.from(text).toString('base64');
}

const platformFaults = [
	{name: 'down', faults: {down: 'hang'}, seed: 21},
	{name: 'slow', faults: {slowMs: 1500}, seed: 22},
	{name: 'losing answers to calls that took effect', faults: {loseAnswers: 50}, seed: 23},
] as const;

const cases: readonly FailureCase[] = [
	...platformFaults.map(({name, faults, seed}): FailureCase => ({
		name: `the platform is ${name} during a promotion`, guardsAgainst: 'a promotion or statements that depend on the platform', seed,
		async run(faultCluster, loadGenerator) {
			await faultCluster.setPlatformFaults(faults);
			await failOver(faultCluster, loadGenerator);
		},
	})),
	{
		name: 'two operators change one resource at the same time, and the accepted change is in force everywhere within 7 s',
		guardsAgainst: 'two accepted changes to the same revision, and changes that do not reach a proxy',
		seed: 24,
		async run(faultCluster) {
			const {body: {revision}} = await sendRequest<Rank>(`${faultCluster.operatorEndpoints[0]!.url}/v1/ranks/boards`);
			const answers = await Promise.all([0, 1].map(async operator => putRank(faultCluster, operator, revision, 600 + operator)));
			assert.sameMembers(answers.map(({status}) => status), [200, 409]);
			await waitUntilInForce(faultCluster, 600 + answers.findIndex(({status}) => status === 200));
		},
	},
	{
		name: 'the platform confirms watches and withholds their events while another tool changes a resource',
		guardsAgainst: 'a change that stays unknown for as long as watches report nothing',
		seed: 28,
		async run(faultCluster) {
			await faultCluster.setPlatformFaults({withholdEvents: true});
			await writeRankToStore(faultCluster, 650);
			await waitUntilInForce(faultCluster, 650);
		},
	},
	...(['resource', 'host list'] as const).map((source, index): FailureCase => ({
		name: `a backend server is marked leaving in the ${source}`, guardsAgainst: 'new work on a backend server that is leaving', seed: 25 + index,
		async run(faultCluster, loadGenerator) {
			const [leavingReplica] = await faultCluster.findReplicas();
			await setLeaving(faultCluster, source, leavingReplica!.name);
			await new Promise(resolve => {
				setTimeout(resolve, maxDrainStartMs);
			});
			const before = await faultCluster.readDatabaseCounters(leavingReplica!);
			await loadGenerator.waitForAcknowledgedWrites(40);
			const after = await faultCluster.readDatabaseCounters(leavingReplica!);
			await setLeaving(faultCluster, source, '');
			const selectCount = (counters: typeof before) => counters.statementsByKind.select ?? 0;
			assert.equal(selectCount(after), selectCount(before));
		},
	})),
	...(['replica', 'primary'] as const).map((role, index): FailureCase => ({
		name: `a ${role} is removed from its group and added again`,
		guardsAgainst: 'commits that are lost, and sessions that are not served, by a change of the databases', seed: 29 + index,
		async run(faultCluster, loadGenerator) {
			const [replica] = await faultCluster.findReplicas();
			const {name: changed} = role === 'replica' ? replica! : await faultCluster.findPrimary();
			const {body: {spec: {databases}}} = await sendRequest<Group>(groupUrl(faultCluster));
			assert.equal(await putDatabases(faultCluster, databases.filter(({name}) => name !== changed).slice(1)), 400);
			assert.equal(await putDatabases(faultCluster, databases.filter(({name}) => name !== changed)), 200);
			await waitForListChange(faultCluster);
			const primary = await faultCluster.findPrimary();
			assert.notEqual(primary.name, changed);
			await loadGenerator.waitForAcknowledgedWrites();
			assert.equal(await putDatabases(faultCluster, databases), 200);
			await waitForListChange(faultCluster);
			await loadGenerator.waitForAcknowledgedWrites();
		},
	})),
	{
		name: 'a primary with an unreplicated write is isolated with its failure domain, then reconnected',
		guardsAgainst: 'an unacknowledged write that survives the failover, and an old primary that does not rejoin as a replica',
		seed: 27,
		async run(faultCluster) {
			const oldPrimary = await faultCluster.findPrimary();
			const outsideEndpoint = faultCluster.callerEndpoints.find(({failureDomain}) => failureDomain !== oldPrimary.failureDomain)!;
			const insideEndpoint = faultCluster.callerEndpoints.find(({failureDomain}) => failureDomain === oldPrimary.failureDomain)!;
			const session = new CallerSession(faultCluster.sessionOptions);
			await session.connect(insideEndpoint);
			await session.query('create table if not exists tail (id int)');
			await faultCluster.isolateFailureDomain(oldPrimary.failureDomain);
			const outcome = await session.query('insert into tail values (1)').then(() => 'acknowledged', (error: unknown) => (error as {code?: string}).code);
			assert.equal(outcome, '08007');
			await faultCluster.waitForPromotion(oldPrimary);
			await faultCluster.clearFaults();
			await faultCluster.waitUntilHealthy();
			await session.connect(outsideEndpoint);
			const {rows} = await session.query('select id from tail');
			session.close();
			assert.deepEqual(rows, []);
			const {role} = await faultCluster.readDatabaseStatus(oldPrimary);
			assert.equal(role, 'replica');
		},
	},
];

async function setLeaving(faultCluster: FaultCluster, source: 'resource' | 'host list', name: string): Promise<void> {
	if (source === 'host list') {
		const hosts = [...faultCluster.databases, ...faultCluster.proxies].map(process => ({
			host: process.name,
			kind: process.kind === 'proxy' ? 'entry' : 'backend',
			failureDomain: process.failureDomain,
			address: process.host,
			port: process.port,
			state: process.name === name ? 'leaving' : 'live',
		}));
		await sendRequest(`${faultCluster.platform.controlUrl}/hosts`, {method: 'PUT', body: hosts});
		return;
	}

	const {body: {spec}} = await sendRequest<Group>(groupUrl(faultCluster));
	assert.equal(await putDatabases(faultCluster, spec.databases.map(database => ({...database, leaving: database.name === name}))), 200);
}

function groupUrl(faultCluster: FaultCluster): string {
	return `${faultCluster.operatorEndpoints[0]!.url}/v1/databaseGroups/booking-db-1`;
}

/** Changes the databases of the group, and returns the status of the response. */
async function putDatabases(faultCluster: FaultCluster, databases: Group['spec']['databases']): Promise<number> {
	const {body: {revision, spec}} = await sendRequest<Group>(groupUrl(faultCluster));
	const {status} = await sendRequest(groupUrl(faultCluster), {method: 'PUT', headers: {'if-match': `${revision}`}, body: {spec: {...spec, databases}}});
	return status;
}

async function waitForListChange(faultCluster: FaultCluster): Promise<void> {
	await pollUntil('the change of the databases in force', async () => {
		const {body: {databaseList}} = await sendRequest<Group>(groupUrl(faultCluster));
		return databaseList !== undefined && databaseList.previousDatabases === undefined;
	}, maxListChangeMs);
}

describeFailureCases('failures of the platform and of failure domains, in real processes', cases);
