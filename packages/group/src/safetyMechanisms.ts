/** Safety mechanisms. Tests disable them one at a time to show that their checks detect the violation that each mechanism prevents. */
export type SafetyMechanisms = {
	/** Acknowledge a write only after a majority holds it within its term. */
	readonly majorityWait: boolean;
	/** Return a commit position only after a majority has confirmed its term. */
	readonly majorityProbe: boolean;
	/** Promote only after a majority has accepted the fence. */
	readonly majorityFence: boolean;
	/** Measure the age of data only from the time at which a majority confirmed the term of the position. */
	readonly confirmedSamples: boolean;
	/** Count a database towards a majority only if it still has its state. */
	readonly stateRequired: boolean;
	/** Act only on terms of the list of databases that the host has, or of earlier ones. */
	readonly listGenerations: boolean;
};

export const allSafetyMechanisms: SafetyMechanisms = {
	majorityWait: true,
	majorityProbe: true,
	majorityFence: true,
	confirmedSamples: true,
	stateRequired: true,
	listGenerations: true,
};
