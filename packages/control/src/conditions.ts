/**
 * Conditions that report a risk before it takes effect. All functions are pure: the same input gives the same conditions.
 */
import {
	type Configuration, type DatabaseView, type GroupState, type HolderStats, type Member,
} from '@crocusloom/model';
import {type InvalidEntry} from './configurationState.js';
import {checkPut} from './crossReferences.js';
import {type PlatformHealth} from './platformFollower.js';

export type ConditionType
	= | 'ReplicaLag'
		| 'PromotionAtRisk'
		| 'NoPrimary'
		| 'TermUnconfirmed'
		| 'GroupNotMonitored'
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
	/** `true` while the condition holds; conditions that do not hold are left out of reports. */
	readonly status: true;
	readonly severity: Severity;
	/** `<kind>/<name>`, a database below its group, `hosts/<host>` or `platform`. */
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
	/** Milliseconds for which a condition has held; 0 for a new one. */
	readonly sinceMsOf: (type: ConditionType, resource: string) => number;
};

/** Share of a bounded class's age limit at which lag is a risk. */
const lagWarningShare = 0.7;
/** Share of the connection limit at which connections are short. */
const connectionWarningShare = 0.8;
/** Age of the last majority confirmation after which reads begin to be refused; the same as for suspecting a primary. */
const confirmationWarningMs = 600;
/** Propagation takes about a second; a host that is behind for longer may miss the bound. */
const behindWarningMs = 2000;
/** A change must be in force everywhere within this time. */
const behindCriticalMs = 7000;
/** Nothing on the statement path needs the platform, but each outage that lasts blocks operators. */
const platformCriticalMs = 10 * 60 * 1000;

type Finding = Omit<Condition, 'status' | 'sinceMs'> & {readonly sinceMs?: number};

/**
 * Computes the conditions that hold.
 * @param input - states to judge
 * @returns conditions, the most severe first
 */
export function computeConditions(input: ConditionInput): readonly Condition[] {
	const findings = [
		...groupFindings(input),
		...input.holders.flatMap(holder => connectionFindings(holder)),
		...platformFindings(input.platform),
		...configurationFindings(input),
		...referenceFindings(input.configuration),
		...input.members.flatMap(member => silenceFindings(member)),
	];
	return findings
		.map(finding => ({...finding, status: true as const, sinceMs: finding.sinceMs ?? input.sinceMsOf(finding.type, finding.resource)}))
		.toSorted(compareConditions);
}

/**
 * Keeps the result for the last configurations. The checks of all resources take time that grows with the square of their
 * number, and conditions are evaluated every second while the configuration changes every few minutes.
 */
function oncePerConfiguration<T>(compute: (configuration: Configuration) => T): (configuration: Configuration) => T {
	const results = new WeakMap<Configuration, {readonly value: T}>();
	return configuration => {
		const result = results.get(configuration) ?? {value: compute(configuration)};
		results.set(configuration, result);
		return result.value;
	};
}

const severityOrder: Readonly<Record<Severity, number>> = {critical: 0, warning: 1, info: 2};

/** Orders conditions by severity, then by resource and type, so that reports are stable. */
export function compareConditions(a: Condition, b: Condition): number {
	return severityOrder[a.severity] - severityOrder[b.severity] || compareTexts(a.resource, b.resource) || compareTexts(a.type, b.type);
}

function compareTexts(a: string, b: string): number {
	if (a === b) {
		return 0;
	}

	return a < b ? -1 : 1;
}

function groupFindings(input: ConditionInput): readonly Finding[] {
	const states = new Map(input.groups.map(state => [state.group, state]));
	return [...input.configuration.databaseGroups.values()].flatMap(({name, spec}) => {
		const resource = `databaseGroups/${name}`;
		const state = states.get(name);
		const weak: readonly Finding[] = spec.acknowledgement === 'primary'
			? [{
				type: 'AcknowledgementAtPrimary', severity: 'info', resource, message: 'commits are acknowledged by the primary alone and may be lost in a promotion',
			}]
			: [];
		if (!state) {
			return [...weak, {
				type: 'GroupNotMonitored', severity: 'warning', resource, message: 'no host reports the state of the group',
			}];
		}

		return [...weak, ...promotionFindings(resource, state, spec.databases.length), ...primaryFindings(resource, state), ...lagFindings(input.configuration, state)];
	});
}

function promotionFindings(resource: string, state: GroupState, size: number): readonly Finding[] {
	const majority = Math.floor(size / 2) + 1;
	const reachable = state.databases.filter(database => database.reachable).length;
	const counts = `${reachable} of ${size} databases are reachable and ${majority} are needed`;
	if (reachable < majority) {
		return [{
			type: 'PromotionAtRisk', severity: 'critical', resource, message: `no safe promotion is possible: ${counts}`,
		}];
	}

	if (reachable > majority) {
		return [];
	}

	// A group of one or two databases has no spare one even when all are well; operators have chosen that.
	const severity = reachable === size ? 'info' : 'warning';
	return [{
		type: 'PromotionAtRisk', severity, resource, message: `one failure away from no safe promotion: ${counts}`,
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
			type: 'TermUnconfirmed', severity: 'warning', resource, message: `no majority has confirmed term ${state.term} for ${formatMs(state.confirmedAgeMs)}`, sinceMs: state.confirmedAgeMs,
		}]
		: [];
}

type BoundedClass = {readonly name: string; readonly maxAgeMs: number};

/** Bounded classes that routes use, by group, the strictest first. */
const boundedClassesOf = oncePerConfiguration((configuration): ReadonlyMap<string, readonly BoundedClass[]> => {
	const byGroup = new Map<string, Map<string, BoundedClass>>();
	for (const {spec: {freshness, group}} of configuration.routes.values()) {
		const spec = configuration.freshnessClasses.get(freshness)?.spec;
		if (spec?.mode === 'bounded') {
			const classes = byGroup.get(group) ?? new Map<string, BoundedClass>();
			byGroup.set(group, classes.set(freshness, {name: freshness, maxAgeMs: spec.maxAgeMs}));
		}
	}

	return new Map([...byGroup].map(([group, classes]) => [group, [...classes.values()].toSorted((a, b) => a.maxAgeMs - b.maxAgeMs)]));
});

function lagFindings(configuration: Configuration, state: GroupState): readonly Finding[] {
	const bounded = boundedClassesOf(configuration).get(state.group) ?? [];
	const replicas = state.databases.filter(database => database.database !== state.primary);
	return replicas.flatMap(replica => lagFinding(state.group, replica, bounded));
}

/** One finding per replica: for the strictest class that it is about to miss, with the number of classes already missed. */
function lagFinding(group: string, replica: DatabaseView, classes: readonly BoundedClass[]): readonly Finding[] {
	const missed = classes.filter(({maxAgeMs}) => replica.provenAgeMs > maxAgeMs);
	const near = classes.filter(({maxAgeMs}) => replica.provenAgeMs >= maxAgeMs * lagWarningShare && replica.provenAgeMs <= maxAgeMs);
	const [worst] = [...missed, ...near];
	if (!worst) {
		return [];
	}

	const age = Number.isFinite(replica.provenAgeMs) ? `is up to ${formatMs(replica.provenAgeMs)} old` : 'has no proven age';
	const verdict = missed.length > 0 ? 'is above' : 'approaches';
	return [{
		type: 'ReplicaLag',
		severity: missed.length > 0 ? 'critical' : 'warning',
		resource: `databaseGroups/${group}/${replica.database}`,
		message: `the replica's data ${age}, which ${verdict} the limit of ${formatMs(worst.maxAgeMs)} of freshness class ${worst.name}`,
	}];
}

function connectionFindings(holder: HolderStats): readonly Finding[] {
	const {connectionLimit, database, group, openConnections} = holder;
	if (openConnections < connectionLimit * connectionWarningShare) {
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
		severity: platform.sinceMs >= platformCriticalMs ? 'critical' : 'warning',
		resource: 'platform',
		message: `the platform's store has not answered ${platform.observedBy} for ${formatMs(platform.sinceMs)}; configuration changes are refused`,
		sinceMs: platform.sinceMs,
	}];
}

function configurationFindings(input: ConditionInput): readonly Finding[] {
	const invalid = input.invalidEntries.map(({key, problems, revision}): Finding => ({
		type: 'ConfigurationInvalid',
		severity: 'warning',
		resource: key,
		message: `the stored value of revision ${revision} is skipped: ${problems.map(({path, message}) => `${path} ${message}`.trim()).join('; ')}`,
	}));
	const highest = Math.max(input.highestKnownRevision, ...input.members.map(member => member.configurationRevision));
	const behind = input.members
		.filter(member => member.state !== 'dead' && member.configurationRevision < highest)
		.flatMap(member => behindFindings(member, highest, input.sinceMsOf));
	return [...invalid, ...behind];
}

function behindFindings(member: Member, highest: number, sinceMsOf: ConditionInput['sinceMsOf']): readonly Finding[] {
	const resource = `hosts/${member.host}`;
	const sinceMs = sinceMsOf('ConfigurationBehind', resource);
	return [{
		type: 'ConfigurationBehind',
		severity: behindSeverity(sinceMs),
		resource,
		message: `the host serves configuration revision ${member.configurationRevision} and ${highest} exists, for ${formatMs(sinceMs)}`,
		sinceMs,
	}];
}

/** A host that has just fallen behind is normal during a change and shown as information only. */
function behindSeverity(sinceMs: number): Severity {
	if (sinceMs >= behindCriticalMs) {
		return 'critical';
	}

	return sinceMs >= behindWarningMs ? 'warning' : 'info';
}

/** Two changes that are checked at the same time can break a reference that each alone keeps. */
const referenceFindings = oncePerConfiguration((configuration): readonly Finding[] => {
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

function silenceFindings(member: Member): readonly Finding[] {
	return member.state === 'alive' || member.leaving
		? []
		: [{
			type: 'HostSilent',
			severity: 'warning',
			resource: `hosts/${member.host}`,
			message: `the host is ${member.state}: no sign of life for ${formatMs(member.silentMs)}`,
			sinceMs: member.silentMs,
		}];
}

/** Formats a duration for people, for example `850 ms`, `4.2 s` or `12 min`. */
export function formatMs(durationMs: number): string {
	if (durationMs < 1000) {
		return `${Math.round(durationMs)} ms`;
	}

	return durationMs < 120_000 ? `${Number((durationMs / 1000).toFixed(1))} s` : `${Math.floor(durationMs / 60_000)} min`;
}
