import {emptyServiceRecord, type ServiceRecord, type ServiceRecords} from '../servers/serviceRecords.js';

/** Records of services that several hosts share in memory. */
export class MemoryServiceRecords implements ServiceRecords {
	/** If false, the platform answers no call, and no record changes. */
	isAvailable = true;
	private readonly records = new Map<string, ServiceRecord>();

	recordOf(service: string): ServiceRecord {
		return this.records.get(service) ?? emptyServiceRecord;
	}

	isPartlyLost(): boolean {
		return false;
	}

	async read(service: string): Promise<ServiceRecord | undefined> {
		return this.isAvailable ? this.recordOf(service) : undefined;
	}

	async change(service: string, change: (record: ServiceRecord) => ServiceRecord): Promise<boolean> {
		if (this.isAvailable) {
			this.records.set(service, change(this.recordOf(service)));
		}

		return this.isAvailable;
	}

	/** Records servers as reached by an earlier holder of the promotion lease. */
	addReached(service: string, ids: readonly string[]): void {
		const record = this.recordOf(service);
		this.records.set(service, {...record, reachedServers: [...new Set([...record.reachedServers, ...ids])]});
	}
}
