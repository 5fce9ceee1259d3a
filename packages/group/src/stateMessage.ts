import {type DatabaseView, type GroupState} from '@crocusloom/model';

/** Method by which monitors tell peers the states of their groups. */
export const stateMethod = 'group.state';
/** Method by which a proxy asks a monitoring host for a group's commit position. */
export const commitPositionMethod = 'group.commitPosition';

/** Parameters of `group.commitPosition`. */
export type CommitPositionMessage = {readonly group: string};

/** Database, 1 if reachable, 1 if primary, fenced term, term and offset of the position, proven age, time of silence. */
type DatabaseFields = readonly [string, 0 | 1, 0 | 1, number, number, number, number | null, number | null];

/** Group, term, primary or an empty text, term and offset of the majority position, age of the confirmation, databases. */
type StateFields = readonly [string, number, string, number, number, number | null, readonly DatabaseFields[]];

/**
 * Parameters of `group.state`. Values are arrays in a fixed order, because field names would be most of the bytes. Ages are
 * whole milliseconds, rounded up; JSON has no Infinity, so ages without a proof travel as null.
 */
export type StateMessage = {readonly s: readonly StateFields[]};

/** Encodes states for peers. */
export function encodeStates(states: readonly GroupState[]): StateMessage {
	return {
		s: states.map(({group, term, primary, majorityPosition, confirmedAgeMs, databases}) => [
			group, term, primary ?? '', majorityPosition.term, majorityPosition.offsetBytes, encodeAge(confirmedAgeMs), databases.map(view => encodeView(view)),
		]),
	};
}

/**
 * Decodes the parameters of `group.state`.
 * @param parameters - what the peer sent
 * @param from - host that sent it
 * @returns the states; undefined if anything in the message has another shape
 */
export function decodeStates(parameters: unknown, from: string): readonly GroupState[] | undefined {
	const states = (parameters as Partial<StateMessage> | null)?.s;
	return Array.isArray(states) && states.every(state => isState(state)) ? states.map(state => decodeState(state, from)) : undefined;
}

/** Adds to the ages of a state the time that passed since it was reported. */
export function ageState(state: GroupState, elapsedMs: number): GroupState {
	return {
		...state,
		confirmedAgeMs: state.confirmedAgeMs + elapsedMs,
		databases: state.databases.map(view => ({...view, provenAgeMs: view.provenAgeMs + elapsedMs, silentMs: view.silentMs + elapsedMs})),
	};
}

function encodeView({database, reachable, role, fencedTerm, position, provenAgeMs, silentMs}: DatabaseView): DatabaseFields {
	return [database, reachable ? 1 : 0, role === 'primary' ? 1 : 0, fencedTerm, position.term, position.offsetBytes, encodeAge(provenAgeMs), encodeAge(silentMs)];
}

function encodeAge(ageMs: number): number | null {
	return Number.isFinite(ageMs) ? Math.ceil(ageMs) : null;
}

function decodeState([group, term, primary, majorityTerm, offsetBytes, confirmedAgeMs, databases]: StateFields, from: string): GroupState {
	return {
		group,
		term,
		primary: primary === '' ? undefined : primary,
		majorityPosition: {term: majorityTerm, offsetBytes},
		databases: databases.map(fields => decodeView(fields)),
		confirmedAgeMs: confirmedAgeMs ?? Number.POSITIVE_INFINITY,
		reportedBy: from,
	};
}

function decodeView([database, reachable, primary, fencedTerm, term, offsetBytes, provenAgeMs, silentMs]: DatabaseFields): DatabaseView {
	return {
		database,
		reachable: reachable === 1,
		role: primary === 1 ? 'primary' : 'replica',
		fencedTerm,
		position: {term, offsetBytes},
		provenAgeMs: provenAgeMs ?? Number.POSITIVE_INFINITY,
		silentMs: silentMs ?? Number.POSITIVE_INFINITY,
	};
}

function isState(state: unknown): state is StateFields {
	if (!Array.isArray(state) || state.length !== 7) {
		return false;
	}

	const [group, term, primary, majorityTerm, offsetBytes, confirmedAgeMs, databases] = state as unknown[];
	return isText(group) && isText(primary) && [term, majorityTerm, offsetBytes].every(value => isCount(value))
		&& isAge(confirmedAgeMs) && Array.isArray(databases) && databases.every(fields => isView(fields));
}

function isView(fields: unknown): fields is DatabaseFields {
	if (!Array.isArray(fields) || fields.length !== 8) {
		return false;
	}

	const [database, reachable, primary, ...rest] = fields as unknown[];
	return isText(database) && [reachable, primary].every(value => value === 0 || value === 1)
		&& rest.slice(0, 3).every(value => isCount(value)) && rest.slice(3).every(value => isAge(value));
}

function isText(value: unknown): value is string {
	return typeof value === 'string';
}

function isCount(value: unknown): boolean {
	return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isAge(value: unknown): boolean {
	return value === null || isCount(value);
}
