import {
	compositeKey, FailureError, type ConfigurationSource, type HolderStats, type Membership, type UnitOfWork, type WorkOpener, type WorkRequest,
} from '@crocusloom/model';
import {findDatabase, HeldDatabase, type HolderPorts} from './heldDatabase.js';
import {LocalWork} from './localWork.js';

/** Opens units of work at the databases that this process holds. */
export class Holder implements WorkOpener {
	private readonly heldDatabases = new Map<string, HeldDatabase>();
	/** Keys of the databases that another host holds now. */
	private readonly keysHeldElsewhere = new Set<string>();
	private isDraining = false;

	/**
	 * @param ports - clock, dialer, group views and other ports
	 * @param configuration - configured groups and ranks
	 * @param signal - aborts when the process ends, which closes all connections
	 */
	constructor(private readonly ports: HolderPorts, private readonly configuration: ConfigurationSource, signal: AbortSignal) {
		configuration.onChange(current => {
			for (const held of this.heldDatabases.values()) {
				held.configure(current);
			}
		}, signal);
		signal.addEventListener('abort', () => {
			for (const held of this.heldDatabases.values()) {
				held.pool.close();
			}
		}, {once: true});
	}

	/**
	 * Opens a unit of work. It acquires a slot and a connection only with its first exchange.
	 * @throws FailureError `notRun` if the database is unknown or accepts no work
	 */
	async open(request: WorkRequest, _signal: AbortSignal): Promise<UnitOfWork> {
		return this.openSync(request);
	}

	/** Synchronous version of `open`. */
	openSync(request: WorkRequest): UnitOfWork {
		if (this.isDraining) {
			throw new FailureError({
				kind: 'notRun', reason: 'draining', step: 'drain', peer: request.database, message: 'the holder is shutting down',
			});
		}

		const held = this.getOrCreateHeldDatabase(request.group, request.database);
		held.checkRequirements(request);
		return new LocalWork(held, request);
	}

	/** Refuses new units of work from now on. Open ones may finish. */
	drain(): void {
		this.isDraining = true;
	}

	/** Follows the membership: opens connections to the databases that this host holds, and closes idle ones to those that it no longer holds. */
	followMembership(membership: Membership, signal: AbortSignal): void {
		const update = () => {
			this.updateHeld(membership);
		};

		membership.onChange(update, signal);
		this.configuration.onChange(update, signal);
		update();
	}

	stats(): readonly HolderStats[] {
		const reported = [...this.heldDatabases].filter(([key, held]) => !this.keysHeldElsewhere.has(key) || held.pool.openCount > 0);
		return reported.map(([, held]) => held.stats());
	}

	private updateHeld(membership: Membership): void {
		for (const {name: group, spec} of this.configuration.current().databaseGroups.values()) {
			for (const {name, failureDomain} of spec.databases) {
				const isHolder = membership.holderOf(name, failureDomain).host === membership.self.host;
				const held = this.heldDatabases.get(heldKey(group, name));
				held?.pool.setKeepIdle(isHolder);
				this.keysHeldElsewhere.add(heldKey(group, name));
				if (isHolder) {
					this.keysHeldElsewhere.delete(heldKey(group, name));
					void (held ?? this.getOrCreateHeldDatabase(group, name)).pool.warmUp(spec.slotsPerDatabase);
				}
			}
		}
	}

	private getOrCreateHeldDatabase(group: string, name: string): HeldDatabase {
		const key = heldKey(group, name);
		const existingDatabase = this.heldDatabases.get(key);
		if (existingDatabase) {
			return existingDatabase;
		}

		const configuration = this.configuration.current();
		const configuredDatabase = findDatabase(configuration, group, name);
		if (!configuredDatabase) {
			throw new FailureError({
				kind: 'notRun', reason: 'noRoute', step: 'admission', peer: name, message: `group ${group} has no such database`,
			});
		}

		const held = new HeldDatabase(group, configuredDatabase, configuration, this.ports);
		this.heldDatabases.set(key, held);
		return held;
	}
}

function heldKey(group: string, database: string): string {
	return compositeKey([group, database]);
}
