/**
 * Ports of the session proxy: what its decisions need of backend servers and of the platform.
 */
import {type Answer, type BackendRequest, type ServerStatus} from './statement.js';

/** A backend server as service discovery lists it. */
export type BackendServer = {
	readonly id: string;
	readonly service: string;
	readonly address: string;
	readonly failureDomain: string;
	readonly slots: number;
	readonly leaving: boolean;
	/** The role that it claims. Several may claim to be the primary for a while. */
	readonly role: 'primary' | 'replica';
	/** Epoch milliseconds of its start; tells a restart under the same id. */
	readonly startedAtMs: number;
	/** Revision of its entry; rises with each change. */
	readonly revision: number;
};

export type FreshnessRule
	= | {readonly kind: 'primary'}
		| {readonly kind: 'bounded'; readonly maxAgeMs: number}
		| {readonly kind: 'readYourWrites'; readonly maxAgeMs: number};

/** Where the statements of sessions to one database name go, and what they need. */
export type Route = {
	readonly database: string;
	readonly service: string;
	readonly freshness: FreshnessRule;
	/** Limit of a single statement. */
	readonly timeoutMs: number;
	/** Latency objective of an operation. */
	readonly targetMs: number;
	/** 0 is the most urgent. */
	readonly priority: number;
};

export type ServiceSpec = {
	readonly name: string;
	/** Connections that one of its backend servers takes from all proxies together. */
	readonly maxConnections: number;
	/** Replicas that must have received a commit before it is acknowledged. */
	readonly syncReplicas: number;
};

/** The operators' configuration. */
export type ProxyConfiguration = {
	readonly version: number;
	readonly routes: ReadonlyMap<string, Route>;
	readonly services: ReadonlyMap<string, ServiceSpec>;
	/** A transaction that stays idle for longer may be ended. */
	readonly transactionIdleMs: number;
};

/** How a connection to a backend server ended. */
export type ConnectionFailure
	= | {readonly kind: 'refused'; readonly message: string}
		| {readonly kind: 'unreachable'; readonly message: string}
		| {readonly kind: 'wrongServer'; readonly message: string}
		| {readonly kind: 'connectionLimit'; readonly message: string}
		| {readonly kind: 'closed'; readonly message: string}
		| {readonly kind: 'protocol'; readonly message: string};

/** An error of a connection to a backend server, with the step and the server. */
export class ConnectionError extends Error {
	override readonly name = 'ConnectionError';

	constructor(readonly failure: ConnectionFailure, readonly step: 'connect' | 'execute', readonly server: string) {
		super(`${step} at ${server}: ${failure.message}`);
	}
}

/** An open connection to a backend server. Requests are answered in the order in which they were sent. */
export type BackendConnection = {
	readonly isOpen: boolean;
	/**
	 * Sends a request and waits for its whole answer.
	 * @throws ConnectionError if the connection ends first
	 */
	run(request: BackendRequest): Promise<Answer>;
	/** Reads the row of a status answer; undefined if the answer is an error or cannot be read. */
	readStatus(answer: Answer): ServerStatus | undefined;
	/** Calls the listener once when the connection ends, at either end. */
	onClose(listener: () => void): void;
	/** Ends the connection; requests in flight fail. */
	close(): void;
};

export type BackendDialer = {
	/**
	 * Opens a connection and waits until the backend server has accepted it.
	 * @param timeLimitMs - time in which it must be open
	 * @throws ConnectionError
	 */
	dial(server: BackendServer, timeLimitMs: number): Promise<BackendConnection>;
	/** Tells whether the server's host accepts a connection at all, without waiting for one of its slots. */
	isReachable(server: BackendServer, timeLimitMs: number): Promise<boolean>;
};

/** The right to order promotions, held by one process at a time. */
export type PromotionDuty = {
	/** Name under which this process holds duties. */
	readonly holder: string;
	/** The fencing token if the duty is held for certain at this moment. */
	currentToken(): number | undefined;
	/**
	 * Confirms with the platform that the duty is still held.
	 * @returns false if it is lost; true also if the platform cannot be asked and the lease has not run out
	 */
	confirm(signal: AbortSignal): Promise<boolean>;
};

export type PromotionResult = 'accepted' | 'notRunning' | 'retry';

/** Orders the platform to make a backend server the primary of its service. */
export type PromotionOrders = {
	promote(service: string, serverId: string, fence: {readonly holder: string; readonly token: number}, signal: AbortSignal): Promise<PromotionResult>;
};
