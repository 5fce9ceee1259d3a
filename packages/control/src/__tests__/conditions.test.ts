import {expect} from 'chai';
import {
	type Configuration, type DatabaseView, type GroupState, type Resource, type ResourceKind,
} from '@crocusloom/model';
import {computeConditions, type Condition, type ConditionInput} from '../conditions.js';
import {fakeMember} from './fakes.js';

function resources<K extends ResourceKind>(kind: K, specs: Readonly<Record<string, Resource<K>['spec']>>): ReadonlyMap<string, Resource<K>> {
	return new Map(Object.entries(specs).map(([name, spec]) => [name, {
		kind, name, revision: 1, spec,
	}]));
}

const databases = ['db1', 'db2', 'db3'].map(name => ({
	name, address: '127.0.0.1', port: 5432, failureDomain: 'bryan', leaving: false,
}));
const configuration: Configuration = {
	revision: 5,
	databaseGroups: resources('databaseGroups', {
		g: {
			databases, slotsPerDatabase: 3, connectionsPerDatabase: 20, acknowledgement: 'majority',
		},
	}),
	routes: resources('routes', {
		boards: {
			database: 'app', group: 'g', rank: 'boards', freshness: 'recent',
		},
	}),
	ranks: resources('ranks', {boards: {order: 2, targetMs: 100, floorShare: 0.2}}),
	freshnessClasses: resources('freshnessClasses', {recent: {mode: 'bounded', maxAgeMs: 1000}}),
};

const databaseView = (database: string, fields: Partial<DatabaseView> = {}): DatabaseView => ({
	database, reachable: true, role: database === 'db1' ? 'primary' : 'replica', fencedTerm: 1, position: {term: 1, offsetBytes: 9}, provenAgeMs: 10, silentMs: 10, ...fields,
});
const groupState = (fields: Partial<GroupState> = {}, views: Readonly<Record<string, Partial<DatabaseView>>> = {}): GroupState => ({
	group: 'g',
	term: 1,
	primary: 'db1',
	majorityPosition: {term: 1, offsetBytes: 9},
	databases: databases.map(({name}) => databaseView(name, views[name])),
	confirmedAgeMs: 100,
	reportedBy: 'a',
	...fields,
});
const holderStats = (openConnections: number) => ({
	group: 'g', database: 'db1', openConnections, connectionLimit: 10, busySlots: 0, slotLimit: 3, ranks: [],
});
const healthyInput: ConditionInput = {
	configuration,
	groups: [groupState()],
	holders: [holderStats(7)],
	members: [fakeMember('a', {configurationRevision: 5}), fakeMember('b', {configurationRevision: 5})],
	platform: {reachable: true, sinceMs: 1000, observedBy: 'a'},
	invalidEntries: [],
	highestKnownRevision: 5,
	heldForMsOf: () => 0,
};
const withGroupState = (fields: Partial<GroupState>, views?: Readonly<Record<string, Partial<DatabaseView>>>): Partial<ConditionInput> => ({groups: [groupState(fields, views)]});
const withLaggingHost = (heldForMs: number): Partial<ConditionInput> => ({
	members: [fakeMember('a', {configurationRevision: 5}), fakeMember('b', {configurationRevision: 4})],
	heldForMsOf: () => heldForMs,
});
const withListChange = (fields: Partial<ConditionInput> = {}): Partial<ConditionInput> => ({
	configuration: {
		...configuration,
		databaseGroups: new Map([['g', {...configuration.databaseGroups.get('g')!, databaseList: {generation: 1, previousDatabases: databases.slice(0, 2)}}]]),
	},
	...fields,
});
const withConfiguration = (fields: Partial<Configuration>): Partial<ConditionInput> => ({configuration: {...configuration, ...fields}});

/** Expected conditions have the form `severity type resource`. Each warning precedes the failure that it announces. */
const cases: ReadonlyArray<{readonly name: string; readonly input: Partial<ConditionInput>; readonly expected: readonly string[]}> = [
	{name: 'no risk', input: {}, expected: []},
	{name: 'lag below 70% of the limit', input: withGroupState({}, {db2: {provenAgeMs: 699}}), expected: []},
	{name: 'lag at 70% of the limit, before reads are refused', input: withGroupState({}, {db2: {provenAgeMs: 700}}), expected: ['warning ReplicaLag databaseGroups/g/db2']},
	{name: 'lag at the limit', input: withGroupState({}, {db2: {provenAgeMs: 1000}}), expected: ['warning ReplicaLag databaseGroups/g/db2']},
	{name: 'lag above the limit', input: withGroupState({}, {db2: {provenAgeMs: 1001}}), expected: ['critical ReplicaLag databaseGroups/g/db2']},
	{name: 'no proven age', input: withGroupState({}, {db3: {provenAgeMs: Infinity}}), expected: ['critical ReplicaLag databaseGroups/g/db3']},
	{name: 'no proven age of the primary, which is not a replica', input: withGroupState({}, {db1: {provenAgeMs: Infinity}}), expected: []},
	{name: 'only a majority reachable, before a promotion is impossible', input: withGroupState({}, {db3: {reachable: false}}), expected: ['warning PromotionAtRisk databaseGroups/g']},
	{name: 'no majority reachable', input: withGroupState({}, {db2: {reachable: false}, db3: {reachable: false}}), expected: ['critical PromotionAtRisk databaseGroups/g']},
	{name: 'databases change', input: withListChange(), expected: ['info DatabasesChanging databaseGroups/g', 'info PromotionAtRisk databaseGroups/g']},
	{
		name: 'databases have been changing for 30 s',
		input: withListChange({heldForMsOf: () => 30_000}),
		expected: ['warning DatabasesChanging databaseGroups/g', 'info PromotionAtRisk databaseGroups/g'],
	},
	{
		name: 'no majority of the databases before a change',
		input: withListChange(withGroupState({}, {db2: {reachable: false}})),
		expected: ['critical PromotionAtRisk databaseGroups/g', 'info DatabasesChanging databaseGroups/g'],
	},
	{name: 'no primary', input: withGroupState({primary: undefined}), expected: ['critical NoPrimary databaseGroups/g']},
	{name: 'term not confirmed', input: withGroupState({confirmedAgeMs: 601}), expected: ['warning TermUnconfirmed databaseGroups/g']},
	{name: 'no monitor', input: {groups: []}, expected: ['warning GroupNotMonitored databaseGroups/g']},
	{name: 'connections at 80% of the limit, before it is reached', input: {holders: [holderStats(8)]}, expected: ['warning ConnectionsNearLimit databaseGroups/g/db1']},
	{name: 'connections at the limit', input: {holders: [holderStats(10)]}, expected: ['critical ConnectionsNearLimit databaseGroups/g/db1']},
	{name: 'platform unreachable', input: {platform: {reachable: false, sinceMs: 1, observedBy: 'a'}}, expected: ['warning PlatformUnreachable platform']},
	{name: 'platform unreachable for 10 min', input: {platform: {reachable: false, sinceMs: 600_000, observedBy: 'a'}}, expected: ['critical PlatformUnreachable platform']},
	{name: 'host has just fallen behind, as during every change', input: withLaggingHost(0), expected: ['info ConfigurationBehind hosts/b']},
	{name: 'host is behind for 2 s, before the bound of 7 s', input: withLaggingHost(2000), expected: ['warning ConfigurationBehind hosts/b']},
	{name: 'host is behind for 7 s', input: withLaggingHost(7000), expected: ['critical ConfigurationBehind hosts/b']},
	{name: 'invalid stored value', input: {invalidEntries: [{key: 'ranks/x', revision: 4, problems: []}]}, expected: ['warning ConfigurationInvalid ranks/x']},
	{name: 'reference broken by concurrent changes', input: withConfiguration({ranks: new Map()}), expected: ['critical ReferenceBroken routes/boards']},
	{name: 'silent host', input: {members: [fakeMember('a', {configurationRevision: 5, state: 'suspected'})]}, expected: ['warning HostSilent hosts/a']},
	{name: 'leaving host', input: {members: [fakeMember('a', {configurationRevision: 5, state: 'dead', leaving: true})]}, expected: []},
	{
		name: 'commits acknowledged by the primary alone',
		input: withConfiguration({databaseGroups: resources('databaseGroups', {g: {...configuration.databaseGroups.get('g')!.spec, acknowledgement: 'primary'}})}),
		expected: ['info AcknowledgementAtPrimary databaseGroups/g'],
	},
	{
		name: 'several conditions, the most severe first',
		input: {...withGroupState({primary: undefined}), holders: [holderStats(8)], platform: {reachable: false, sinceMs: 1, observedBy: 'a'}},
		expected: ['critical NoPrimary databaseGroups/g', 'warning ConnectionsNearLimit databaseGroups/g/db1', 'warning PlatformUnreachable platform'],
	},
];

describe('computeConditions (guards against risks that are reported too late or not at all)', () => {
	for (const {expected, input, name} of cases) {
		it(name, () => {
			const describeCondition = ({resource, severity, type}: Condition) => `${severity} ${type} ${resource}`;
			expect(computeConditions({...healthyInput, ...input}).map(condition => describeCondition(condition))).to.deep.equal(expected);
		});
	}
});
