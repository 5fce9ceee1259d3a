import {
	type Configuration, type ConfigurationSource, type DatabaseGroupSpec, type ListedHost, type Resource,
} from '@crocusloom/model';
import {type HostListReader} from '@crocusloom/membership';

/**
 * Merges the state `leaving` of backend servers from the platform's host list into the operators' configuration, so that
 * either of the two sources can keep new work away from a backend server.
 */
export class MergedConfigurationSource implements ConfigurationSource {
	private mergedConfiguration: Configuration;
	private readonly listeners = new Set<(configuration: Configuration) => void>();

	constructor(private readonly source: ConfigurationSource, private readonly hostList: HostListReader, signal: AbortSignal) {
		this.mergedConfiguration = this.merge();
		source.onChange(() => {
			this.refresh();
		}, signal);
		hostList.onChange(() => {
			this.refresh();
		}, signal);
	}

	current(): Configuration {
		return this.mergedConfiguration;
	}

	onChange(listener: (configuration: Configuration) => void, signal: AbortSignal): void {
		this.listeners.add(listener);
		signal.addEventListener('abort', () => {
			this.listeners.delete(listener);
		}, {once: true});
	}

	private refresh(): void {
		this.mergedConfiguration = this.merge();
		for (const listener of this.listeners) {
			listener(this.mergedConfiguration);
		}
	}

	private merge(): Configuration {
		const configuration = this.source.current();
		const leaving = leavingAddresses(this.hostList.currentHosts());
		if (leaving.size === 0) {
			return configuration;
		}

		const groups = [...configuration.databaseGroups].map(([name, group]) => [name, markLeaving(group, leaving)] as const);
		return {...configuration, databaseGroups: new Map(groups)};
	}
}

/** Returns the addresses, as `address:port`, of the backend servers that the host list shows as leaving. */
function leavingAddresses(hosts: readonly ListedHost[]): ReadonlySet<string> {
	const leaving = hosts.filter(host => host.kind === 'backend' && host.state === 'leaving');
	return new Set(leaving.map(host => `${host.address}:${host.port}`));
}

function markLeaving(group: Resource<'databaseGroups'>, leaving: ReadonlySet<string>): Resource<'databaseGroups'> {
	const databases = group.spec.databases.map(database =>
		leaving.has(`${database.address}:${database.port}`) ? {...database, leaving: true} : database);
	const spec: DatabaseGroupSpec = {...group.spec, databases};
	return {...group, spec};
}
