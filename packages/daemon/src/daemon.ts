import {inject, injectable} from 'tsyringe';
import {CallerServer, chooseRoute} from '@crocusloom/callers';
import {ConfigurationStore, startResourceApi, type ExplainRequest} from '@crocusloom/control';
import {GroupStateDirectory, GroupMonitors} from '@crocusloom/group';
import {HostListReader, MembershipService, PeerTransport} from '@crocusloom/membership';
import {
	parseSessionToken, runSupervised, zeroPosition, type Clock, type ConfigurationSource, type Logger, type RoutingExplanation,
} from '@crocusloom/model';
import {classify, loadClassifier} from '@crocusloom/wire';
import {Holder, WorkDispatcher, WorkServer} from '@crocusloom/work';
import {type PromMetrics} from './metrics.js';
import {type Settings} from './settings.js';
import {tokens} from './tokens.js';

/**
 * Limit on the wait for the seeds at startup. Without this wait, a starting host considers itself the holder of every database,
 * and a mass restart opens more connections than the backend servers allow.
 */
const seedWaitTimeoutMs = 2000;
/** Interval at which the membership is polled for whether the seeds have answered. */
const seedPollIntervalMs = 50;

/** One `crocusloomd` process. */
@injectable()
export class Daemon {
	// eslint-disable-next-line max-params
	constructor(
		@inject(tokens.settings) private readonly settings: Settings,
		@inject(tokens.signal) private readonly signal: AbortSignal,
		@inject(tokens.log) readonly log: Logger,
		@inject(tokens.clock) readonly clock: Clock,
		@inject(tokens.promMetrics) private readonly metrics: PromMetrics,
		@inject(tokens.configuration) private readonly configuration: ConfigurationSource,
		@inject(ConfigurationStore) private readonly store: ConfigurationStore,
		@inject(PeerTransport) private readonly peers: PeerTransport,
		@inject(MembershipService) private readonly membership: MembershipService,
		@inject(HostListReader) private readonly hostList: HostListReader,
		@inject(GroupMonitors) private readonly monitors: GroupMonitors,
		@inject(GroupStateDirectory) private readonly directory: GroupStateDirectory,
		@inject(Holder) private readonly holder: Holder,
		@inject(WorkServer) private readonly workServer: WorkServer,
		@inject(WorkDispatcher) private readonly dispatcher: WorkDispatcher,
		@inject(CallerServer) private readonly callers: CallerServer,
	) {}

	/** Starts all parts. Callers are accepted last, once a configuration is in force. */
	async start(): Promise<void> {
		const {peers, operators} = this.settings;
		await loadClassifier();
		await this.peers.listen(this.signal);
		await this.workServer.listen(peers.address, peers.workPort);
		this.addSeedsFromHostList();
		void runSupervised('membership', async () => this.membership.run(this.signal), this, this.signal);
		void runSupervised('host list', async () => this.hostList.run(this.signal), this, this.signal);
		await startResourceApi({
			address: operators.address,
			port: operators.port,
			store: this.store,
			membership: this.membership,
			directory: this.directory,
			dispatcher: this.dispatcher,
			peers: this.peers,
			clock: this.clock,
			log: this.log,
			explain: async request => this.explain(request),
			metrics: async () => ({contentType: this.metrics.registry.contentType, body: await this.metrics.text()}),
		}, this.signal);
		await this.store.start(this.signal);
		await this.waitForSeeds();
		this.directory.start();
		this.monitors.start(this.directory);
		this.holder.followMembership(this.membership, this.signal);
		const port = await this.callers.listen(this.signal);
		this.log.info({callersPort: port, operatorsPort: operators.port, revision: this.store.revision()}, 'ready');
	}

	/** Hands the held databases over to peers, stops accepting callers, lets open transactions finish until the drain deadline, and closes all parts. */
	async drain(): Promise<void> {
		const {deadlineMs} = this.settings.drain;
		this.log.info({deadlineMs, callers: this.callers.callerCount}, 'draining');
		this.membership.leave();
		await this.callers.drain(deadlineMs);
		this.holder.drain();
		this.monitors.close();
		this.directory.close();
		this.log.info({}, 'drained');
	}

	/** Waits until the seeds have answered or the timeout has passed. */
	private async waitForSeeds(): Promise<void> {
		const deadlineMs = this.clock.nowMs() + seedWaitTimeoutMs;
		while (!this.membership.hasHeardFromAllSeeds() && this.clock.nowMs() < deadlineMs) {
			await this.clock.sleep(seedPollIntervalMs, this.signal);
		}
	}

	/** Adds the entry hosts of the platform's host list to the seeds whenever the list changes. */
	private addSeedsFromHostList(): void {
		this.hostList.onChange(() => {
			for (const {kind, address, port} of this.hostList.currentHosts()) {
				if (kind === 'entry') {
					this.membership.addSeed({address, port});
				}
			}
		}, this.signal);
	}

	/** Explains how a statement would be routed now, and why. */
	private explain(request: ExplainRequest): RoutingExplanation & {readonly route: unknown; readonly statement: unknown} {
		const classification = classify(request.statement);
		const route = chooseRoute(this.configuration.current(), {
			database: request.database, user: request.user ?? '', application: request.application ?? '',
		}, {}, this.settings.host.name);
		const sessionVector = request.session === undefined ? undefined : parseSessionToken(request.session);
		const explanation = this.dispatcher.explain({
			...route,
			mode: classification.mode,
			sessionPosition: sessionVector?.get(route.group) ?? zeroPosition,
			hasSessionToken: sessionVector !== undefined,
			waitLimitMs: route.targetMs,
		});
		return {...explanation, route, statement: {mode: classification.mode, transaction: classification.transaction}};
	}
}
