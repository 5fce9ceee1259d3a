import {
	type ConfigurationSource, type DatabaseGroupSpec, type FailureError, type GroupDirectory, type GroupState, type Member, type Membership,
	type RandomSource, type RoutingExplanation, type WorkIntent,
} from '@crocusloom/model';
import {
	demandsOf, judgeCandidates, needsProbe, type Candidate, type Demands,
} from './candidates.js';
import {type DatabaseLoads} from './databaseLoad.js';
import {leadershipOf, refuse, type DispatchRun} from './dispatchRun.js';

type ChoicePorts = {
	readonly random: RandomSource;
	readonly configuration: ConfigurationSource;
	readonly directory: GroupDirectory;
	readonly membership: Membership;
};

/** Chooses databases by freshness, work in flight and observed wait, and their holders. */
export class DatabaseChoice {
	/**
	 * @param ports - configuration, directory and membership
	 * @param loads - work in flight and waits
	 */
	constructor(private readonly ports: ChoicePorts, private readonly loads: DatabaseLoads) {}

	/** Why a statement goes where it goes now. */
	explain(intent: WorkIntent): RoutingExplanation {
		const state = this.ports.directory.stateOf(intent.group);
		const spec = this.ports.configuration.current().databaseGroups.get(intent.group)?.spec;
		if (!state || !spec) {
			return {candidates: [], reason: 'the group is not configured or has not been monitored yet'};
		}

		const candidates = judgeCandidates(spec, state, demandsOf(intent), database => this.loads.lagsBehind(database));
		const chosen = this.pick(candidates, spec);
		return {
			database: chosen?.database,
			holder: chosen && this.holderOf(spec, chosen.database).host,
			candidates: candidates.map(candidate => ({database: candidate.database, verdict: this.describe(candidate)})),
			reason: chosen ? explainChoice(chosen, needsProbe(intent)) : 'no database fulfils the demands',
		};
	}

	/** The proxy that holds a database. */
	holderOf(spec: DatabaseGroupSpec, database: string): Member {
		const failureDomain = spec.databases.find(({name}) => name === database)?.failureDomain ?? '';
		return this.ports.membership.holderOf(database, failureDomain);
	}

	/**
	 * Chooses a database for one attempt.
	 * @throws FailureError `notRun` when no database fulfils the demands
	 */
	choose(run: DispatchRun, demands: Demands): {readonly spec: DatabaseGroupSpec; readonly candidate: Candidate} {
		const {group} = run.intent;
		const spec = this.ports.configuration.current().databaseGroups.get(group)?.spec;
		if (!spec) {
			throw refuse('noRoute', group, 'the group is not configured');
		}

		const state = this.ports.directory.stateOf(group);
		run.seen = leadershipOf(state);
		if (!state) {
			throw refuse('noPrimary', group, 'the group has not been monitored yet');
		}

		const needsPrimary = demands.needsPrimary || run.primaryOnly;
		const judged = judgeCandidates(spec, state, {...demands, needsPrimary}, database => this.loads.lagsBehind(database));
		const open = run.intent.mode === 'read' ? judged.filter(({database}) => !run.excluded.has(database)) : judged;
		const candidate = this.replicaBehind(run, open, spec) ?? this.pick(open, spec);
		if (!candidate) {
			throw this.noCandidate(group, state, judged);
		}

		return {spec, candidate};
	}

	private noCandidate(group: string, state: GroupState, judged: readonly Candidate[]): FailureError {
		const verdicts = judged.map(({database, verdict}) => `${database} is ${verdict}`).join(', ');
		if (!state.primary) {
			return refuse('noPrimary', group, `no primary is known: ${verdicts}`);
		}

		const isStale = judged.some(({verdict}) => verdict === 'tooOld' || verdict === 'behind');
		return refuse(isStale ? 'tooStale' : 'unreachable', group, `no database may serve: ${verdicts}`);
	}

	/** Two random replicas are compared; the primary takes reads only when it has clearly less to do. */
	private pick(candidates: readonly Candidate[], spec: DatabaseGroupSpec): Candidate | undefined {
		const fresh = candidates.filter(({verdict}) => verdict === 'fresh');
		const primary = fresh.find(({isPrimary}) => isPrimary);
		const replica = this.betterOfTwo(fresh.filter(({isPrimary}) => !isPrimary));
		if (!primary || !replica) {
			return replica ?? primary;
		}

		return this.loads.score(replica.database) > this.loads.score(primary.database) + spec.slotsPerDatabase ? primary : replica;
	}

	private betterOfTwo(replicas: readonly Candidate[]): Candidate | undefined {
		if (replicas.length < 2) {
			return replicas[0];
		}

		const {random} = this.ports;
		const first = Math.floor(random.next() * replicas.length);
		const second = (first + 1 + Math.floor(random.next() * (replicas.length - 1))) % replicas.length;
		const [a, b] = [replicas[first]!, replicas[second]!];
		return this.loads.score(a.database) <= this.loads.score(b.database) ? a : b;
	}

	/** While the primary is busy and no replica is fresh, the replica that is closest is given a bounded time to catch up. */
	private replicaBehind(run: DispatchRun, candidates: readonly Candidate[], spec: DatabaseGroupSpec): Candidate | undefined {
		const primary = candidates.find(({isPrimary}) => isPrimary);
		const hasFreshReplica = candidates.some(({isPrimary, verdict}) => !isPrimary && verdict === 'fresh');
		const isBusy = primary !== undefined && this.loads.inFlight(primary.database) >= spec.slotsPerDatabase;
		if (run.triedReplicaBehind || hasFreshReplica || !isBusy) {
			return undefined;
		}

		run.triedReplicaBehind = true;
		return candidates
			.filter(({verdict}) => verdict === 'behind')
			.toSorted((a, b) => (b.position.term - a.position.term) || (b.position.offsetBytes - a.position.offsetBytes))
			.at(0);
	}

	private describe({database, verdict}: Candidate): string {
		return `${verdict}, ${this.loads.inFlight(database)} in flight, load ${this.loads.score(database).toFixed(1)}`;
	}
}

function explainChoice({isPrimary}: Candidate, isProbed: boolean): string {
	const choice = isPrimary ? 'the primary serves it' : 'the less loaded of two fresh replicas serves it';
	return isProbed ? `${choice}, once the group's commit position is confirmed` : choice;
}
