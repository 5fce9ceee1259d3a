import {type Logger} from '@crocusloom/model';
import {type RankPolicy} from '@crocusloom/work';
import {type ProxyConfiguration, type Route} from './ports.js';

/** Share of a server's slot time that every rank but the most urgent one is left with when all have work. */
const floorShare = 0.12;

/** The configuration in force. Its version never goes back within the life of the process. */
export class RouteTable {
	private configuration: ProxyConfiguration | undefined;
	private readonly listeners = new Set<(configuration: ProxyConfiguration) => void>();

	constructor(private readonly log: Logger) {}

	get current(): ProxyConfiguration | undefined {
		return this.configuration;
	}

	get version(): number {
		return this.configuration?.version ?? 0;
	}

	/** Finds the route of a database name. */
	routeFor(database: string): Route | undefined {
		return this.configuration?.routes.get(database);
	}

	/** Puts a configuration in force, unless a newer one is. */
	apply(configuration: ProxyConfiguration): void {
		if (configuration.version <= this.version) {
			return;
		}

		this.log.info({
			version: configuration.version, before: this.version, routes: configuration.routes.size, services: configuration.services.size,
		}, 'a configuration is in force');
		this.configuration = configuration;
		for (const listener of this.listeners) {
			listener(configuration);
		}
	}

	onChange(listener: (configuration: ProxyConfiguration) => void): void {
		this.listeners.add(listener);
	}
}

/** Name of the rank of a route's work. */
export function rankOf(route: Route): string {
	return `priority-${route.priority}`;
}

/** Lists the ranks of the work that may go to a service, as its routes declare them. */
export function ranksOf(configuration: ProxyConfiguration, service: string): readonly RankPolicy[] {
	const policies = new Map<number, RankPolicy>();
	for (const route of configuration.routes.values()) {
		if (route.service !== service) {
			continue;
		}

		const targetMs = Math.max(route.targetMs, policies.get(route.priority)?.targetMs ?? 0);
		policies.set(route.priority, {
			rank: rankOf(route), order: route.priority, targetMs, floorShare: route.priority === 0 ? 0 : floorShare,
		});
	}

	return [...policies.values()];
}
