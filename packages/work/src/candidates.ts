import {
	holdsPosition, type DatabaseGroupSpec, type DatabaseView, type GroupState, type LogPosition, type WorkIntent, type WorkRequest,
} from '@crocusloom/model';

/** What the chosen database must fulfil. */
export type Demands = Pick<WorkRequest, 'minimumPosition' | 'maxAgeMs'> & {
	/** True if only the primary may serve the work. */
	readonly needsPrimary: boolean;
};

/** A database of the group with the reason why it may or may not serve. */
export type Candidate = {
	readonly database: string;
	readonly isPrimary: boolean;
	readonly position: LogPosition;
	readonly verdict: 'fresh' | 'behind' | 'tooOld' | 'leaving' | 'unreachable' | 'notPrimary';
};

/**
 * Turns an intent into demands on the database.
 * @param commitPosition - answer of the probe, when one was needed
 */
export function demandsOf(intent: WorkIntent, commitPosition?: LogPosition): Demands {
	if (intent.mode === 'write') {
		return {needsPrimary: true};
	}

	const {freshness, sessionPosition} = intent;
	const probed = commitPosition && holdsPosition(commitPosition, sessionPosition) ? commitPosition : sessionPosition;
	const minimumPosition = probed.term === 0 && probed.offsetBytes === 0 ? undefined : probed;
	return {
		needsPrimary: freshness.mode === 'primary',
		minimumPosition,
		maxAgeMs: freshness.mode === 'bounded' ? freshness.maxAgeMs : undefined,
	};
}

/** Tells whether the group's commit position must be asked for first. */
export function needsProbe({mode, freshness, hasSessionToken}: WorkIntent): boolean {
	return mode === 'read' && (freshness.mode === 'primary' || (freshness.mode === 'session' && !hasSessionToken));
}

/** Judges every database of a group. */
export function judgeCandidates(spec: DatabaseGroupSpec, state: GroupState, demands: Demands): readonly Candidate[] {
	return state.databases.map(view => {
		const isPrimary = view.database === state.primary;
		return {
			database: view.database, isPrimary, position: view.position, verdict: judge(spec, view, isPrimary, demands),
		};
	});
}

function judge(spec: DatabaseGroupSpec, view: DatabaseView, isPrimary: boolean, demands: Demands): Candidate['verdict'] {
	const configured = spec.databases.find(({name}) => name === view.database);
	if (!configured || configured.leaving) {
		return 'leaving';
	}

	if (demands.needsPrimary && !isPrimary) {
		return 'notPrimary';
	}

	// Whether a primary can be reached is left to its holder, whose view of it is newer.
	if (!view.reachable && !isPrimary) {
		return 'unreachable';
	}

	if (demands.maxAgeMs !== undefined && view.provenAgeMs > demands.maxAgeMs) {
		return 'tooOld';
	}

	return demands.minimumPosition && !isPrimary && !holdsPosition(view.position, demands.minimumPosition) ? 'behind' : 'fresh';
}
