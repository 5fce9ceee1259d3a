/**
 * Conditions that warn operators of a risk before it causes a failure. All functions are pure.
 */
import {
	type Configuration, type DatabaseGroupSpec, type DatabaseListState, type DatabaseSpec, type DatabaseView, type GroupState, type HolderStats, type Member,
} from '@crocusloom/model';
import {changeBoundMs} from './changeTiming.js';
import {type InvalidEntry} from './configurationState.js';
import {checkPut} from './crossReferences.js';
import {type PlatformHealth} from './platformFollower.js';

export type ConditionType
	= | 'ReplicaLag'
		| 'PromotionAtRisk'
		| 'NoPrimary'
		| 'TermUnconfirmed'
		| 'GroupNotMonitored'
		| 'DatabasesChanging'
		| 'AcknowledgementAtPrimary'
		| 'ConnectionsNearLimit'
		| 'PlatformUnreachable'
		| 'ConfigurationBehind'
		| 'ConfigurationInvalid'
		| 'ReferenceBroken'
		| 'HostSilent';

export type Severity = 'info' | 'warning' | 'critical';

export type Condition = {
	readonly type: ConditionType;
	/** Always `true`, because reports omit conditions that do not hold. */
	readonly status: true;
	readonly severity: Severity;
	/** `<kind>/<name>`, `databaseGroups/<group>/<database>`, `hosts/<host>` or `platform`. */
	readonly resource: string;
	readonly message: string;
	/** Milliseconds for which the condition has held. */
	readonly sinceMs: number;
};

export type ConditionInput = {
	readonly configuration: Configuration;
	readonly groups: readonly GroupState[];
	readonly holders: readonly HolderStats[];
	readonly members: readonly Member[];
	readonly platform: PlatformHealth;
	readonly invalidEntries: readonly InvalidEntry[];
	/** Highest configuration revision that any host has reported. */
	readonly highestKnownRevision: number;
	/** Returns the milliseconds for which a condition has held; 0 for a new condition. */
	readonly heldForMsOf: (type: ConditionType, resource: string) => number;
};

/** Fraction of the age limit of a bounded freshness class at which the lag of a replica is reported. */
const lagWarningRatio = 0.7;
/** Fraction of the connection limit at which open connections are reported. */
const connectionWarningRatio = 0.8;
/** Age of the last majority confirmation above which reads begin to be refused. Equals `unreachableAfterMs` of the group monitors, after which they suspect a primary to have failed. */
const confirmationWarningMs = 600;
/** Propagation takes about a second; a host that lags for longer may exceed `changeBoundMs`. */
const configurationBehindWarningMs = 2000;
/** A change of the databases takes a few seconds if a majority of both lists answers. */
const listChangeWarningMs = 30_000;
/** Statements do not depend on the platform, but a long outage prevents operators from changing the configuration. */
const platformOutageCriticalMs = 10 * 60 * 1000;

type Finding = Omit<Condition, 'status' | 'sinceMs'> & {readonly sinceMs?: number};

/**
 * Computes the conditions that hold.
 * @param input - states to evaluate
 * @returns conditions, the most severe first
 */
export function computeConditions(input: ConditionInput): readonly Condition[] {
	const findings = [
		...groupFindings(input),
		...input.holders.flatMap(holder => connectionFindings(holder)),
		...platformFindings(input.platform),
		...configurationFindings(input),
		...referenceFindings(input.configuration),
		...input.members.flatMap(member => silentHostFindings(member)),
	];
	return findings
		.map(finding => ({...finding, status: true as const, sinceMs: finding.sinceMs ?? input.heldForMsOf(finding.type, finding.resource)}))
		.toSorted(compareConditions);
}

/**
 * Caches the result per configuration object. The time to check all resources grows with the square of their number, and
 * conditions are evaluated every second while the configuration changes every few minutes.
 */
function memoizeByConfiguration<T>(compute: (configuration: Configuration) => T): (configuration: Configuration) => T {
	const results = new WeakMap<Configuration, {readonly value: T}>();
	return configuration => {
		const result = results.get(configuration) ?? {value: compute(configuration)};
		results.set(configuration, result);
		return result.value;
	};
}

const severityOrder: Readonly<Record<Severity, number>> = {critical: 0, warning: 1, info: 2};

/** Compares conditions by severity, then by resource and type, so that the order in reports is stable. */
export function compareConditions(a: Condition, b: Condition): number {
	return severityOrder[a.severity] - severityOrder[b.severity] || compareStrings(a.resource, b.resource) || compareStrings(a.type, b.type);
}

function compareStrings(a: string, b: string): number {
	if (a === b) {
		return 0;
	}

	return a < b ? -1 : 1;
}

function groupFindings(input: ConditionInput): readonly Finding[] {
	const states = new Map(input.groups.map(state => [state.group, state]));
	return [...input.configuration.databaseGroups.values()].flatMap(({name, spec, databaseList}) => {
		const resource = `databaseGroups/${name}`;
		const state = states.get(name);
		const acknowledgementFindings: readonly Finding[] = spec.acknowledgement === 'primary'
			? [{
				type: 'AcknowledgementAtPrimary', severity: 'info', resource, message: 'commits are acknowledged by the primary alone and may be lost in a promotion',
			}]
			: [];
		const changeFindings = listChangeFindings(resource, spec, databaseList, input.heldForMsOf);
		if (!state) {
			return [...acknowledgementFindings, ...changeFindings, {
				type: 'GroupNotMonitored', severity: 'warning', resource, message: 'no host reports the state of the group',
			}];
		}

		const lists = [spec.databases, databaseList?.previousDatabases ?? spec.databases];
		return [
			...acknowledgementFindings, ...changeFindings, ...promotionFindings(resource, state, lists), ...primaryFindings(resource, state), ...lagFindings(input.configuration, state),
		];
	});
}

function listChangeFindings(resource: string, {databases}: DatabaseGroupSpec, databaseList: DatabaseListState | undefined, heldForMsOf: ConditionInput['heldForMsOf']): readonly Finding[] {
	if (!databaseList?.previousDatabases) {
		return [];
	}

	const namesOf = (list: readonly DatabaseSpec[]) => list.map(({name}) => name).join(', ');
	const heldForMs = heldForMsOf('DatabasesChanging', resource);
	return [{
		type: 'DatabasesChanging',
		severity: heldForMs >= listChangeWarningMs ? 'warning' : 'info',
		resource,
		message: `the change of the databases from ${namesOf(databaseList.previousDatabases)} to ${namesOf(databases)} is not in force yet; commits need a majority of both until then`,
		sinceMs: heldForMs,
	}];
}

/** Returns the finding for the list with the fewest reachable databases above its majority, because a promotion needs a majority of each. */
function promotionFindings(resource: string, state: GroupState, lists: ReadonlyArray<readonly DatabaseSpec[]>): readonly Finding[] {
	const reachableNames = new Set(state.databases.filter(({reachable}) => reachable).map(({database}) => database));
	const findings = lists.flatMap(list => reachabilityFindings(resource, list.filter(({name}) => reachableNames.has(name)).length, list.length));
	return findings.toSorted((a, b) => severityOrder[a.severity] - severityOrder[b.severity]).slice(0, 1);
}

function reachabilityFindings(resource: string, reachableCount: number, databaseCount: number): readonly Finding[] {
	const majority = Math.floor(databaseCount / 2) + 1;
	const reachabilityText = `${reachableCount} of ${databaseCount} databases are reachable and ${majority} are needed`;
	if (reachableCount < majority) {
		return [{
			type: 'PromotionAtRisk', severity: 'critical', resource, message: `no safe promotion is possible: ${reachabilityText}`,
		}];
	}

	if (reachableCount > majority) {
		return [];
	}

	// A group of one or two databases has no redundancy even if all are reachable. This is the operator's choice, so it is not a warning.
	const severity = reachableCount === databaseCount ? 'info' : 'warning';
	return [{
		type: 'PromotionAtRisk', severity, resource, message: `one failure away from no safe promotion: ${reachabilityText}`,
	}];
}

function primaryFindings(resource: string, state: GroupState): readonly Finding[] {
	if (state.primary === undefined) {
		return [{
			type: 'NoPrimary', severity: 'critical', resource, message: `no primary is known in term ${state.term}`,
		}];
	}

	return state.confirmedAgeMs > confirmationWarningMs
		? [{
			type: 'TermUnconfirmed', severity: 'warning', resource, message: `no majority has confirmed term ${state.term} for ${formatDuration(state.confirmedAgeMs)}`, sinceMs: state.confirmedAgeMs,
		}]
		: [];
}

type BoundedFreshnessClass = {readonly name: string; readonly maxAgeMs: number};

/** Returns the bounded freshness classes that routes use, by group, the strictest first. */
const boundedClassesOf = memoizeByConfiguration((configuration): ReadonlyMap<string, readonly BoundedFreshnessClass[]> => {
	const byGroup = new Map<string, Map<string, BoundedFreshnessClass>>();
	for (const {spec: {freshness, group}} of configuration.routes.values()) {
		const spec = configuration.freshnessClasses.get(freshness)?.spec;
		if (spec?.mode === 'bounded') {
			const classes = byGroup.get(group) ?? new Map<string, BoundedFreshnessClass>();
			byGroup.set(group, classes.set(freshness, {name: freshness, maxAgeMs: spec.maxAgeMs}));
		}
	}

	return new Map([...byGroup].map(([group, classes]) => [group, [...classes.values()].toSorted((a, b) => a.maxAgeMs - b.maxAgeMs)]));
});

function lagFindings(configuration: Configuration, state: GroupState): readonly Finding[] {
	const boundedClasses = boundedClassesOf(configuration).get(state.group) ?? [];
	const replicas = state.databases.filter(database => database.database !== state.primary);
	return replicas.flatMap(replica => replicaLagFindings(state.group, replica, boundedClasses));
}

/** Returns at most one finding per replica, for the strictest class whose age limit it exceeds or, if there is none, approaches. */
function replicaLagFindings(group: string, replica: DatabaseView, classes: readonly BoundedFreshnessClass[]): readonly Finding[] {
	const missedClasses = classes.filter(({maxAgeMs}) => replica.provenAgeMs > maxAgeMs);
	const nearlyMissedClasses = classes.filter(({maxAgeMs}) => replica.provenAgeMs >= maxAgeMs * lagWarningRatio && replica.provenAgeMs <= maxAgeMs);
	const [reportedClass] = [...missedClasses, ...nearlyMissedClasses];
	if (!reportedClass) {
		return [];
	}

	const ageText = Number.isFinite(replica.provenAgeMs) ? `is up to ${formatDuration(replica.provenAgeMs)} old` : 'has no proven age';
	const comparisonText = missedClasses.length > 0 ? 'is above' : 'approaches';
	return [{
		type: 'ReplicaLag',
		severity: missedClasses.length > 0 ? 'critical' : 'warning',
		resource: `databaseGroups/${group}/${replica.database}`,
		message: `the replica's data ${ageText}, which ${comparisonText} the limit of ${formatDuration(reportedClass.maxAgeMs)} of freshness class ${reportedClass.name}`,
	}];
}

function connectionFindings(holder: HolderStats): readonly Finding[] {
	const {connectionLimit, database, group, openConnections} = holder;
	if (openConnections < connectionLimit * connectionWarningRatio) {
		return [];
	}

	return [{
		type: 'ConnectionsNearLimit',
		severity: openConnections >= connectionLimit ? 'critical' : 'warning',
		resource: `databaseGroups/${group}/${database}`,
		message: `${openConnections} of ${connectionLimit} connections are open`,
	}];
}

function platformFindings(platform: PlatformHealth): readonly Finding[] {
	if (platform.reachable) {
		return [];
	}

	return [{
		type: 'PlatformUnreachable',
		severity: platform.sinceMs >= platformOutageCriticalMs ? 'critical' : 'warning',
		resource: 'platform',
		message: `the platform's store has not answered ${platform.observedBy} for ${formatDuration(platform.sinceMs)}; configuration changes are refused`,
		sinceMs: platform.sinceMs,
	}];
}

function configurationFindings(input: ConditionInput): readonly Finding[] {
	const invalidFindings = input.invalidEntries.map(({key, problems, revision}): Finding => ({
		type: 'ConfigurationInvalid',
		severity: 'warning',
		resource: key,
		message: `the stored value of revision ${revision} is skipped: ${problems.map(({path, message}) => `${path} ${message}`.trim()).join('; ')}`,
	}));
	const highestRevision = Math.max(input.highestKnownRevision, ...input.members.map(member => member.configurationRevision));
	const laggingHostFindings = input.members
		.filter(member => member.state !== 'dead' && member.configurationRevision < highestRevision)
		.flatMap(member => laggingHostFinding(member, highestRevision, input.heldForMsOf));
	return [...invalidFindings, ...laggingHostFindings];
}

function laggingHostFinding(member: Member, highestRevision: number, heldForMsOf: ConditionInput['heldForMsOf']): readonly Finding[] {
	const resource = `hosts/${member.host}`;
	const heldForMs = heldForMsOf('ConfigurationBehind', resource);
	return [{
		type: 'ConfigurationBehind',
		severity: laggingHostSeverity(heldForMs),
		resource,
		message: `the host serves configuration revision ${member.configurationRevision} and ${highestRevision} exists, for ${formatDuration(heldForMs)}`,
		sinceMs: heldForMs,
	}];
}

/** During a change, hosts lag for a short time; this is reported with severity `info`. */
function laggingHostSeverity(heldForMs: number): Severity {
	if (heldForMs >= changeBoundMs) {
		return 'critical';
	}

	return heldForMs >= configurationBehindWarningMs ? 'warning' : 'info';
}

/** Reports references that concurrent changes have broken, because each change was validated without the other. */
const referenceFindings = memoizeByConfiguration((configuration): readonly Finding[] => {
	const resources = [...configuration.routes.values(), ...configuration.ranks.values(), ...configuration.databaseGroups.values()];
	return resources.flatMap(({kind, name, spec}) => {
		const problems = checkPut(configuration, kind, name, spec);
		return problems.length === 0
			? []
			: [{
				type: 'ReferenceBroken' as const, severity: 'critical' as const, resource: `${kind}/${name}`, message: problems.map(({message}) => message).join('; '),
			}];
	});
});

function silentHostFindings(member: Member): readonly Finding[] {
	return member.state === 'alive' || member.leaving
		? []
		: [{
			type: 'HostSilent',
			severity: 'warning',
			resource: `hosts/${member.host}`,
			message: `the host is ${member.state}: no sign of life for ${formatDuration(member.silentMs)}`,
			sinceMs: member.silentMs,
		}];
}

/** Formats a duration for messages, for example `850 ms`, `4.2 s` or `12 min`. */
export function formatDuration(durationMs: number): string {
	if (durationMs < 1000) {
		return `${Math.round(durationMs)} ms`;
	}

	return durationMs < 120_000 ? `${Number((durationMs / 1000).toFixed(1))} s` : `${Math.floor(durationMs / 60_000)} min`;
}
