/** Retries that each request adds to the budget. */
const retryShare = 0.1;
/** Retries that are available before any request was made, and the most that can be saved up. */
const groupReserve = 20;
const callerReserve = 3;
/** Callers that are remembered; a forgotten caller starts with its reserve again. */
const maximumCallers = 10_000;

class TokenBucket {
	private tokens: number;

	constructor(private readonly capacity: number) {
		this.tokens = capacity;
	}

	get isEmpty(): boolean {
		return this.tokens < 1;
	}

	deposit(): void {
		this.tokens = Math.min(this.capacity, this.tokens + retryShare);
	}

	withdraw(): void {
		this.tokens--;
	}
}

/** Bounds retries to a share of the requests, per caller and per group, so that a failure is not made worse by them. */
export class RetryBudget {
	private readonly groups = new Map<string, TokenBucket>();
	private readonly callers = new Map<string, TokenBucket>();

	/** Notes a request, which adds to both budgets. */
	noteRequest(group: string, callerKey: string): void {
		this.group(group).deposit();
		this.caller(callerKey).deposit();
	}

	/**
	 * Takes one retry from both budgets.
	 * @returns false when one of them is used up; then nothing is taken
	 */
	tryRetry(group: string, callerKey: string): boolean {
		const buckets = [this.group(group), this.caller(callerKey)];
		if (buckets.some(bucket => bucket.isEmpty)) {
			return false;
		}

		for (const bucket of buckets) {
			bucket.withdraw();
		}

		return true;
	}

	private group(group: string): TokenBucket {
		return bucketOf(this.groups, group, groupReserve);
	}

	private caller(callerKey: string): TokenBucket {
		if (this.callers.size >= maximumCallers && !this.callers.has(callerKey)) {
			const [oldest] = this.callers.keys();
			this.callers.delete(oldest!);
		}

		return bucketOf(this.callers, callerKey, callerReserve);
	}
}

function bucketOf(buckets: Map<string, TokenBucket>, key: string, reserve: number): TokenBucket {
	let bucket = buckets.get(key);
	if (!bucket) {
		bucket = new TokenBucket(reserve);
		buckets.set(key, bucket);
	}

	return bucket;
}
