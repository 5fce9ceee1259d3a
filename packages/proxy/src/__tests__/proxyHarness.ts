import {type Clock, noopMetrics, systemClock} from '@crocusloom/model';
import {RecordingLogger, waitUntil} from '@crocusloom/model/testing';
import {expect} from 'chai';
import {
	type BackendDialer, type BackendServer, type ConfirmServers, type FreshnessRule, type IsNamedInOrder, type PromotionService, type ProxyConfiguration, type Route,
} from '../ports.js';
import {type ServiceRecords} from '../servers/serviceRecords.js';
import {type ServiceView} from '../servers/serviceView.js';
import {type Session} from '../sessions/session.js';
import {SessionProxy} from '../sessions/sessionProxy.js';
import {type Answer, type ErrorKind, type Statement} from '../statements/statement.js';
import {MemoryService, MemoryServiceRecords, promotionServiceOf} from '../testing/index.js';

const freshnessRules: Readonly<Record<string, FreshnessRule>> = {
	strict: {kind: 'primary'},
	bounded: {kind: 'bounded', maxAgeMs: 1500},
	own: {kind: 'readYourWrites', maxAgeMs: 2500},
};

export type Harness = {
	readonly service: MemoryService;
	readonly proxy: SessionProxy;
	readonly log: RecordingLogger;
	readonly view: ServiceView;
	readonly configure: (version: number, databases: readonly string[]) => void;
	readonly stop: () => void;
};

type ProxyOptions = {
	readonly confirmServers?: ConfirmServers;
	/** Tells which servers recorded orders name; none if it is omitted. */
	readonly isNamedInOrder?: IsNamedInOrder;
	/** Dials the servers; the service itself if it is omitted. */
	readonly dialer?: BackendDialer;
	/** Records of the services; if they are omitted, an earlier holder of the promotion lease has reached all servers that run. */
	readonly serviceRecords?: ServiceRecords;
	/** Servers that service discovery lists; all if it is omitted. */
	readonly servers?: readonly BackendServer[];
};

/** Starts a proxy in front of an in-memory service and waits until the primary is known. */
export async function startProxy(service = new MemoryService('ledger', ['a', 'b', 'c']), clock: Clock = systemClock, options: ProxyOptions = {}): Promise<Harness> {
	const harness = createProxy(service, clock, options);
	await waitUntil(() => harness.view.currentPrimary !== undefined);
	return harness;
}

/** Starts a proxy in front of an in-memory service, which may lack a primary. */
export function createProxy(service: MemoryService, clock: Clock = systemClock, options: ProxyOptions = {}): Harness {
	const {
		confirmServers = async () => true, isNamedInOrder = () => false, dialer = service, servers = service.listings(), serviceRecords = recordsOf(service),
	} = options;
	const log = new RecordingLogger();
	const lifetime = new AbortController();
	const proxy = new SessionProxy({
		checkRequest: () => undefined,
		clock, random: {next: () => 0.5}, log, metrics: noopMetrics, dialer, confirmServers, isNamedInOrder, serviceRecords, failureDomain: 'a', configurationBoundMs: 3000,
	});
	const configure = (version: number, databases: readonly string[]) => {
		const routes = databases.map((database): [string, Route] => [database, {
			database, service: service.name, freshness: freshnessRules[database]!, timeoutMs: 600, targetMs: 400, priority: 0,
		}]);
		const configuration: ProxyConfiguration = {
			version,
			routes: new Map(routes),
			services: new Map([[service.name, {name: service.name, maxConnections: service.maxConnections, syncReplicas: service.syncReplicas}]]),
			transactionIdleMs: 3000,
		};
		proxy.routes.apply(configuration);
	};

	configure(1, Object.keys(freshnessRules));
	proxy.setServers(servers);
	proxy.run(lifetime.signal).catch(() => undefined);
	const view = proxy.services[0]!;
	return {
		service,
		proxy,
		log,
		view,
		configure,
		stop() {
			lifetime.abort(new Error('the test ends'));
			proxy.close();
		},
	};
}

const recordsByService = new WeakMap<MemoryService, MemoryServiceRecords>();

/** Returns the records that all hosts of a service share, in which the servers that run have been reached. */
function recordsOf(service: MemoryService): ServiceRecords {
	const records = recordsByService.get(service) ?? new MemoryServiceRecords();
	recordsByService.set(service, records);
	records.addReached(service.name, service.servers.filter(({isRunning}) => isRunning).map(({id}) => id));
	return records;
}

/**
 * Creates a promotion service that promotes servers at once.
 * @param responsesToLose - number of requests whose response is lost
 */
export function createPromotionService(service: MemoryService, responsesToLose = 0): PromotionService {
	let remainingLosses = responsesToLose;
	return promotionServiceOf(({server, token}) => {
		if (service.server(server).isUnresponsive) {
			return 'notRunning';
		}

		service.promote(server, token);
		remainingLosses--;
		return remainingLosses >= 0 ? 'unanswered' : 'accepted';
	});
}

/** Waits until a write succeeds. A server that was silent is suspected until it has answered again, and writes are refused meanwhile. */
export async function waitUntilServed({proxy}: Harness): Promise<void> {
	let lastError: string | undefined = 'no write was tried';
	for (let attempt = 0; attempt < 20 && lastError !== undefined; attempt++) {
		await systemClock.sleep(100);
		lastError = await errorOf(proxy.openSession('strict', 'u'), 'WRITE a 1');
	}

	expect(lastError).to.equal(undefined);
}

let requestCount = 0;

/** Runs a statement, given as a text of the platform's protocol, on a session. */
export async function run(session: Session, text: string): Promise<Answer> {
	requestCount++;
	return session.run(parse(`q${requestCount}`, text));
}

/** Runs a statement and returns the kind of its error, or undefined on success. */
export async function errorOf(session: Session, text: string): Promise<ErrorKind | undefined> {
	const {error} = await run(session, text);
	return error?.kind;
}

/** Creates a clock that runs with the system's clock, and that tests advance by raising `offsetMs`. */
export function advanceableClock(): Clock & {offsetMs: number} {
	return {
		...systemClock,
		offsetMs: 0,
		nowMs() {
			return systemClock.nowMs() + this.offsetMs;
		},
		wallMs() {
			return systemClock.wallMs() + this.offsetMs;
		},
	};
}

/** Creates a clock that tests advance by setting `timeMs`. Its `sleep` resolves at once. */
export function manualClock() {
	return {
		timeMs: 0,
		nowMs() {
			return this.timeMs;
		},
		wallMs() {
			return this.timeMs;
		},
		async sleep() {
			await Promise.resolve();
		},
	};
}

function parse(id: string, text: string): Statement {
	const [verb, ...words] = text.split(' ');
	const statements: Readonly<Record<string, () => Statement>> = {
		BEGIN: () => ({kind: 'begin', id, readOnly: words[0] === 'READ'}),
		COMMIT: () => ({kind: 'commit', id}),
		ROLLBACK: () => ({kind: 'rollback', id}),
		READ: () => ({
			kind: 'data', id, mode: 'read', text,
		}),
		WRITE: () => ({
			kind: 'data', id, mode: 'write', text,
		}),
		SET: () => ({
			kind: 'set', id, name: words[0]!, value: words[1]!,
		}),
		PREPARE: () => ({
			kind: 'prepare', id, name: words[0]!, mode: words[1] === 'READ' ? 'read' : 'write', shape: words[2]!,
		}),
		EXECUTE: () => ({
			kind: 'execute', id, name: words[0]!, argumentsText: words.slice(1).join(' '),
		}),
	};
	return statements[verb!]!();
}
