import {
	sqlStates, type Configuration, type FreshnessClassSpec, type Resource,
} from '@crocusloom/model';
import {refusal} from './errors.js';

/** What a startup message says about a caller. */
export type CallerIdentity = {
	readonly database: string;
	readonly user: string;
	readonly application: string;
};

/** Where the work of a session goes. */
export type Route = {
	readonly group: string;
	readonly rank: string;
	readonly targetMs: number;
	readonly freshness: FreshnessClassSpec;
	readonly callerKey: string;
};

/** Wait limit of a rank that the configuration does not have. */
const defaultTargetMs = 1000;

/**
 * Picks the most specific route: one for a user comes before one for an application, both before one for neither.
 * @throws FailureError with 3D000 when no route matches
 */
export function chooseRoute(configuration: Configuration, identity: CallerIdentity, overrides: {readonly rank?: string; readonly freshness?: string}, peer: string): Route {
	const best = findRoute(configuration, identity);
	if (!best) {
		throw refusal('route', peer, sqlStates.invalidCatalogName, `no route for database "${identity.database}"`);
	}

	const rank = overrides.rank ?? best.spec.rank;
	const freshness = configuration.freshnessClasses.get(overrides.freshness ?? best.spec.freshness);
	return {
		group: best.spec.group,
		rank,
		targetMs: configuration.ranks.get(rank)?.spec.targetMs ?? defaultTargetMs,
		freshness: freshness?.spec ?? {mode: 'session'},
		callerKey: `${best.name}/${identity.user}`,
	};
}

function findRoute(configuration: Configuration, identity: CallerIdentity): Resource<'routes'> | undefined {
	let best: Resource<'routes'> | undefined;
	let bestScore = -1;
	for (const route of configuration.routes.values()) {
		const score = scoreRoute(route.spec, identity);
		if (score > bestScore) {
			best = route;
			bestScore = score;
		}
	}

	return best;
}

function scoreRoute(spec: Resource<'routes'>['spec'], identity: CallerIdentity): number {
	const isMatch = spec.database === identity.database
		&& (spec.user === undefined || spec.user === identity.user)
		&& (spec.application === undefined || spec.application === identity.application);
	return isMatch ? (spec.user === undefined ? 0 : 2) + (spec.application === undefined ? 0 : 1) : -1;
}
