/**
 * In-memory fakes of the clock, the platform's store, peers and the membership.
 */
import {createHash} from 'node:crypto';
import {
	FailureError, noopLogger, type Clock, type KeyValueEntry, type KeyValueEvent, type KeyValueStore, type Member, type Membership, type PeerRpc, type RandomSource,
} from '@crocusloom/model';
import {FakeClock} from '@crocusloom/model/testing';
import {ConfigurationStore} from '../configurationStore.js';
import {type RendezvousOrder} from '../peerPropagation.js';

/** A linear congruential generator, so that every run uses the same random numbers. */
export function seededRandom(seed: number): RandomSource {
	let state = seed;
	return {
		next() {
			state = ((state * 1_103_515_245) + 12_345) % 2_147_483_648;
			return state / 2_147_483_648;
		},
	};
}

/** Fault of a write: its response is lost, its request is lost, or its request arrives only after that of the next write. */
export type Fault = 'loseResponse' | 'dropRequest' | 'delayRequest';

/** Interval at which the parts of an answer arrive. */
const transferPartMs = 500;

/** An in-memory key-value store with one store-wide revision and injectable faults. */
export class FakeKeyValueStore implements KeyValueStore {
	isDown = false;
	/** While true, calls neither return nor fail. */
	isFrozen = false;
	/** While true, watches are confirmed and report no events, although reads are answered. */
	isWithholdingEvents = false;
	/** Time in which the answer to a list arrives, in parts. */
	listTransferMs = 0;
	revision = 0;
	readonly entries = new Map<string, KeyValueEntry>();
	readonly history: KeyValueEvent[] = [];
	readonly faults: Array<Fault | undefined> = [];
	readonly callTimesMs: number[] = [];
	listCount = 0;
	readonly watchingHosts = new Set<string>();
	/** Called after a write has taken effect and before its response is sent. */
	afterWrite: (() => void) | undefined;
	private readonly delayedWrites: Array<() => void> = [];
	/** Number of times at which all watches have gone silent. */
	private silenceCount = 0;
	private readonly listeners = new Set<() => void>();

	constructor(private readonly clock: Clock) {}

	/** Returns a view of the store for one host, which records whether that host watches. */
	viewOf(host: string): KeyValueStore {
		return {
			list: this.list.bind(this),
			get: this.get.bind(this),
			compareAndSwap: this.compareAndSwap.bind(this),
			watch: (prefix, fromRevision, signal) => {
				this.watchingHosts.add(host);
				return this.watch(prefix, fromRevision, signal);
			},
		};
	}

	/** Writes unconditionally, like a tool that does not use compare-and-swap. */
	put(key: string, value: string): number {
		this.revision++;
		const entry = {key, value, modRevision: this.revision};
		this.entries.set(key, entry);
		this.history.push({type: 'put', entry});
		this.notifyListeners();
		return this.revision;
	}

	async list(prefix: string, signal: AbortSignal, onData?: () => void): Promise<{readonly revision: number; readonly entries: readonly KeyValueEntry[]}> {
		this.listCount++;
		await this.beginCall();
		for (let elapsedMs = 0; elapsedMs < this.listTransferMs; elapsedMs += transferPartMs) {
			await this.clock.sleep(transferPartMs, signal);
			onData?.();
		}

		return {revision: this.revision, entries: [...this.entries.values()].filter(({key}) => key.startsWith(prefix))};
	}

	async get(key: string): Promise<{readonly revision: number; readonly entry?: KeyValueEntry}> {
		await this.beginCall();
		return {revision: this.revision, entry: this.entries.get(key)};
	}

	async compareAndSwap(key: string, expectedRevision: number, value: string | undefined) {
		await this.beginCall();
		const fault = this.faults.shift();
		if (fault === 'dropRequest' || fault === 'delayRequest') {
			if (fault === 'delayRequest') {
				this.delayedWrites.push(() => {
					this.swap(key, expectedRevision, value);
				});
			}

			throw platformFailure('unknown');
		}

		const response = this.swap(key, expectedRevision, value);
		this.afterWrite?.();
		// A delayed request arrives after the request that retries it.
		for (const write of this.delayedWrites.splice(0)) {
			write();
		}

		if (fault === 'loseResponse') {
			throw platformFailure('unknown');
		}

		return response;
	}

	async * watch(prefix: string, fromRevision: number, signal: AbortSignal) {
		while (this.isFrozen) {
			await this.waitForChange(signal);
			signal.throwIfAborted();
		}

		await this.beginCall();
		let nextRevision = fromRevision;
		const {silenceCount} = this;
		yield {revision: fromRevision - 1, events: [], storeRevision: this.revision};
		while (!signal.aborted) {
			if (this.isDown) {
				throw platformFailure('none');
			}

			if (this.isWithholdingEvents) {
				await this.waitForChange(signal);
				continue;
			}

			const from = nextRevision;
			const events = this.history.filter(event => revisionOf(event) >= from);
			nextRevision = this.revision + 1;
			yield {revision: this.revision, events: events.filter(event => keyOf(event).startsWith(prefix))};
			await this.waitForChange(signal);
			while (this.silenceCount !== silenceCount && !signal.aborted) {
				await this.waitForChange(signal);
			}
		}
	}

	/** Lets all open watches go silent without an error; new watches work. */
	silenceWatches(): void {
		this.silenceCount++;
	}

	/** Begins or ends an outage and wakes the watches, which fail during an outage. */
	setDown(isDown: boolean): void {
		this.isDown = isDown;
		this.notifyListeners();
	}

	private swap(key: string, expectedRevision: number, value: string | undefined) {
		const current = this.entries.get(key);
		if ((current?.modRevision ?? 0) !== expectedRevision) {
			return {succeeded: false as const, revision: this.revision, current};
		}

		if (value === undefined) {
			throw new Error('the configuration store keeps deletions as values');
		}

		return {succeeded: true as const, revision: this.put(key, value)};
	}

	private async beginCall(): Promise<void> {
		this.callTimesMs.push(this.clock.nowMs());
		if (this.isDown) {
			throw platformFailure('none');
		}

		if (this.isFrozen) {
			await new Promise<never>(() => {
				// The call never returns.
			});
		}
	}

	private async waitForChange(signal: AbortSignal): Promise<void> {
		await new Promise<void>(resolve => {
			this.listeners.add(resolve);
			signal.addEventListener('abort', () => {
				resolve();
			}, {once: true});
		});
	}

	private notifyListeners(): void {
		const pendingListeners = [...this.listeners];
		this.listeners.clear();
		for (const notify of pendingListeners) {
			notify();
		}
	}
}

function platformFailure(effect: 'none' | 'unknown'): FailureError {
	return new FailureError({
		kind: 'platform', step: 'platform', peer: 'fake', message: 'no response', effect,
	});
}

function revisionOf(event: KeyValueEvent): number {
	return event.type === 'put' ? event.entry.modRevision : event.modRevision;
}

function keyOf(event: KeyValueEvent): string {
	return event.type === 'put' ? event.entry.key : event.key;
}

type Handler = Parameters<PeerRpc['handle']>[1];

/** Delivers calls between hosts in memory. An isolated host can neither call nor be called. */
export class FakeNetwork {
	/** Rate at which results arrive at a caller. */
	bytesPerMs = Number.POSITIVE_INFINITY;
	readonly handlers = new Map<string, Map<string, Handler>>();
	readonly isolatedHosts = new Set<string>();

	constructor(private readonly clock: Clock) {}

	rpcOf(self: string): PeerRpc {
		const hostHandlers = new Map<string, Handler>();
		this.handlers.set(self, hostHandlers);
		return {
			call: async <R>(host: string, method: string, parameters: unknown, signal: AbortSignal) => this.deliver(self, host, {method, parameters, signal}) as Promise<R>,
			notify: (host, method, parameters) => {
				this.deliver(self, host, {method, parameters, signal: new AbortController().signal}).catch(() => undefined);
			},
			handle(method, handler) {
				hostHandlers.set(method, handler);
			},
		};
	}

	private async deliver(from: string, to: string, message: {readonly method: string; readonly parameters: unknown; readonly signal: AbortSignal}): Promise<unknown> {
		const handler = this.handlers.get(to)?.get(message.method);
		if (!handler || this.isolatedHosts.has(from) || this.isolatedHosts.has(to)) {
			throw new FailureError({
				kind: 'peer', step: 'peer', peer: to, message: 'unreachable',
			});
		}

		const result = await handler(roundTripJson(message.parameters), from, message.signal);
		await this.clock.sleep(JSON.stringify(result ?? null).length / this.bytesPerMs, message.signal);
		return roundTripJson(result);
	}
}

/** Encodes a value as JSON and decodes it, as the transport does. */
function roundTripJson(value: unknown): unknown {
	const text = JSON.stringify(value ?? null);
	return JSON.parse(text) as unknown;
}

const hashes = new Map<string, string>();

function hashOf(key: string): string {
	const hash = hashes.get(key) ?? createHash('md5').update(key).digest('hex');
	hashes.set(key, hash);
	return hash;
}

/** Fake of the rendezvous hashing in the membership package. */
export const rendezvousOrder: RendezvousOrder = (key, hosts) => hosts.toSorted((a, b) => hashOf(`${key}/${a}`) < hashOf(`${key}/${b}`) ? -1 : 1);

export type FakeHost = {readonly host: string; readonly store: ConfigurationStore; readonly stop: () => void; readonly signal: AbortSignal; readonly started: Promise<void>};

/** Creates a member of a fake deployment. */
export function fakeMember(host: string, fields: Partial<Member> = {}): Member {
	return {
		host, incarnation: 1, failureDomain: 'bryan', address: '127.0.0.1', peerPort: 1, workPort: 2, operatorPort: 3, state: 'alive', leaving: false, configurationRevision: 0, silentMs: 0, ...fields,
	};
}

/** A deployment of configuration stores that share a platform, a network and a member list. */
export class FakeDeployment {
	readonly clock = new FakeClock();
	readonly platform = new FakeKeyValueStore(this.clock);
	readonly network = new FakeNetwork(this.clock);
	/** Members as known to all hosts. A running host reports its current revision. */
	readonly members = new Map<string, Member>();
	readonly hosts = new Map<string, FakeHost>();

	constructor(private readonly random: RandomSource = seededRandom(7)) {}

	startHost(host: string, failureDomain = 'bryan'): FakeHost {
		if (!this.members.has(host)) {
			this.members.set(host, fakeMember(host, {failureDomain}));
		}

		const closeController = new AbortController();
		const store = new ConfigurationStore({
			deployment: 'test',
			keyValueStore: this.platform.viewOf(host),
			peers: this.network.rpcOf(host),
			membership: this.membershipOf(host),
			clock: this.clock,
			random: this.random,
			log: noopLogger,
			rendezvousOrder,
		});
		const running = {
			host, store, signal: closeController.signal, started: store.start(closeController.signal), stop() {
				closeController.abort();
			},
		};
		running.started.catch(() => undefined);
		this.hosts.set(host, running);
		return running;
	}

	/** Stops a host. Its member entry keeps the last reported revision. */
	stopHost(host: string): void {
		const {stop, store} = this.hosts.get(host)!;
		stop();
		this.members.set(host, {...this.members.get(host)!, state: 'dead', configurationRevision: store.revision()});
		this.network.handlers.delete(host);
		this.hosts.delete(host);
	}

	stopAllHosts(): void {
		for (const {stop} of this.hosts.values()) {
			stop();
		}
	}

	membershipOf(host: string): Membership {
		const {members} = this;
		return {
			get self() {
				return members.get(host)!;
			},
			members: () => [...members.values()].map(member => {
				const running = this.hosts.get(member.host);
				// After a restart, a host does not know the revision that it reported before.
				const reportedRevision = member.host === host ? 0 : member.configurationRevision;
				return {...member, configurationRevision: Math.max(reportedRevision, running?.store.revision() ?? 0)};
			}),
			holderOf: () => members.get(host)!,
			reportUnreachable: () => undefined,
			onChange: () => undefined,
		};
	}
}
