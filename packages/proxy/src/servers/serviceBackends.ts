import {type BackendServer} from '../ports.js';
import {Backend, type BackendLimits, type BackendPorts} from './backend.js';

export type ServiceBackendsPorts = BackendPorts & {
	/** Name of the service, for the log. */
	readonly service: string;
	/** Returns the limits of each server at present. */
	readonly limits: () => BackendLimits;
	/** Called for each server of the first list. */
	readonly onInitial: (backend: Backend) => void;
	/** Called when a server is no longer listed or its process was replaced, with the time from which on it acknowledged nothing. */
	readonly onRemoved: (backend: Backend, sinceMs: number) => void;
	/** Called when a server that was a replica claims to be the primary. */
	readonly onPrimaryClaim: (backend: Backend) => void;
};

/** The servers of one service that service discovery lists, and those that are no longer listed and still run work. */
export class ServiceBackends {
	private readonly listed = new Map<string, Backend>();
	/** Servers that are no longer listed and still have connections in use. */
	private readonly retired = new Set<Backend>();
	private hasServers = false;

	constructor(private readonly ports: ServiceBackendsPorts) {}

	/** Returns the servers that service discovery lists. */
	list(): readonly Backend[] {
		return [...this.listed.values()];
	}

	/** True while a server that takes no new work still has connections in use. */
	get hasRunningWork(): boolean {
		return this.retired.size > 0;
	}

	/** Replaces the servers by those that service discovery lists. */
	setServers(servers: readonly BackendServer[]): void {
		const listedIds = new Set(servers.map(({id}) => id));
		for (const [id, backend] of this.listed) {
			if (!listedIds.has(id)) {
				this.remove(backend);
			}
		}

		for (const server of servers) {
			this.addOrUpdate(server);
		}

		this.hasServers = true;
	}

	/** Applies changed limits. */
	applyLimits(): void {
		for (const backend of this.listed.values()) {
			backend.configure(backend.server, this.ports.limits());
		}
	}

	/** Maintains the connections of servers that take no new work, until the last one is closed. */
	maintainRetired(): void {
		for (const backend of this.retired) {
			backend.maintain(0);
			if (backend.pool.openCount === 0) {
				this.retired.delete(backend);
			}
		}
	}

	/** Takes no new work at any server, and lets running work end by itself. */
	retire(): void {
		for (const backend of this.list()) {
			this.remove(backend);
		}
	}

	/** Ends all work and closes all connections. */
	close(): void {
		for (const backend of [...this.listed.values(), ...this.retired]) {
			backend.close();
		}
	}

	/** Removes a server that is no longer listed. Its entry may only have lapsed, so the work that it is running goes on. */
	private remove(backend: Backend): void {
		this.forget(backend, backend.server.missingSinceMs ?? this.ports.clock.nowMs());
		backend.retire();
		this.retired.add(backend);
		this.ports.log.info({service: this.ports.service, server: backend.id, connectionsInUse: backend.pool.openCount}, 'a backend server is no longer listed');
	}

	private addOrUpdate(server: BackendServer): void {
		const existing = this.listed.get(server.id);
		if (existing?.server.startedAtMs === server.startedAtMs && existing.server.address === server.address) {
			this.update(existing, server);
			return;
		}

		if (existing) {
			// The earlier process of the server is gone, and its work with it.
			this.forget(existing, this.ports.clock.nowMs());
			existing.close();
		}

		this.add(server);
		const {id, address, failureDomain, role, isLeaving} = server;
		this.ports.log.info({
			service: this.ports.service, server: id, address, failureDomain, role, leaving: isLeaving, restarted: existing !== undefined,
		}, 'a backend server is listed');
	}

	private add(server: BackendServer): void {
		const backend = new Backend(server, this.ports.limits(), this.ports);
		this.listed.set(server.id, backend);
		if (!this.hasServers) {
			this.ports.onInitial(backend);
		}
	}

	private update(backend: Backend, server: BackendServer): void {
		const previous = backend.server;
		backend.configure(server, this.ports.limits());
		if (server.isLeaving !== previous.isLeaving || server.role !== previous.role) {
			this.ports.log.info({
				service: this.ports.service, server: server.id, role: server.role, roleBefore: previous.role, leaving: server.isLeaving, revision: server.revision,
			}, 'a backend server changed its state');
		}

		if (server.role === 'primary' && previous.role !== 'primary') {
			this.ports.onPrimaryClaim(backend);
		}
	}

	private forget(backend: Backend, sinceMs: number): void {
		this.listed.delete(backend.id);
		this.ports.onRemoved(backend, sinceMs);
	}
}
