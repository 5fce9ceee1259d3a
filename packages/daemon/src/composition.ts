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
import {LeavingOverlay} from './leavingOverlay.js';
import {createLog} from './logging.js';
import {PromMetrics} from './metrics.js';
import {type Settings} from './settings.js';
import {tokens} from './tokens.js';
import {createTracer, type RunningTracer} from './tracing.js';

/**
 * Revision that heartbeats report. The membership exists before the configuration store, whose constructor asks it who
 * this host is.
 */
type RevisionReport = {current: () => number};

const configurationRevision = Symbol('RevisionReport') as InjectionToken<RevisionReport>;
const runningTracer = Symbol('RunningTracer') as InjectionToken<RunningTracer>;

/**
 * Registers every part of the process.
 * @param settings - checked settings
 * @param signal - ends the process's tasks
 * @returns a container of its own, from which `Daemon` can be resolved
 */
export function createContainer(settings: Settings, signal: AbortSignal): DependencyContainer {
	const child = container.createChildContainer();
	child.register(tokens.settings, {useValue: settings});
	child.register(tokens.signal, {useValue: signal});
	registerAdapters(child);
	registerMembership(child);
	registerControl(child);
	registerGroup(child);
	registerWork(child);
	registerCallers(child);
	return child;
}

/** Registers a part that is made once, when it is first needed. */
function once<T>(child: DependencyContainer, token: InjectionToken<T>, create: (from: DependencyContainer) => T): void {
	child.register(token, {useFactory: instanceCachingFactory(create)});
}

function registerAdapters(child: DependencyContainer): void {
	const settings = child.resolve(tokens.settings);
	child.register(tokens.clock, {useValue: systemClock});
	child.register(tokens.random, {useValue: systemRandom});
	once(child, tokens.log, () => createLog(settings));
	once(child, tokens.promMetrics, () => new PromMetrics());
	once(child, tokens.metrics, from => from.resolve(tokens.promMetrics));
	once(child, runningTracer, () => createTracer(settings));
	once(child, tokens.tracer, from => from.resolve(runningTracer).tracer);
	once(child, tokens.keyValueStore, from => new EtcdKeyValueStore({
		url: settings.platform.url,
		callTimeoutMs: settings.platform.timeoutMs,
		clock: from.resolve(tokens.clock),
		random: from.resolve(tokens.random),
	}));
	once(child, tokens.hostList, from => new HttpHostList({url: settings.platform.url, clock: from.resolve(tokens.clock)}));
	once(child, tokens.dialer, () => new TcpBackendDialer({
		user: settings.backend.user,
		databaseName: settings.backend.database,
		password: settings.backend.password,
		applicationName: 'crocusloom',
	}));
}

function registerMembership(child: DependencyContainer): void {
	const {host, peers, operators} = child.resolve(tokens.settings);
	once(child, PeerTransport, from => new PeerTransport({
		self: host.name,
		listen: {address: peers.address, port: peers.port},
		resolveAddress: name => from.resolve(MembershipService).resolveAddress(name),
		clock: from.resolve(tokens.clock),
		metrics: from.resolve(tokens.metrics),
	}));
	once(child, MembershipService, from => new MembershipService({
		self: {
			host: host.name,
			incarnation: from.resolve(tokens.clock).wallMs(),
			failureDomain: host.failureDomain,
			address: peers.address,
			peerPort: peers.port,
			workPort: peers.workPort,
			operatorPort: operators.port,
		},
		seeds: peers.seeds.map(seed => parseSeed(seed)),
		peers: from.resolve(PeerTransport),
		clock: from.resolve(tokens.clock),
		random: from.resolve(tokens.random),
		log: from.resolve(tokens.log),
		metrics: from.resolve(tokens.metrics),
		configurationRevision: () => from.resolve(configurationRevision).current(),
	}));
	once(child, HostListReader, from => new HostListReader({
		hostList: from.resolve(tokens.hostList),
		membership: from.resolve(MembershipService),
		peers: from.resolve(PeerTransport),
		clock: from.resolve(tokens.clock),
		random: from.resolve(tokens.random),
		log: from.resolve(tokens.log),
		metrics: from.resolve(tokens.metrics),
	}));
}

function parseSeed(seed: string): {readonly address: string; readonly port: number} {
	const [address, port] = seed.split(':');
	return {address: address!, port: Number(port)};
}

function registerControl(child: DependencyContainer): void {
	const {host} = child.resolve(tokens.settings);
	child.register(configurationRevision, {useValue: {current: () => 0}});
	once(child, ConfigurationStore, from => {
		const store = new ConfigurationStore({
			deployment: host.deployment,
			keyValueStore: from.resolve(tokens.keyValueStore),
			peers: from.resolve(PeerTransport),
			membership: from.resolve(MembershipService),
			clock: from.resolve(tokens.clock),
			random: from.resolve(tokens.random),
			log: from.resolve(tokens.log),
			rendezvousOrder,
		});
		from.resolve(configurationRevision).current = () => store.revision();
		return store;
	});
	once(child, tokens.configuration, from =>
		new LeavingOverlay(from.resolve(ConfigurationStore), from.resolve(HostListReader), from.resolve(tokens.signal)));
}

function registerGroup(child: DependencyContainer): void {
	const {host} = child.resolve(tokens.settings);
	once(child, GroupMonitors, from => new GroupMonitors({
		clock: from.resolve(tokens.clock),
		random: from.resolve(tokens.random),
		membership: from.resolve(MembershipService),
		configuration: from.resolve(tokens.configuration),
		createControl: database => new SqlDatabaseControl({
			database: database.name,
			address: database.address,
			port: database.port,
			dialer: from.resolve(tokens.dialer),
			clock: from.resolve(tokens.clock),
			random: from.resolve(tokens.random),
			metrics: from.resolve(tokens.metrics),
		}),
		deployment: host.deployment,
		store: from.resolve(tokens.keyValueStore),
		log: from.resolve(tokens.log),
	}));
	once(child, GroupStateDirectory, from => new GroupStateDirectory({
		clock: from.resolve(tokens.clock),
		membership: from.resolve(MembershipService),
		peers: from.resolve(PeerTransport),
		localMonitors: from.resolve(GroupMonitors),
	}));
}

function registerWork(child: DependencyContainer): void {
	const {host} = child.resolve(tokens.settings);
	once(child, Holder, from => new Holder({
		clock: from.resolve(tokens.clock),
		random: from.resolve(tokens.random),
		dialer: from.resolve(tokens.dialer),
		groupViews: from.resolve(GroupMonitors),
		metrics: from.resolve(tokens.metrics),
		tracer: from.resolve(tokens.tracer),
	}, from.resolve(tokens.configuration), from.resolve(tokens.signal)));
	once(child, WorkServer, from => new WorkServer(from.resolve(Holder), host.name));
	once(child, WorkChannelPool, from => new WorkChannelPool({
		clock: from.resolve(tokens.clock),
		tracer: from.resolve(tokens.tracer),
	}, from.resolve(tokens.signal)));
	once(child, WorkDispatcher, from => new WorkDispatcher({
		clock: from.resolve(tokens.clock),
		random: from.resolve(tokens.random),
		configuration: from.resolve(tokens.configuration),
		directory: from.resolve(GroupStateDirectory),
		membership: from.resolve(MembershipService),
		metrics: from.resolve(tokens.metrics),
	}, from.resolve(Holder), from.resolve(WorkChannelPool)));
}

function registerCallers(child: DependencyContainer): void {
	const {callers, users} = child.resolve(tokens.settings);
	once(child, CallerServer, from => new CallerServer({
		address: callers.address,
		port: callers.port,
		tls: readTls(callers),
		users: toCallerUsers(callers.authentication, users),
		limits: {maximumCallers: callers.maximumCallers},
		configuration: from.resolve(tokens.configuration),
		dispatcher: from.resolve(WorkDispatcher),
		directory: from.resolve(GroupStateDirectory),
		clock: from.resolve(tokens.clock),
		random: from.resolve(tokens.random),
		log: from.resolve(tokens.log),
		metrics: from.resolve(tokens.metrics),
		tracer: from.resolve(tokens.tracer),
		membership: from.resolve(MembershipService),
		peers: from.resolve(PeerTransport),
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
