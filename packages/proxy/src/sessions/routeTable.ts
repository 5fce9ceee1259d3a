import {type Logger} from '@crocusloom/model';
import {type RankPolicy} from '@crocusloom/work';
import {type ProxyConfiguration, type Route} from '../ports.js';

/** Share of a server's slot time that is guaranteed to each rank except the most urgent one. */
const floorShare = 0.12;

/** Holds the configuration in force. Its version never decreases while the process runs. */
export class RouteTable {
	private activeConfiguration: ProxyConfiguration | undefined;
	private readonly listeners = new Set<(configuration: ProxyConfiguration) => void>();

	constructor(private readonly log: Logger) {}

	get configuration(): ProxyConfiguration | undefined {
		return this.activeConfiguration;
	}

	get version(): number {
		return this.activeConfiguration?.version ?? 0;
	}

	/** Returns the route of a database name. */
	routeFor(database: string): Route | undefined {
		return this.activeConfiguration?.routes.get(database);
	}

	/** Applies a configuration if it is newer than the one in force. */
	apply(configuration: ProxyConfiguration): void {
		if (configuration.version <= this.version) {
			return;
		}

		this.log.info({
			version: configuration.version, before: this.version, routes: configuration.routes.size, services: configuration.services.size,
		}, 'a configuration is in force');
		this.activeConfiguration = configuration;
		for (const listener of this.listeners) {
			listener(configuration);
		}
	}

	/** Registers a listener that is called with each newly applied configuration. */
	onChange(listener: (configuration: ProxyConfiguration) => void): void {
		this.listeners.add(listener);
	}
}

/** Returns the rank of the work of a route. */
export function rankOf(route: Route): string {
	return `priority-${route.priority}`;
}

/** Returns the policies of the ranks that the routes to a service use. */
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
