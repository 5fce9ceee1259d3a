import {
	sqlStates, type Configuration, type FreshnessClassSpec, type Resource,
} from '@crocusloom/model';
import {protocolError} from './errors.js';

/** Attributes of a caller that select its route. */
export type CallerIdentity = {
	readonly database: string;
	readonly user: string;
	readonly application: string;
};

/** Database group to which the work of a session is routed, with the properties that apply to it. */
export type Route = {
	readonly group: string;
	readonly rank: string;
	/** Wait target of the rank. */
	readonly targetMs: number;
	readonly freshness: FreshnessClassSpec;
	/** Key for fair queueing and retry budgets: name of the route and of the user. */
	readonly callerKey: string;
};

/** Wait target of a rank that is missing from the configuration. */
const defaultTargetMs = 1000;

/**
 * Chooses the most specific matching route. A route for a user takes precedence over one for an application, and both over a route for neither.
 * @throws FailureError with 3D000 if no route matches
 */
export function chooseRoute(configuration: Configuration, identity: CallerIdentity, overrides: {readonly rank?: string; readonly freshness?: string}, peer: string): Route {
	const bestRoute = findRoute(configuration, identity);
	if (!bestRoute) {
		throw protocolError('route', peer, sqlStates.invalidCatalogName, `no route for database "${identity.database}"`);
	}

	const rank = overrides.rank ?? bestRoute.spec.rank;
	const freshness = configuration.freshnessClasses.get(overrides.freshness ?? bestRoute.spec.freshness);
	return {
		group: bestRoute.spec.group,
		rank,
		targetMs: configuration.ranks.get(rank)?.spec.targetMs ?? defaultTargetMs,
		freshness: freshness?.spec ?? {mode: 'session'},
		callerKey: `${bestRoute.name}/${identity.user}`,
	};
}

function findRoute(configuration: Configuration, identity: CallerIdentity): Resource<'routes'> | undefined {
	let bestRoute: Resource<'routes'> | undefined;
	let bestScore = -1;
	for (const route of configuration.routes.values()) {
		const score = scoreRoute(route.spec, identity);
		if (score > bestScore) {
			bestRoute = route;
			bestScore = score;
		}
	}

	return bestRoute;
}

/** Returns how specific a matching route is, or -1 if the route does not match. */
function scoreRoute(spec: Resource<'routes'>['spec'], identity: CallerIdentity): number {
	const isMatch = spec.database === identity.database
		&& (spec.user === undefined || spec.user === identity.user)
		&& (spec.application === undefined || spec.application === identity.application);
	return isMatch ? (spec.user === undefined ? 0 : 2) + (spec.application === undefined ? 0 : 1) : -1;
}
