/**
 * Formats responses of the resource API as human-readable text.
 */
import {
	type GroupState, type HolderStats, type Member, type PromotionRecord, type Resource, type RoutingExplanation,
} from '@crocusloom/model';
import {formatDuration, formatTable} from './tables.js';

type Condition = {readonly type: string; readonly severity: string; readonly resource: string; readonly message: string; readonly sinceMs: number};

/** Body of the response to `GET /v1/status`. */
export type StatusReport = {
	readonly host: string;
	readonly failureDomain: string;
	readonly ready: boolean;
	readonly revision: number;
	readonly platform: {readonly reachable: boolean; readonly sinceMs: number};
	readonly conditions: readonly Condition[];
	readonly hosts: readonly Member[];
	readonly groups: readonly GroupState[];
	readonly holders: ReadonlyArray<HolderStats & {readonly host: string}>;
	readonly silentHosts: readonly string[];
};

/** Formats the status report. Conditions come first, because they call for action. */
export function formatStatus(report: StatusReport): readonly string[] {
	const platformState = report.platform.reachable ? 'reachable' : `not reachable for ${formatDuration(report.platform.sinceMs)}`;
	const silentHostLines = report.silentHosts.length > 0 ? [`Hosts that did not answer: ${report.silentHosts.join(', ')}`] : [];
	return [
		`Answered by ${report.host} (${report.failureDomain}), configuration revision ${report.ready ? report.revision : 'not loaded'}, platform ${platformState}`,
		...silentHostLines,
		'',
		'CONDITIONS',
		...formatTable([
			{title: 'SEVERITY', text: ({severity}) => severity},
			{title: 'TYPE', text: ({type}) => type},
			{title: 'RESOURCE', text: ({resource}) => resource},
			{title: 'SINCE', text: ({sinceMs}) => formatDuration(sinceMs)},
			{title: 'MESSAGE', text: ({message}) => message},
		], report.conditions),
		'',
		'GROUPS',
		...formatGroups(report.groups),
		'',
		'HOSTS',
		...formatHosts(report.hosts),
		'',
		'HELD DATABASES',
		...formatHolders(report.holders),
	];
}

function formatGroups(groups: readonly GroupState[]): readonly string[] {
	return formatTable([
		{title: 'GROUP', text: ({group}) => group},
		{title: 'TERM', text: ({term}) => String(term)},
		{title: 'PRIMARY', text: ({primary}) => primary ?? 'none'},
		{title: 'REACHABLE', text: ({databases}) => `${databases.filter(({reachable}) => reachable).length}/${databases.length}`},
		{title: 'CONFIRMED', text: ({confirmedAgeMs}) => `${formatDuration(confirmedAgeMs)} ago`},
		{
			title: 'REPLICA AGE', text: state => state.databases.filter(({database}) => database !== state.primary)
				.map(({database, provenAgeMs}) => `${database} ${formatDuration(provenAgeMs)}`).join(', '),
		},
	], groups);
}

function formatHosts(hosts: readonly Member[]): readonly string[] {
	return formatTable([
		{title: 'HOST', text: ({host}) => host},
		{title: 'FAILURE DOMAIN', text: ({failureDomain}) => failureDomain},
		{title: 'STATE', text: ({leaving, state}) => leaving ? `${state}, leaving` : state},
		{title: 'REVISION', text: ({configurationRevision}) => String(configurationRevision)},
		{title: 'LAST SEEN', text: ({silentMs}) => `${formatDuration(silentMs)} ago`},
	], hosts);
}

function formatHolders(holders: StatusReport['holders']): readonly string[] {
	return formatTable([
		{title: 'DATABASE', text: ({database, group}) => `${group}/${database}`},
		{title: 'HOLDER', text: ({host}) => host},
		{title: 'SLOTS', text: ({busySlots, slotLimit}) => `${busySlots}/${slotLimit}`},
		{title: 'CONNECTIONS', text: ({connectionLimit, openConnections}) => `${openConnections}/${connectionLimit}`},
		{title: 'RANKS (QUEUED/SERVED/SHED)', text: ({ranks}) => ranks.map(({queued, rank, served, shed}) => `${rank} ${queued}/${served}/${shed}`).join(', ')},
	], holders);
}

/** Formats a list of resources. */
export function formatResources(resources: readonly Resource[]): readonly string[] {
	return formatTable([
		{title: 'NAME', text: ({name}) => name},
		{title: 'REVISION', text: ({revision}) => String(revision)},
		{title: 'SPEC', text: ({spec}) => JSON.stringify(spec)},
	], resources);
}

/** Formats promotions in the order of the response, in which the newest of each group comes last. */
export function formatPromotions(promotions: readonly PromotionRecord[]): readonly string[] {
	return formatTable([
		{title: 'STARTED', text: ({startedAtMs}) => new Date(startedAtMs).toISOString()},
		{title: 'GROUP', text: ({group}) => group},
		{title: 'TERM', text: ({term}) => String(term)},
		{title: 'OUTCOME', text: ({outcome}) => outcome},
		{title: 'CANDIDATE', text: ({candidate}) => candidate ?? ''},
		{title: 'TOOK', text: ({tookMs}) => formatDuration(tookMs)},
		{title: 'REASON', text: ({reason}) => reason},
	], promotions);
}

/** Formats how a statement would be routed, and why. */
export function formatExplanation(explanation: RoutingExplanation): readonly string[] {
	return [
		`Database ${explanation.database ?? 'none'}, holder ${explanation.holder ?? 'none'}: ${explanation.reason}`,
		...formatTable([
			{title: 'CANDIDATE', text: ({database}) => database},
			{title: 'VERDICT', text: ({verdict}) => verdict},
		], explanation.candidates),
	];
}
