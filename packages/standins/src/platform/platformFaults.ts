/** Switches by which tests cause failures of the platform. */
export type PlatformFaults = {
	/** Delay of every answer. */
	readonly slowMs: number;
	/** `refuse` closes every connection at once; `hang` never answers. */
	readonly down: 'no' | 'refuse' | 'hang';
	/** Number of answers replaced by a closed connection, after their effect. */
	readonly loseAnswers: number;
	/** Time by which `GET /hosts` lags behind `PUT /hosts`. */
	readonly hostLagMs: number;
};

export const noPlatformFaults: PlatformFaults = {
	slowMs: 0, down: 'no', loseAnswers: 0, hostLagMs: 0,
};

/** Applies a change of switches. @throws TypeError if a name is unknown or a value has another type than the present one */
export function changeFaults(present: PlatformFaults, change: Readonly<Record<string, unknown>>): PlatformFaults {
	for (const [name, value] of Object.entries(change)) {
		if (!Object.hasOwn(present, name) || typeof present[name as keyof PlatformFaults] !== typeof value) {
			throw new TypeError(`${name}: unknown switch or wrong type of value`);
		}
	}

	return {...present, ...change};
}
