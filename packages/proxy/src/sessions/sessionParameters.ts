import {type BackendCommand} from '../statements/statement.js';

/** Parameters that are set on a session or a connection, by name. */
export type SessionParameters = ReadonlyMap<string, string>;

export const noParameters: SessionParameters = new Map();

/**
 * Returns the commands that change the parameters of a connection to those of a session.
 * @param connectionParameters - parameters set on the connection
 * @param sessionParameters - parameters of the session
 */
export function parameterSyncCommands(connectionParameters: SessionParameters, sessionParameters: SessionParameters): BackendCommand[] {
	if (connectionParameters === sessionParameters) {
		return [];
	}

	const hasExtraParameter = [...connectionParameters.keys()].some(name => !sessionParameters.has(name));
	const resetCommands: BackendCommand[] = hasExtraParameter ? [{kind: 'discard'}] : [];
	const keptParameters = hasExtraParameter ? noParameters : connectionParameters;
	const setCommands = [...sessionParameters]
		.filter(([name, value]) => keptParameters.get(name) !== value)
		.map(([name, value]): BackendCommand => ({kind: 'set', name, value}));
	return [...resetCommands, ...setCommands];
}
