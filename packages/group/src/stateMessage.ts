import {type DatabaseView, type GroupState} from '@crocusloom/model';

/** Peer method with which a host reports the states of its groups. */
export const groupStateMethod = 'group.state';
/** Peer method with which a proxy requests the commit position of a group from a monitoring host. */
export const commitPositionMethod = 'group.commitPosition';

/** Parameters of `group.commitPosition`. */
export type CommitPositionMessage = {readonly group: string};

/** Database, 1 if reachable, 1 if primary, fenced term, term and offset of the position, proven age, time since the last response. */
type DatabaseFields = readonly [string, 0 | 1, 0 | 1, number, number, number, number | null, number | null];

/** Group, term, primary or an empty string, term and offset of the majority position, age of the confirmation, databases. */
type StateFields = readonly [string, number, string, number, number, number | null, readonly DatabaseFields[]];

/**
 * Parameters of `group.state`. States are arrays in a fixed order, because field names would take up most of the bytes. Ages
 * are whole milliseconds, rounded up. JSON has no Infinity, so an age without a proven bound is encoded as null.
 */
export type StateMessage = {readonly s: readonly StateFields[]};

/** Encodes states as the parameters of `group.state`. */
export function encodeStates(states: readonly GroupState[]): StateMessage {
	return {
		s: states.map(({group, term, primary, majorityPosition, confirmedAgeMs, databases}) => [
			group, term, primary ?? '', majorityPosition.term, majorityPosition.offsetBytes, encodeAge(confirmedAgeMs), databases.map(view => encodeView(view)),
		]),
	};
}

/**
 * Decodes the parameters of `group.state`.
 * @param parameters - parameters as received, of unknown shape
 * @param reportingHost - host that sent the message
 * @returns the states, or undefined if any part of the message is invalid
 */
export function decodeStates(parameters: unknown, reportingHost: string): readonly GroupState[] | undefined {
	const states = (parameters as Partial<StateMessage> | null)?.s;
	return Array.isArray(states) && states.every(state => isState(state)) ? states.map(state => decodeState(state, reportingHost)) : undefined;
}

/** Returns a state with its ages increased by the time since it was received. */
export function addElapsedTime(state: GroupState, elapsedMs: number): GroupState {
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

function decodeState([group, term, primary, majorityTerm, offsetBytes, confirmedAgeMs, databases]: StateFields, reportingHost: string): GroupState {
	return {
		group,
		term,
		primary: primary === '' ? undefined : primary,
		majorityPosition: {term: majorityTerm, offsetBytes},
		databases: databases.map(fields => decodeView(fields)),
		confirmedAgeMs: confirmedAgeMs ?? Number.POSITIVE_INFINITY,
		reportedBy: reportingHost,
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
	return isString(group) && isString(primary) && [term, majorityTerm, offsetBytes].every(value => isNonNegativeInteger(value))
		&& isAgeOrNull(confirmedAgeMs) && Array.isArray(databases) && databases.every(fields => isView(fields));
}

function isView(fields: unknown): fields is DatabaseFields {
	if (!Array.isArray(fields) || fields.length !== 8) {
		return false;
	}

	const [database, reachable, primary, ...numericFields] = fields as unknown[];
	return isString(database) && [reachable, primary].every(value => value === 0 || value === 1)
		&& numericFields.slice(0, 3).every(value => isNonNegativeInteger(value)) && numericFields.slice(3).every(value => isAgeOrNull(value));
}

function isString(value: unknown): value is string {
	return typeof value === 'string';
}

function isNonNegativeInteger(value: unknown): boolean {
	return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isAgeOrNull(value: unknown): boolean {
	return value === null || isNonNegativeInteger(value);
}
