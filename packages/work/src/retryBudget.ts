/** Number of retries that each request adds to the budget. */
const retriesPerRequest = 0.1;
/** Bucket capacities in retries. Buckets start full. */
const groupCapacity = 20;
const callerCapacity = 3;
/** Maximum number of caller buckets. A caller whose bucket was evicted starts with a full one again. */
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
		this.tokens = Math.min(this.capacity, this.tokens + retriesPerRequest);
	}

	withdraw(): void {
		this.tokens--;
	}
}

/** Limits retries to a share of the requests, per caller and per group, so that retries do not aggravate a failure. */
export class RetryBudget {
	private readonly groupBuckets = new Map<string, TokenBucket>();
	private readonly callerBuckets = new Map<string, TokenBucket>();

	/** Records a request, which adds to the buckets of its group and its caller. */
	recordRequest(group: string, callerKey: string): void {
		this.bucketOfGroup(group).deposit();
		this.bucketOfCaller(callerKey).deposit();
	}

	/**
	 * Takes one retry from the buckets of the group and the caller.
	 * @returns false if one of them is empty, in which case neither is charged
	 */
	tryConsume(group: string, callerKey: string): boolean {
		const buckets = [this.bucketOfGroup(group), this.bucketOfCaller(callerKey)];
		if (buckets.some(bucket => bucket.isEmpty)) {
			return false;
		}

		for (const bucket of buckets) {
			bucket.withdraw();
		}

		return true;
	}

	private bucketOfGroup(group: string): TokenBucket {
		return getOrCreateBucket(this.groupBuckets, group, groupCapacity);
	}

	private bucketOfCaller(callerKey: string): TokenBucket {
		if (this.callerBuckets.size >= maximumCallers && !this.callerBuckets.has(callerKey)) {
			const [oldest] = this.callerBuckets.keys();
			this.callerBuckets.delete(oldest!);
		}

		return getOrCreateBucket(this.callerBuckets, callerKey, callerCapacity);
	}
}

function getOrCreateBucket(buckets: Map<string, TokenBucket>, key: string, capacity: number): TokenBucket {
	let bucket = buckets.get(key);
	if (!bucket) {
		bucket = new TokenBucket(capacity);
		buckets.set(key, bucket);
	}

	return bucket;
}
