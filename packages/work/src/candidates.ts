import {
	holdsPosition, type DatabaseGroupSpec, type DatabaseView, type GroupState, type LogPosition, type WorkIntent, type WorkRequest,
} from '@crocusloom/model';

/** Requirements that the chosen database must meet. */
export type Requirements = Pick<WorkRequest, 'minimumPosition' | 'maxAgeMs'> & {
	/** True if only the primary may run the work. */
	readonly needsPrimary: boolean;
};

/** A database of the group, with a verdict that tells whether it may run the work and why not. */
export type Candidate = {
	readonly database: string;
	readonly isPrimary: boolean;
	readonly position: LogPosition;
	readonly verdict: 'fresh' | 'behind' | 'tooOld' | 'leaving' | 'unreachable' | 'notPrimary';
};

/**
 * Derives the requirements on the database from an intent.
 * @param commitPosition - result of the probe, if one was needed
 */
export function requirementsOf(intent: WorkIntent, commitPosition?: LogPosition): Requirements {
	if (intent.mode === 'write') {
		return {needsPrimary: true};
	}

	const {freshness, sessionPosition} = intent;
	const requiredPosition = commitPosition && holdsPosition(commitPosition, sessionPosition) ? commitPosition : sessionPosition;
	const minimumPosition = requiredPosition.term === 0 && requiredPosition.offsetBytes === 0 ? undefined : requiredPosition;
	return {
		needsPrimary: freshness.mode === 'primary',
		minimumPosition,
		maxAgeMs: freshness.mode === 'bounded' ? freshness.maxAgeMs : undefined,
	};
}

/** Returns whether the commit position of the group has to be probed first. */
export function needsProbe({mode, freshness, hasSessionToken}: WorkIntent): boolean {
	return mode === 'read' && (freshness.mode === 'primary' || (freshness.mode === 'session' && !hasSessionToken));
}

/**
 * Maximum proven age of the data of a replica that counts as caught up. The position in the group state is up to a second old,
 * so under writes a replica appears to lag although it does not. Its holder knows the current position, and waits or refuses.
 */
const maximumCaughtUpAgeMs = 1000;

/**
 * Determines the verdict for every database of a group.
 * @param isLagging - returns whether the holder of a replica recently reported it as lagging
 */
export function evaluateCandidates(spec: DatabaseGroupSpec, state: GroupState, requirements: Requirements, isLagging: (database: string) => boolean): readonly Candidate[] {
	return state.databases.map(view => {
		const isPrimary = view.database === state.primary;
		return {
			database: view.database, isPrimary, position: view.position, verdict: verdictOf(spec, view, isPrimary, requirements, isLagging),
		};
	});
}

// eslint-disable-next-line max-params
function verdictOf(spec: DatabaseGroupSpec, view: DatabaseView, isPrimary: boolean, requirements: Requirements, isLagging: (database: string) => boolean): Candidate['verdict'] {
	const configured = spec.databases.find(({name}) => name === view.database);
	if (!configured || configured.leaving) {
		return 'leaving';
	}

	if (requirements.needsPrimary && !isPrimary) {
		return 'notPrimary';
	}

	// The holder decides whether a primary is reachable, because its view is more recent.
	if (!view.reachable && !isPrimary) {
		return 'unreachable';
	}

	if (requirements.maxAgeMs !== undefined && view.provenAgeMs > requirements.maxAgeMs) {
		return 'tooOld';
	}

	const hasReportedPosition = !requirements.minimumPosition || isPrimary || holdsPosition(view.position, requirements.minimumPosition);
	const isCaughtUp = view.provenAgeMs <= maximumCaughtUpAgeMs && !isLagging(view.database);
	return hasReportedPosition || isCaughtUp ? 'fresh' : 'behind';
}
