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

/**
 * A replica whose data is proven to be younger than this keeps up. Its position in a state is up to a second old, so that
 * under writes it looks behind although it is not; its holder, which knows it exactly, waits or refuses.
 */
const keepsUpAgeMs = 1000;

/**
 * Judges every database of a group.
 * @param lagsBehind - tells whether a replica was found behind by its holder a moment ago
 */
export function judgeCandidates(spec: DatabaseGroupSpec, state: GroupState, demands: Demands, lagsBehind: (database: string) => boolean): readonly Candidate[] {
	return state.databases.map(view => {
		const isPrimary = view.database === state.primary;
		return {
			database: view.database, isPrimary, position: view.position, verdict: judge(spec, view, isPrimary, demands, lagsBehind),
		};
	});
}

// eslint-disable-next-line max-params
function judge(spec: DatabaseGroupSpec, view: DatabaseView, isPrimary: boolean, demands: Demands, lagsBehind: (database: string) => boolean): Candidate['verdict'] {
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

	const isReported = !demands.minimumPosition || isPrimary || holdsPosition(view.position, demands.minimumPosition);
	const keepsUp = view.provenAgeMs <= keepsUpAgeMs && !lagsBehind(view.database);
	return isReported || keepsUp ? 'fresh' : 'behind';
}
