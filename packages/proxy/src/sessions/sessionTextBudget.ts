/** Maximum size of the texts that all sessions of a host keep together. */
export const maximumHostTextBytes = 64 * 1024 * 1024;

/** Counts the bytes of the texts that the sessions of a host keep, against one limit. */
export class SessionTextBudget {
	private heldBytes = 0;

	constructor(private readonly limitBytes = maximumHostTextBytes) {}

	/** Size of the texts that all sessions keep. */
	get usedBytes(): number {
		return this.heldBytes;
	}

	/**
	 * Changes what one session holds. Less is always granted.
	 * @param fromBytes - what the session holds at present
	 * @param toBytes - what the session wants to hold
	 * @returns false, without a change, if all sessions together would hold more than the limit
	 */
	resize(fromBytes: number, toBytes: number): boolean {
		const resizedBytes = this.heldBytes - fromBytes + toBytes;
		if (toBytes > fromBytes && resizedBytes > this.limitBytes) {
			return false;
		}

		this.heldBytes = resizedBytes;
		return true;
	}
}
