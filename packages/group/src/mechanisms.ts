/** Safety mechanisms that tests switch off one at a time, to show that their checks detect the loss of each. */
export type Mechanisms = {
	/** Acknowledge only what a majority holds in its term. */
	readonly majorityWait: boolean;
	/** Answer a commit position only after a majority confirmed its term. */
	readonly majorityProbe: boolean;
	/** Promote only after a majority accepted the fence. */
	readonly majorityFence: boolean;
	/** Count age samples only from the time at which a majority confirmed their term. */
	readonly confirmedSamples: boolean;
	/** Count a database towards a majority only if it has not lost its state. */
	readonly stateRequired: boolean;
};

export const allMechanisms: Mechanisms = {
	majorityWait: true,
	majorityProbe: true,
	majorityFence: true,
	confirmedSamples: true,
	stateRequired: true,
};
