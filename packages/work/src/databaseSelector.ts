import {
	type ConfigurationSource, type DatabaseGroupSpec, type FailureError, type GroupDirectory, type GroupState, type Member, type Membership,
	type RandomSource, type RoutingExplanation, type WorkIntent,
} from '@crocusloom/model';
import {
	requirementsOf, evaluateCandidates, needsProbe, type Candidate, type Requirements,
} from './candidates.js';
import {type DatabaseLoads} from './databaseLoad.js';
import {leadershipKey, notRunError, type DispatchContext} from './dispatchContext.js';

type DatabaseSelectorPorts = {
	readonly random: RandomSource;
	readonly configuration: ConfigurationSource;
	readonly directory: GroupDirectory;
	readonly membership: Membership;
};

/** Selects databases by freshness, work in flight and average wait, and determines their holders. */
export class DatabaseSelector {
	/**
	 * @param ports - random source, configuration, directory and membership
	 * @param loads - work in flight and waits of the databases
	 */
	constructor(private readonly ports: DatabaseSelectorPorts, private readonly loads: DatabaseLoads) {}

	/** Explains how a statement would be routed now. */
	explain(intent: WorkIntent): RoutingExplanation {
		const state = this.ports.directory.stateOf(intent.group);
		const spec = this.ports.configuration.current().databaseGroups.get(intent.group)?.spec;
		if (!state || !spec) {
			return {candidates: [], reason: 'the group is not configured or has not been monitored yet'};
		}

		const candidates = evaluateCandidates(spec, state, requirementsOf(intent), database => this.loads.isLagging(database));
		const chosen = this.selectFresh(candidates, spec);
		return {
			database: chosen?.database,
			holder: chosen && this.holderOf(spec, chosen.database).host,
			candidates: candidates.map(candidate => ({database: candidate.database, verdict: this.describeCandidate(candidate)})),
			reason: chosen ? explainChoice(chosen, needsProbe(intent)) : 'no database fulfils the demands',
		};
	}

	/** Returns the proxy that holds a database. */
	holderOf(spec: DatabaseGroupSpec, database: string): Member {
		const failureDomain = spec.databases.find(({name}) => name === database)?.failureDomain ?? '';
		return this.ports.membership.holderOf(database, failureDomain);
	}

	/**
	 * Selects a database for one attempt.
	 * @throws FailureError `notRun` if no database meets the requirements
	 */
	select(context: DispatchContext, requirements: Requirements): {readonly spec: DatabaseGroupSpec; readonly candidate: Candidate} {
		const {group} = context.intent;
		const spec = this.ports.configuration.current().databaseGroups.get(group)?.spec;
		if (!spec) {
			throw notRunError('noRoute', group, 'the group is not configured');
		}

		const state = this.ports.directory.stateOf(group);
		context.seenLeadership = leadershipKey(state);
		if (!state) {
			throw notRunError('noPrimary', group, 'the group has not been monitored yet');
		}

		const needsPrimary = requirements.needsPrimary || context.isPrimaryOnly;
		const evaluated = evaluateCandidates(spec, state, {...requirements, needsPrimary}, database => this.loads.isLagging(database));
		const eligible = context.intent.mode === 'read' ? evaluated.filter(({database}) => !context.excludedDatabases.has(database)) : evaluated;
		const candidate = this.closestLaggingReplica(context, eligible, spec) ?? this.selectFresh(eligible, spec);
		if (!candidate) {
			throw this.noCandidateError(group, state, evaluated);
		}

		return {spec, candidate};
	}

	private noCandidateError(group: string, state: GroupState, evaluated: readonly Candidate[]): FailureError {
		const verdicts = evaluated.map(({database, verdict}) => `${database} is ${verdict}`).join(', ');
		if (!state.primary) {
			return notRunError('noPrimary', group, `no primary is known: ${verdicts}`);
		}

		const isStale = evaluated.some(({verdict}) => verdict === 'tooOld' || verdict === 'behind');
		return notRunError(isStale ? 'tooStale' : 'unreachable', group, `no database may serve: ${verdicts}`);
	}

	/**
	 * Selects the less loaded of two random fresh replicas. The primary serves the read only if there is no fresh replica, or if its
	 * load score is lower by more than its number of slots.
	 */
	private selectFresh(candidates: readonly Candidate[], spec: DatabaseGroupSpec): Candidate | undefined {
		const fresh = candidates.filter(({verdict}) => verdict === 'fresh');
		const primary = fresh.find(({isPrimary}) => isPrimary);
		const replica = this.lessLoadedOfTwo(fresh.filter(({isPrimary}) => !isPrimary));
		if (!primary || !replica) {
			return replica ?? primary;
		}

		return this.loads.score(replica.database) > this.loads.score(primary.database) + spec.slotsPerDatabase ? primary : replica;
	}

	private lessLoadedOfTwo(replicas: readonly Candidate[]): Candidate | undefined {
		if (replicas.length < 2) {
			return replicas[0];
		}

		const {random} = this.ports;
		const first = Math.floor(random.next() * replicas.length);
		const second = (first + 1 + Math.floor(random.next() * (replicas.length - 1))) % replicas.length;
		const [a, b] = [replicas[first]!, replicas[second]!];
		return this.loads.score(a.database) <= this.loads.score(b.database) ? a : b;
	}

	/**
	 * Selects the most advanced lagging replica if the primary is busy and no replica is fresh. Its holder waits a bounded time for
	 * the replica to catch up.
	 */
	private closestLaggingReplica(context: DispatchContext, candidates: readonly Candidate[], spec: DatabaseGroupSpec): Candidate | undefined {
		const primary = candidates.find(({isPrimary}) => isPrimary);
		const hasFreshReplica = candidates.some(({isPrimary, verdict}) => !isPrimary && verdict === 'fresh');
		const isBusy = primary !== undefined && this.loads.inFlight(primary.database) >= spec.slotsPerDatabase;
		if (context.hasTriedLaggingReplica || hasFreshReplica || !isBusy) {
			return undefined;
		}

		context.hasTriedLaggingReplica = true;
		return candidates
			.filter(({verdict}) => verdict === 'behind')
			.toSorted((a, b) => (b.position.term - a.position.term) || (b.position.offsetBytes - a.position.offsetBytes))
			.at(0);
	}

	private describeCandidate({database, verdict}: Candidate): string {
		return `${verdict}, ${this.loads.inFlight(database)} in flight, load ${this.loads.score(database).toFixed(1)}`;
	}
}

function explainChoice({isPrimary}: Candidate, isProbed: boolean): string {
	const choice = isPrimary ? 'the primary serves it' : 'the less loaded of two fresh replicas serves it';
	return isProbed ? `${choice}, once the group's commit position is confirmed` : choice;
}
