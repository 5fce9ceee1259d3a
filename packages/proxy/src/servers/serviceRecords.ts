/** What holders of the promotion lease have recorded about a service for all hosts. */
export type ServiceRecord = {
	/** Highest term that was recorded because a replica that may not know it was to be resumed; 0 if there is none. */
	readonly term: number;
	/** Ids of servers that a holder of the promotion lease has reached, oldest first. Those that left longer ago are missing. */
	readonly reachedServers: readonly string[];
};

export const emptyServiceRecord: ServiceRecord = {term: 0, reachedServers: []};

/** Records of all services, which each host follows together with the list of servers. */
export type ServiceRecords = {
	/** Returns the record of a service as this host knows it. It is as old as the list of servers. */
	recordOf(service: string): ServiceRecord;
	/** Tells whether the platform has lost a part of the record that this host knew, so that it has to be written again. */
	isPartlyLost(service: string): boolean;
	/**
	 * Reads a record. Knows all changes that were made before the call.
	 * @returns undefined if the platform does not answer
	 */
	read(service: string, signal: AbortSignal): Promise<ServiceRecord | undefined>;
	/**
	 * Changes a record while this process holds the promotion lease.
	 * @param change - returns the new record for the present one
	 * @param token - fencing token of the promotion lease
	 * @returns false if the lease is lost or the platform does not answer; the change may be made all the same
	 */
	change(service: string, change: (record: ServiceRecord) => ServiceRecord, token: number, signal: AbortSignal): Promise<boolean>;
};
