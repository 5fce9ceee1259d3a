import {type PriorOrder, type PromotionLease, type PromotionOrder} from '../ports.js';

type MemoryLeaseOptions = {
	/** Returns the fencing token; 7 if it is omitted. */
	readonly fencingToken?: () => number | undefined;
	/** Confirms the lease, also while an order is recorded; it is confirmed while there is a token if it is omitted. */
	readonly confirm?: () => Promise<boolean>;
};

/** Promotion lease whose records are in memory. */
export class MemoryLease implements PromotionLease {
	/** Recorded orders, oldest first. */
	readonly orders: PromotionOrder[] = [];
	/** Services whose records were cleared. */
	readonly cleared: string[] = [];
	/** Orders of earlier holders by service. */
	readonly priorOrders = new Map<string, PriorOrder>();

	constructor(readonly holder: string, private readonly options: MemoryLeaseOptions = {}) {}

	fencingToken(): number | undefined {
		return this.options.fencingToken ? this.options.fencingToken() : 7;
	}

	async confirm(): Promise<boolean> {
		return this.options.confirm ? this.options.confirm() : this.fencingToken() !== undefined;
	}

	priorOrder(service: string): PriorOrder | undefined {
		return this.priorOrders.get(service);
	}

	async recordOrder(order: PromotionOrder): Promise<boolean> {
		const isHeld = await this.confirm();
		if (isHeld) {
			this.orders.push(order);
		}

		return isHeld;
	}

	async clearOrder(service: string): Promise<void> {
		this.priorOrders.delete(service);
		this.cleared.push(service);
	}
}
