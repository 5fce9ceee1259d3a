/**
 * Topology of deployments, and the addresses of their running processes.
 */

export type ProxyTopology = {readonly name: string; readonly failureDomain: string};
export type DatabaseTopology = {readonly name: string; readonly failureDomain: string};

/** A database group; its first database starts as the primary. */
export type GroupTopology = {readonly name: string; readonly databases: readonly DatabaseTopology[]};

/** A workload of a deployment: an application, the settings of its rank and the freshness class of its reads. */
export type WorkloadTopology = {
	readonly application: string;
	readonly targetMs: number;
	readonly floorShare: number;
	readonly freshness: string;
};

export type DeploymentTopology = {
	readonly name: string;
	readonly region: string;
	readonly proxies: readonly ProxyTopology[];
	readonly groups: readonly GroupTopology[];
	readonly connectionsPerDatabase: number;
	readonly slotsPerDatabase: number;
	/** Workloads, the highest rank first. */
	readonly workloads: readonly WorkloadTopology[];
	/** Specs of the freshness classes, by name. */
	readonly freshnessClasses: Readonly<Record<string, Readonly<Record<string, unknown>>>>;
};

export type ProcessKind = 'proxy' | 'database' | 'platform';

/** A process in the file that `--endpoints` writes. */
export type ProcessEndpoint = {
	readonly name: string;
	readonly kind: ProcessKind;
	readonly deployment: string;
	readonly failureDomain: string;
	readonly pid: number;
	readonly host: string;
	readonly port: number;
	/** Control API of a stand-in, which injects faults. */
	readonly controlUrl?: string;
	/** Group of a database. */
	readonly group?: string;
};

export type CallerEndpoint = {readonly host: string; readonly port: number; readonly failureDomain: string; readonly deployment: string; readonly name: string};
export type OperatorEndpoint = {readonly url: string; readonly failureDomain: string; readonly deployment: string; readonly name: string};

/** Content of the file that `--endpoints` writes. */
export type Endpoints = {
	readonly callers: readonly CallerEndpoint[];
	readonly operators: readonly OperatorEndpoint[];
	readonly processes: readonly ProcessEndpoint[];
};
