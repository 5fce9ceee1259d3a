/** Queue that serves callers in round-robin order, one item of each caller at a time. */
export class RoundRobinQueue<T> {
	/** Items of each caller. The first caller is served next. */
	private readonly itemsByCaller = new Map<string, Set<T>>();
	private count = 0;

	get length(): number {
		return this.count;
	}

	/**
	 * Estimates how many queued items would be served before a new item of the caller, assuming that each caller has an item at each
	 * of its turns.
	 */
	countAhead(callerKey: string): number {
		const callerItemCount = this.itemsByCaller.get(callerKey)?.size ?? 0;
		return Math.min(this.count, this.itemsByCaller.size * (callerItemCount + 1));
	}

	push(callerKey: string, item: T): void {
		let items = this.itemsByCaller.get(callerKey);
		if (!items) {
			items = new Set();
			this.itemsByCaller.set(callerKey, items);
		}

		items.add(item);
		this.count++;
	}

	shift(): T | undefined {
		const [nextCaller] = this.itemsByCaller;
		if (!nextCaller) {
			return undefined;
		}

		const [callerKey, items] = nextCaller;
		const [item] = items;
		this.itemsByCaller.delete(callerKey);
		items.delete(item!);
		if (items.size > 0) {
			this.itemsByCaller.set(callerKey, items);
		}

		this.count--;
		return item;
	}

	/**
	 * Removes an item before its turn.
	 * @returns false if the item is not in the queue
	 */
	remove(callerKey: string, item: T): boolean {
		const items = this.itemsByCaller.get(callerKey);
		if (!items?.delete(item)) {
			return false;
		}

		if (items.size === 0) {
			this.itemsByCaller.delete(callerKey);
		}

		this.count--;
		return true;
	}

	* [Symbol.iterator](): Iterator<T> {
		for (const items of this.itemsByCaller.values()) {
			yield * items;
		}
	}
}
