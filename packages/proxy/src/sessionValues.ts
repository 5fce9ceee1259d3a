import {type BackendCommand, type PreparedStatement} from './statement.js';

/** Values that a session or a connection has set, by name. */
export type SessionValues = ReadonlyMap<string, string>;

export const noValues: SessionValues = new Map();

/** Name of a prepared statement on backend connections: the same shape has the same name for all sessions. */
export function sharedPreparedName(prepared: PreparedStatement): string {
	return `${prepared.mode === 'read' ? 'r' : 'w'}_${prepared.shape}`;
}

/**
 * Lists the commands that give a connection the values of a session.
 * @param held - values set on the connection
 * @param wanted - values of the session
 */
export function commandsToAlign(held: SessionValues, wanted: SessionValues): BackendCommand[] {
	if (held === wanted) {
		return [];
	}

	const hasExtra = [...held.keys()].some(name => !wanted.has(name));
	const start: BackendCommand[] = hasExtra ? [{kind: 'discard'}] : [];
	const kept = hasExtra ? noValues : held;
	const changes = [...wanted]
		.filter(([name, value]) => kept.get(name) !== value)
		.map(([name, value]): BackendCommand => ({kind: 'set', name, value}));
	return [...start, ...changes];
}
