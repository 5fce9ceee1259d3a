import {type GroupState} from '@crocusloom/model';

/** Method by which monitors tell peers the states of their groups. */
export const stateMethod = 'group.state';
/** Method by which a proxy asks a monitoring host for a group's commit position. */
export const commitPositionMethod = 'group.commitPosition';

/** Parameters of `group.state`. JSON has no Infinity, so ages without a proof travel as null. */
export type StateMessage = {readonly states: readonly GroupState[]};

/** Parameters of `group.commitPosition`. */
export type CommitPositionMessage = {readonly group: string};

/** Adds to the ages of a state the time that passed since it was reported. */
export function ageState(state: GroupState, elapsedMs: number): GroupState {
	return {
		...state,
		confirmedAgeMs: orInfinity(state.confirmedAgeMs) + elapsedMs,
		databases: state.databases.map(view => ({
			...view,
			provenAgeMs: orInfinity(view.provenAgeMs) + elapsedMs,
			silentMs: orInfinity(view.silentMs) + elapsedMs,
		})),
	};
}

/** Reads a number that JSON may have turned into null. */
function orInfinity(value: number | undefined): number {
	return value ?? Number.POSITIVE_INFINITY;
}
