import {systemClock} from '@crocusloom/model';
import {type PromotionLease, type PromotionOrder, type RecordedOrder} from '../ports.js';

type MemoryLeaseOptions = {
	/** Returns the fencing token; 7 if it is omitted. */
	readonly fencingToken?: () => number | undefined;
	/** Confirms the lease, also while an order is recorded; it is confirmed while there is a token if it is omitted. */
	readonly confirm?: () => Promise<boolean>;
	/** Returns the monotonic time; that of the system if it is omitted. */
	readonly nowMs?: () => number;
};

/** Promotion lease whose records are in memory. */
export class MemoryLease implements PromotionLease {
	/** Recorded orders, oldest first. */
	readonly orders: PromotionOrder[] = [];
	/** Services for which an order was cleared. */
	readonly cleared: string[] = [];
	private readonly recorded = new Map<string, readonly RecordedOrder[]>();

	constructor(readonly holder: string, private readonly options: MemoryLeaseOptions = {}) {}

	fencingToken(): number | undefined {
		return this.options.fencingToken ? this.options.fencingToken() : 7;
	}

	async confirm(): Promise<boolean> {
		return this.options.confirm ? this.options.confirm() : this.fencingToken() !== undefined;
	}

	recordedOrders(service: string): readonly RecordedOrder[] {
		return this.recorded.get(service) ?? [];
	}

	/** Adds an order of an earlier holder, or an unreadable record. */
	addPrior(service: string, order: PromotionOrder | undefined, sinceMs: number): void {
		this.recorded.set(service, [...this.recordedOrders(service), {order, sinceMs, isPrior: true}]);
	}

	async recordOrder(order: PromotionOrder): Promise<boolean> {
		const isHeld = await this.confirm();
		if (isHeld) {
			this.orders.push(order);
			const others = this.recordedOrders(order.service).filter(recorded => recorded.order?.server !== order.server);
			this.recorded.set(order.service, [...others, {order, sinceMs: this.nowMs(), isPrior: false}]);
		}

		return isHeld;
	}

	async clearOrder(service: string, order: RecordedOrder): Promise<void> {
		this.recorded.set(service, this.recordedOrders(service).filter(recorded => recorded !== order));
		this.cleared.push(service);
	}

	private nowMs(): number {
		return (this.options.nowMs ?? systemClock.nowMs)();
	}
}
