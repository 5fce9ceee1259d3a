/**
 * Ports of the session proxy: interfaces through which it reaches backend servers and the platform, and the configuration
 * that it receives.
 */
import {type Answer, type BackendRequest, type ServerStatus} from './statements/statement.js';

/** A backend server as listed by service discovery. */
export type BackendServer = {
	readonly id: string;
	readonly service: string;
	readonly address: string;
	readonly failureDomain: string;
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Role that the server claims. During a failover several servers may claim to be the primary. */
	readonly role: 'primary' | 'replica';
	/** Start time in milliseconds since the Unix epoch. A different value under the same id means that the server restarted. */
	readonly startedAtMs: number;
	/** Revision of the discovery entry; increases with each change. */
	readonly revision: number;
	/** Monotonic time in milliseconds since which the entry is missing; undefined while it exists. */
	readonly missingSinceMs?: number;
};

/** Freshness that the reads of a route require. Ages are in milliseconds. */
export type FreshnessRule
	= | {readonly kind: 'primary'}
		| {readonly kind: 'bounded'; readonly maxAgeMs: number}
		| {readonly kind: 'readYourWrites'; readonly maxAgeMs: number};

/** Target service and requirements of the sessions that connect to one database name. */
export type Route = {
	readonly database: string;
	readonly service: string;
	readonly freshness: FreshnessRule;
	/** Timeout of a single statement. */
	readonly timeoutMs: number;
	/** Latency objective of an operation. */
	readonly targetMs: number;
	/** Priority of the route; 0 is the highest. */
	readonly priority: number;
};

export type ServiceSpec = {
	readonly name: string;
	/** Connections that each backend server of the service accepts from all proxies together. */
	readonly maxConnections: number;
	/** Number of replicas that must receive a commit before it is acknowledged. */
	readonly syncReplicas: number;
};

/** Configuration set by the operators. */
export type ProxyConfiguration = {
	readonly version: number;
	readonly routes: ReadonlyMap<string, Route>;
	readonly services: ReadonlyMap<string, ServiceSpec>;
	/** Idle time after which a transaction may be rolled back; 0 disables the limit. */
	readonly transactionIdleMs: number;
};

/** Reason why a connection to a backend server failed or ended. */
export type ConnectionFailure
	= | {readonly kind: 'refused'; readonly message: string}
		| {readonly kind: 'unreachable'; readonly message: string}
		| {readonly kind: 'wrongServer'; readonly message: string}
		| {readonly kind: 'connectionLimit'; readonly message: string}
		| {readonly kind: 'closed'; readonly message: string}
		| {readonly kind: 'protocol'; readonly message: string};

/** Error of a connection to a backend server, with the failed step and the id of the server. */
export class ConnectionError extends Error {
	override readonly name = 'ConnectionError';

	constructor(readonly failure: ConnectionFailure, readonly step: 'connect' | 'execute', readonly server: string) {
		super(`${step} at ${server}: ${failure.message}`);
	}
}

/** Thrown for a request that no connection can carry. Nothing of it was sent. */
export class UnsendableRequestError extends Error {
	override readonly name = 'UnsendableRequestError';
}

/**
 * Checks whether connections to backend servers can carry a request.
 * @returns why they cannot, or undefined if they can
 */
export type CheckRequest = (request: BackendRequest) => string | undefined;

/** An open connection to a backend server. Answers arrive in the order of the requests. */
export type BackendConnection = {
	readonly isOpen: boolean;
	/**
	 * Sends a request and waits for the complete answer.
	 * @throws ConnectionError if the connection ends first
	 * @throws UnsendableRequestError if the request cannot be sent; the connection stays as it was
	 */
	run(request: BackendRequest): Promise<Answer>;
	/** Parses a status answer. Returns undefined if the answer is an error or is malformed. */
	readStatus(answer: Answer): ServerStatus | undefined;
	/** Registers a listener that is called once when either side closes the connection. */
	onClose(listener: () => void): void;
	/** Closes the connection. Requests in flight fail. */
	close(): void;
};

export type BackendDialer = {
	/**
	 * Opens a connection and waits until the backend server has accepted it.
	 * @param timeoutMs - time in which the connection must be open
	 * @throws ConnectionError if the server refuses the connection or the timeout passes
	 */
	dial(server: BackendServer, timeoutMs: number): Promise<BackendConnection>;
	/** Checks whether the host of the server accepts a TCP connection within the timeout. Does not wait for a slot of the server. */
	isReachable(server: BackendServer, timeoutMs: number): Promise<boolean>;
};

/**
 * Asks service discovery whether the list of servers has each server that was registered before the call.
 * @returns false if one is missing or service discovery does not answer
 */
export type ConfirmServers = () => Promise<boolean>;

/** An order of promotion as it is recorded before the request, so that all hosts and the next holder of the promotion lease know of it. */
export type PromotionOrder = {
	readonly service: string;
	readonly server: string;
	/** Highest term before the promotion. The order has taken effect once the server is the primary of a later one. */
	readonly priorTerm: number;
	/** True if further requests for the server may take effect after the first effect. */
	readonly isRepeated: boolean;
};

/** An order of promotion that may still take effect, as the holder of the promotion lease knows it from the record. */
export type RecordedOrder = {
	/** Undefined if the record is unreadable. The order may name any server then. */
	readonly order: PromotionOrder | undefined;
	/** Monotonic time in milliseconds at which this process recorded the order or found its record. No order of earlier holders is recorded later. */
	readonly sinceMs: number;
	/** True if an earlier holder recorded it. */
	readonly isPrior: boolean;
};

/** Tells whether a recorded order that is not settled may make a server the primary of a service. */
export type IsNamedInOrder = (service: string, server: string) => boolean;

/** Lease on the right to request promotions. One process holds it at a time. */
export type PromotionLease = {
	/** Name under which this process holds the lease. */
	readonly holder: string;
	/** Returns the fencing token if this process certainly holds the lease now, and undefined otherwise. */
	fencingToken(): number | undefined;
	/**
	 * Confirms with the platform that this process still holds the lease.
	 * @returns false if the lease is lost or the platform does not answer
	 */
	confirm(signal: AbortSignal): Promise<boolean>;
	/** Returns the recorded orders of a service that were not cleared, of this holder and of earlier ones. */
	recordedOrders(service: string): readonly RecordedOrder[];
	/**
	 * Records an order beside those for other servers, and thereby confirms that this process still holds the lease.
	 * @returns false if the lease is lost or the platform does not answer; the order may be recorded all the same
	 */
	recordOrder(order: PromotionOrder, signal: AbortSignal): Promise<boolean>;
	/** Removes an order that is settled from the record. */
	clearOrder(service: string, order: RecordedOrder, signal: AbortSignal): Promise<void>;
};

/** A request to the platform to promote a server. */
export type PromotionRequest = {
	readonly service: string;
	readonly server: string;
	/** Holder and fencing token of the promotion lease. */
	readonly holder: string;
	readonly token: number;
	/**
	 * Asked once the connection is open. If it is true, the request is written at once, in the same turn of the event loop, and otherwise
	 * never. A lease that was confirmed before the connection could be lost while the process waits for it.
	 */
	readonly mayBeSent: () => Promise<boolean>;
};

/** Result of a promotion request. */
export type PromotionResult
	/** The promotion takes effect later. */
	= | 'accepted'
	/** The server does not run, so that it is not promoted. */
		| 'notRunning'
	/** The platform carried nothing out, because there were too many requests. */
		| 'rejected'
	/** There was no connection, or the request was not allowed to be sent any more. */
		| 'notSent'
	/** The promotion may or may not take effect. */
		| 'unanswered';

/** The platform's promotion service, which makes a backend server the primary of its service. */
export type PromotionService = {
	/** Requests the promotion of a server. */
	requestPromotion(request: PromotionRequest, signal: AbortSignal): Promise<PromotionResult>;
};
