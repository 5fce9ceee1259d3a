/** Faults that tests inject into the platform. */
export type PlatformFaults = {
	/** Delay of every response. */
	readonly slowMs: number;
	/** `refuse` closes every connection immediately; `hang` accepts requests and never responds. */
	readonly down: 'no' | 'refuse' | 'hang';
	/** Number of calls that are executed and whose connection is then closed without a response. */
	readonly loseAnswers: number;
	/** Delay before `GET /hosts` returns a list set by `PUT /hosts`. */
	readonly hostLagMs: number;
	/** Watches are confirmed and report no events, although all other calls are answered. */
	readonly withholdEvents: boolean;
};

export const noPlatformFaults: PlatformFaults = {
	slowMs: 0, down: 'no', loseAnswers: 0, hostLagMs: 0, withholdEvents: false,
};

/** Applies a change to the settings. @throws TypeError if a name is unknown or the type of a value differs from that of the setting */
export function changeFaults(settings: PlatformFaults, change: Readonly<Record<string, unknown>>): PlatformFaults {
	for (const [name, value] of Object.entries(change)) {
		if (!Object.hasOwn(settings, name) || typeof settings[name as keyof PlatformFaults] !== typeof value) {
			throw new TypeError(`${name}: unknown fault setting or wrong type of value`);
		}
	}

	return {...settings, ...change};
}
