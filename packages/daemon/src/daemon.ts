import {inject, injectable} from 'tsyringe';
import {CallerServer, chooseRoute} from '@crocusloom/callers';
import {ConfigurationStore, startResourceApi, type ExplainRequest} from '@crocusloom/control';
import {GroupStateDirectory, GroupMonitors} from '@crocusloom/group';
import {HostListReader, MembershipService, PeerTransport} from '@crocusloom/membership';
import {
	parseSessionToken, zeroPosition, type Clock, type ConfigurationSource, type Logger, type RoutingExplanation,
} from '@crocusloom/model';
import {classify, loadClassifier} from '@crocusloom/wire';
import {Holder, WorkDispatcher, WorkServer} from '@crocusloom/work';
import {type PromMetrics} from './metrics.js';
import {type Settings} from './settings.js';
import {tokens} from './tokens.js';

/**
 * Longest wait for the seeds at the start. Without it a starting host takes itself for the holder of every database,
 * and a mass restart opens more connections than the backend servers allow.
 */
const settleLimitMs = 2000;
/** Time between two looks at whether the seeds have answered. */
const settleIntervalMs = 50;

/** One `crocusloomd` process. */
@injectable()
export class Daemon {
	// eslint-disable-next-line max-params
	constructor(
		@inject(tokens.settings) private readonly settings: Settings,
		@inject(tokens.signal) private readonly signal: AbortSignal,
		@inject(tokens.log) private readonly log: Logger,
		@inject(tokens.clock) private readonly clock: Clock,
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

	/** Starts all parts; callers are accepted last, once a configuration is in force. */
	async start(): Promise<void> {
		const {peers, operators} = this.settings;
		await loadClassifier();
		await this.peers.listen(this.signal);
		await this.workServer.listen(peers.address, peers.workPort);
		this.useHostList();
		this.runUntilStopped('membership', this.membership.run(this.signal));
		this.runUntilStopped('host list', this.hostList.run(this.signal));
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
		await this.settle();
		this.directory.start();
		this.monitors.start(this.directory);
		this.holder.followMembership(this.membership, this.signal);
		const port = await this.callers.listen(this.signal);
		this.log.info({callersPort: port, operatorsPort: operators.port, revision: this.store.revision()}, 'ready');
	}

	/** Takes no new callers and no new databases, lets transactions finish up to the deadline, and closes. */
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

	/** Waits until the peers are known, or the limit has passed. */
	private async settle(): Promise<void> {
		const endMs = this.clock.nowMs() + settleLimitMs;
		while (!this.membership.hasHeardFromAllSeeds() && this.clock.nowMs() < endMs) {
			await this.clock.sleep(settleIntervalMs, this.signal);
		}
	}

	private useHostList(): void {
		this.hostList.onChange(() => {
			for (const {kind, address, port} of this.hostList.currentHosts()) {
				if (kind === 'entry') {
					this.membership.addSeed({address, port});
				}
			}
		}, this.signal);
	}

	private runUntilStopped(task: string, running: Promise<void>): void {
		running.catch((error: unknown) => {
			if (!this.signal.aborted) {
				this.log.error({task, error: error instanceof Error ? error.stack : String(error)}, 'a task ended unexpectedly');
			}
		});
	}

	/** Answers why a statement goes where it goes now. */
	private explain(request: ExplainRequest): RoutingExplanation & {readonly route: unknown; readonly statement: unknown} {
		const classification = classify(request.statement);
		const route = chooseRoute(this.configuration.current(), {
			database: request.database, user: request.user ?? '', application: request.application ?? '',
		}, {}, this.settings.host.name);
		const vector = request.session === undefined ? undefined : parseSessionToken(request.session);
		const explanation = this.dispatcher.explain({
			...route,
			mode: classification.mode,
			sessionPosition: vector?.get(route.group) ?? zeroPosition,
			hasSessionToken: vector !== undefined,
			waitLimitMs: route.targetMs,
		});
		return {...explanation, route, statement: {mode: classification.mode, transaction: classification.transaction}};
	}
}
