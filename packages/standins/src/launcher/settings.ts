/**
 * Settings files of `crocusloomd`.
 */
import {stringify} from 'ini';
import {type DeploymentTopology, type ProxyTopology} from './types.js';

export type ProxyPorts = {readonly callers: number; readonly peers: number; readonly work: number; readonly operators: number};

export type SettingsInput = {
	readonly deployment: DeploymentTopology;
	readonly proxy: ProxyTopology;
	readonly address: string;
	readonly ports: ProxyPorts;
	/** Peers to contact first, as `host:port`. */
	readonly seeds: readonly string[];
	readonly platformUrl: string;
	readonly users: Readonly<Record<string, string>>;
	readonly logLevel: string;
};

/** Formats the settings file of a proxy. */
export function formatSettings({deployment, proxy, address, ports, seeds, platformUrl, users, logLevel}: SettingsInput): string {
	return stringify({
		host: {
			name: proxy.name, deployment: deployment.name, failureDomain: proxy.failureDomain, region: deployment.region,
		},
		callers: {address, port: ports.callers},
		peers: {
			address, port: ports.peers, workPort: ports.work, seeds: seeds.join(','),
		},
		operators: {address, port: ports.operators},
		platform: {url: platformUrl},
		users,
		log: {level: logLevel},
	});
}
