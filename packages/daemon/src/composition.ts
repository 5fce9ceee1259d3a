import {readFileSync} from 'node:fs';
import {
	container, instanceCachingFactory, type DependencyContainer, type InjectionToken,
} from 'tsyringe';
import {CallerServer, type CallerUsers} from '@crocusloom/callers';
import {ConfigurationStore, EtcdKeyValueStore, HttpHostList} from '@crocusloom/control';
import {GroupStateDirectory, GroupMonitors, SqlDatabaseControl} from '@crocusloom/group';
import {
	HostListReader, MembershipService, PeerTransport, rendezvousOrder,
} from '@crocusloom/membership';
import {systemClock, systemRandom} from '@crocusloom/model';
import {
	Holder, TcpBackendDialer, WorkChannelPool, WorkDispatcher, WorkServer,
} from '@crocusloom/work';
import {createLogger} from './logging.js';
import {MergedConfigurationSource} from './mergedConfigurationSource.js';
import {PromMetrics} from './metrics.js';
import {type Settings} from './settings.js';
import {tokens} from './tokens.js';
import {createTracer, type TracerHandle} from './tracing.js';

/**
 * Source of the configuration revision that heartbeats report. The constructor of the configuration store reads the identity
 * of this host from the membership, so the membership is created first and gets the revision through this object.
 */
type RevisionSource = {revision: () => number};

const revisionSourceToken = Symbol('RevisionSource') as InjectionToken<RevisionSource>;
const tracerHandleToken = Symbol('TracerHandle') as InjectionToken<TracerHandle>;

/**
 * Registers every part of the process.
 * @param settings - validated settings
 * @param signal - aborts the tasks of the process
 * @returns a child of the global container, from which `Daemon` can be resolved
 */
export function createContainer(settings: Settings, signal: AbortSignal): DependencyContainer {
	const childContainer = container.createChildContainer();
	childContainer.register(tokens.settings, {useValue: settings});
	childContainer.register(tokens.signal, {useValue: signal});
	registerAdapters(childContainer);
	registerMembership(childContainer);
	registerControl(childContainer);
	registerGroup(childContainer);
	registerWork(childContainer);
	registerCallers(childContainer);
	return childContainer;
}

/** Registers a part that is created when it is first resolved, and only once. */
function registerSingleton<T>(childContainer: DependencyContainer, token: InjectionToken<T>, create: (dependencies: DependencyContainer) => T): void {
	childContainer.register(token, {useFactory: instanceCachingFactory(create)});
}

function registerAdapters(childContainer: DependencyContainer): void {
	const settings = childContainer.resolve(tokens.settings);
	childContainer.register(tokens.clock, {useValue: systemClock});
	childContainer.register(tokens.random, {useValue: systemRandom});
	registerSingleton(childContainer, tokens.log, () => createLogger(settings));
	registerSingleton(childContainer, tokens.promMetrics, () => new PromMetrics());
	registerSingleton(childContainer, tokens.metrics, dependencies => dependencies.resolve(tokens.promMetrics));
	registerSingleton(childContainer, tracerHandleToken, () => createTracer(settings));
	registerSingleton(childContainer, tokens.tracer, dependencies => dependencies.resolve(tracerHandleToken).tracer);
	registerSingleton(childContainer, tokens.keyValueStore, dependencies => new EtcdKeyValueStore({
		url: settings.platform.url,
		callTimeoutMs: settings.platform.timeoutMs,
		clock: dependencies.resolve(tokens.clock),
		random: dependencies.resolve(tokens.random),
	}));
	registerSingleton(childContainer, tokens.hostList, dependencies => new HttpHostList({
		url: settings.platform.url, clock: dependencies.resolve(tokens.clock), log: dependencies.resolve(tokens.log),
	}));
	registerSingleton(childContainer, tokens.dialer, () => new TcpBackendDialer({
		user: settings.backend.user,
		databaseName: settings.backend.database,
		password: settings.backend.password,
		applicationName: 'crocusloom',
	}));
}

function registerMembership(childContainer: DependencyContainer): void {
	const {host, peers, operators} = childContainer.resolve(tokens.settings);
	registerSingleton(childContainer, PeerTransport, dependencies => new PeerTransport({
		self: host.name,
		listen: {address: peers.address, port: peers.port},
		resolveAddress: name => dependencies.resolve(MembershipService).resolveAddress(name),
		clock: dependencies.resolve(tokens.clock),
		log: dependencies.resolve(tokens.log),
		metrics: dependencies.resolve(tokens.metrics),
	}));
	registerSingleton(childContainer, MembershipService, dependencies => new MembershipService({
		self: {
			host: host.name,
			incarnation: dependencies.resolve(tokens.clock).wallMs(),
			failureDomain: host.failureDomain,
			address: peers.address,
			peerPort: peers.port,
			workPort: peers.workPort,
			operatorPort: operators.port,
		},
		seeds: peers.seeds.map(seed => parseSeed(seed)),
		peers: dependencies.resolve(PeerTransport),
		clock: dependencies.resolve(tokens.clock),
		random: dependencies.resolve(tokens.random),
		log: dependencies.resolve(tokens.log),
		metrics: dependencies.resolve(tokens.metrics),
		configurationRevision: () => dependencies.resolve(revisionSourceToken).revision(),
	}));
	registerSingleton(childContainer, HostListReader, dependencies => new HostListReader({
		hostList: dependencies.resolve(tokens.hostList),
		membership: dependencies.resolve(MembershipService),
		peers: dependencies.resolve(PeerTransport),
		clock: dependencies.resolve(tokens.clock),
		random: dependencies.resolve(tokens.random),
		log: dependencies.resolve(tokens.log),
		metrics: dependencies.resolve(tokens.metrics),
	}));
}

function parseSeed(seed: string): {readonly address: string; readonly port: number} {
	const [address, port] = seed.split(':');
	return {address: address!, port: Number(port)};
}

function registerControl(childContainer: DependencyContainer): void {
	const {host} = childContainer.resolve(tokens.settings);
	childContainer.register(revisionSourceToken, {useValue: {revision: () => 0}});
	registerSingleton(childContainer, ConfigurationStore, dependencies => {
		const store = new ConfigurationStore({
			deployment: host.deployment,
			keyValueStore: dependencies.resolve(tokens.keyValueStore),
			peers: dependencies.resolve(PeerTransport),
			membership: dependencies.resolve(MembershipService),
			clock: dependencies.resolve(tokens.clock),
			random: dependencies.resolve(tokens.random),
			log: dependencies.resolve(tokens.log),
			rendezvousOrder,
		});
		dependencies.resolve(revisionSourceToken).revision = () => store.revision();
		return store;
	});
	registerSingleton(childContainer, tokens.configuration, dependencies =>
		new MergedConfigurationSource(dependencies.resolve(ConfigurationStore), dependencies.resolve(HostListReader), dependencies.resolve(tokens.signal)));
}

function registerGroup(childContainer: DependencyContainer): void {
	const {host} = childContainer.resolve(tokens.settings);
	registerSingleton(childContainer, GroupMonitors, dependencies => new GroupMonitors({
		clock: dependencies.resolve(tokens.clock),
		random: dependencies.resolve(tokens.random),
		membership: dependencies.resolve(MembershipService),
		configuration: dependencies.resolve(tokens.configuration),
		createControl: database => new SqlDatabaseControl({
			database: database.name,
			address: database.address,
			port: database.port,
			dialer: dependencies.resolve(tokens.dialer),
			clock: dependencies.resolve(tokens.clock),
			random: dependencies.resolve(tokens.random),
			metrics: dependencies.resolve(tokens.metrics),
		}),
		deployment: host.deployment,
		store: dependencies.resolve(tokens.keyValueStore),
		settleDatabases: async (group, generation, signal) => dependencies.resolve(ConfigurationStore).settleDatabases(group, generation, signal),
		log: dependencies.resolve(tokens.log),
	}));
	registerSingleton(childContainer, GroupStateDirectory, dependencies => new GroupStateDirectory({
		clock: dependencies.resolve(tokens.clock),
		membership: dependencies.resolve(MembershipService),
		peers: dependencies.resolve(PeerTransport),
		localMonitors: dependencies.resolve(GroupMonitors),
		log: dependencies.resolve(tokens.log),
	}));
}

function registerWork(childContainer: DependencyContainer): void {
	const {host} = childContainer.resolve(tokens.settings);
	registerSingleton(childContainer, Holder, dependencies => new Holder({
		clock: dependencies.resolve(tokens.clock),
		random: dependencies.resolve(tokens.random),
		dialer: dependencies.resolve(tokens.dialer),
		groupViews: dependencies.resolve(GroupMonitors),
		metrics: dependencies.resolve(tokens.metrics),
		tracer: dependencies.resolve(tokens.tracer),
	}, dependencies.resolve(tokens.configuration), dependencies.resolve(tokens.signal)));
	registerSingleton(childContainer, WorkServer, dependencies => new WorkServer(dependencies.resolve(Holder), host.name));
	registerSingleton(childContainer, WorkChannelPool, dependencies => new WorkChannelPool({
		clock: dependencies.resolve(tokens.clock),
		tracer: dependencies.resolve(tokens.tracer),
	}, dependencies.resolve(tokens.signal)));
	registerSingleton(childContainer, WorkDispatcher, dependencies => new WorkDispatcher({
		clock: dependencies.resolve(tokens.clock),
		random: dependencies.resolve(tokens.random),
		configuration: dependencies.resolve(tokens.configuration),
		directory: dependencies.resolve(GroupStateDirectory),
		membership: dependencies.resolve(MembershipService),
		metrics: dependencies.resolve(tokens.metrics),
	}, dependencies.resolve(Holder), dependencies.resolve(WorkChannelPool)));
}

function registerCallers(childContainer: DependencyContainer): void {
	const {callers, users} = childContainer.resolve(tokens.settings);
	registerSingleton(childContainer, CallerServer, dependencies => new CallerServer({
		address: callers.address,
		port: callers.port,
		tls: readTls(callers),
		users: toCallerUsers(callers.authentication, users),
		limits: {maximumCallers: callers.maximumCallers},
		configuration: dependencies.resolve(tokens.configuration),
		dispatcher: dependencies.resolve(WorkDispatcher),
		directory: dependencies.resolve(GroupStateDirectory),
		clock: dependencies.resolve(tokens.clock),
		random: dependencies.resolve(tokens.random),
		log: dependencies.resolve(tokens.log),
		metrics: dependencies.resolve(tokens.metrics),
		tracer: dependencies.resolve(tokens.tracer),
		membership: dependencies.resolve(MembershipService),
		peers: dependencies.resolve(PeerTransport),
	}));
}

function readTls({tlsCertificateFile, tlsKeyFile}: Settings['callers']): {readonly key: string; readonly certificate: string} | undefined {
	if (!tlsCertificateFile || !tlsKeyFile) {
		return undefined;
	}

	return {key: readFileSync(tlsKeyFile, 'utf8'), certificate: readFileSync(tlsCertificateFile, 'utf8')};
}

function toCallerUsers(method: Settings['callers']['authentication'], users: Settings['users']): CallerUsers | undefined {
	const passwords = new Map(Object.entries(users));
	return method === 'trust' || passwords.size === 0 ? undefined : {method: method ?? 'scram-sha-256', passwords};
}
