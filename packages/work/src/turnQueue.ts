/** Queue in which callers take turns: one item of each caller, then the next item of the first. */
export class TurnQueue<T> {
	/** Callers in the order of their turns. */
	private readonly callers = new Map<string, Set<T>>();
	private count = 0;

	get length(): number {
		return this.count;
	}

	/**
	 * Counts the items that would be served before a new one of this caller, if all callers only take turns.
	 */
	aheadOf(callerKey: string): number {
		const own = this.callers.get(callerKey)?.size ?? 0;
		return Math.min(this.count, this.callers.size * (own + 1));
	}

	push(callerKey: string, item: T): void {
		let items = this.callers.get(callerKey);
		if (!items) {
			items = new Set();
			this.callers.set(callerKey, items);
		}

		items.add(item);
		this.count++;
	}

	shift(): T | undefined {
		const [entry] = this.callers;
		if (!entry) {
			return undefined;
		}

		const [callerKey, items] = entry;
		const [item] = items;
		this.callers.delete(callerKey);
		items.delete(item!);
		if (items.size > 0) {
			this.callers.set(callerKey, items);
		}

		this.count--;
		return item;
	}

	/** Removes an item that is no longer wanted. */
	remove(callerKey: string, item: T): boolean {
		const items = this.callers.get(callerKey);
		if (!items?.delete(item)) {
			return false;
		}

		if (items.size === 0) {
			this.callers.delete(callerKey);
		}

		this.count--;
		return true;
	}

	* [Symbol.iterator](): Iterator<T> {
		for (const items of this.callers.values()) {
			yield * items;
		}
	}
}
