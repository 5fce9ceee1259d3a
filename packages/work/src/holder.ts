import {
	FailureError, type ConfigurationSource, type HolderStats, type Membership, type UnitOfWork, type WorkOpener, type WorkRequest,
} from '@crocusloom/model';
import {findDatabase, HeldDatabase, type HolderPorts} from './heldDatabase.js';
import {LocalWork} from './localWork.js';

/** Runs units of work at the databases that this process holds. */
export class Holder implements WorkOpener {
	private readonly held = new Map<string, HeldDatabase>();
	/** Keys of the databases of which another host is the holder now. */
	private readonly heldElsewhere = new Set<string>();
	private isDraining = false;

	/**
	 * @param ports - clock, dialer, group views and the like
	 * @param configuration - groups and ranks in force
	 * @param signal - aborts when the process ends; closes all connections
	 */
	constructor(private readonly ports: HolderPorts, private readonly configuration: ConfigurationSource, signal: AbortSignal) {
		configuration.onChange(current => {
			for (const held of this.held.values()) {
				held.configure(current);
			}
		}, signal);
		signal.addEventListener('abort', () => {
			for (const held of this.held.values()) {
				held.pool.close();
			}
		}, {once: true});
	}

	/**
	 * Opens a unit of work. It takes a slot and a connection only with its first exchange.
	 * @throws FailureError `notRun` when the database is not known or takes no work
	 */
	async open(request: WorkRequest, _signal: AbortSignal): Promise<UnitOfWork> {
		return this.openNow(request);
	}

	/** Does what `open` does, without a promise. */
	openNow(request: WorkRequest): UnitOfWork {
		if (this.isDraining) {
			throw new FailureError({
				kind: 'notRun', reason: 'draining', step: 'drain', peer: request.database, message: 'the holder is shutting down',
			});
		}

		const held = this.heldDatabase(request.group, request.database);
		held.checkDemands(request);
		return new LocalWork(held, request);
	}

	/** Refuses new units of work; open ones finish. */
	drain(): void {
		this.isDraining = true;
	}

	/** Opens connections of the databases that this host holds, and closes idle ones of those that it no longer holds. */
	followMembership(membership: Membership, signal: AbortSignal): void {
		const update = () => {
			this.updateHeld(membership);
		};

		membership.onChange(update, signal);
		this.configuration.onChange(update, signal);
		update();
	}

	stats(): readonly HolderStats[] {
		const shown = [...this.held].filter(([key, held]) => !this.heldElsewhere.has(key) || held.pool.openCount > 0);
		return shown.map(([, held]) => held.stats());
	}

	private updateHeld(membership: Membership): void {
		for (const {name: group, spec} of this.configuration.current().databaseGroups.values()) {
			for (const {name, failureDomain} of spec.databases) {
				const isHolder = membership.holderOf(name, failureDomain).host === membership.self.host;
				const held = this.held.get(heldKey(group, name));
				held?.pool.keepIdle(isHolder);
				this.heldElsewhere.add(heldKey(group, name));
				if (isHolder) {
					this.heldElsewhere.delete(heldKey(group, name));
					void (held ?? this.heldDatabase(group, name)).pool.warmUp(spec.slotsPerDatabase);
				}
			}
		}
	}

	private heldDatabase(group: string, name: string): HeldDatabase {
		const key = heldKey(group, name);
		const known = this.held.get(key);
		if (known) {
			return known;
		}

		const configuration = this.configuration.current();
		const found = findDatabase(configuration, group, name);
		if (!found) {
			throw new FailureError({
				kind: 'notRun', reason: 'noRoute', step: 'admission', peer: name, message: `group ${group} has no such database`,
			});
		}

		const held = new HeldDatabase(group, found, configuration, this.ports);
		this.held.set(key, held);
		return held;
	}
}

function heldKey(group: string, database: string): string {
	return `${group}/${database}`;
}
