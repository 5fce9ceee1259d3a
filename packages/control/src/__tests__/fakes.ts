/**
 * In-memory fakes of the clock, the platform's store, peers and membership.
 */
import {createHash} from 'node:crypto';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {
	FailureError, noopLogger, type Clock, type KeyValueEntry, type KeyValueEvent, type KeyValueStore, type Member, type Membership, type PeerRpc, type RandomSource,
} from '@crocusloom/model';
import {ConfigurationStore} from '../configurationStore.js';
import {type RendezvousOrder} from '../peerPropagation.js';

type Sleeper = {readonly atMs: number; readonly wake: () => void};

/** A clock that moves only when a test advances it. */
export class FakeClock implements Clock {
	private currentMs = 0;
	private readonly sleepers = new Set<Sleeper>();

	nowMs(): number {
		return this.currentMs;
	}

	wallMs(): number {
		return this.currentMs;
	}

	async sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
		signal?.throwIfAborted();
		return new Promise((resolve, reject) => {
			const onAbort = () => {
				this.sleepers.delete(sleeper);
				reject(signal!.reason as Error);
			};

			const sleeper = {
				atMs: this.currentMs + durationMs,
				wake() {
					signal?.removeEventListener('abort', onAbort);
					resolve();
				},
			};
			this.sleepers.add(sleeper);
			signal?.addEventListener('abort', onAbort, {once: true});
		});
	}

	/** Advances the time in the order of the sleepers and lets their followers run. */
	async advance(durationMs: number): Promise<void> {
		const endMs = this.currentMs + durationMs;
		for (;;) {
			await settleTurns();
			const nextMs = Math.min(...[...this.sleepers].map(({atMs}) => atMs));
			if (nextMs > endMs) {
				this.currentMs = endMs;
				return;
			}

			this.currentMs = Math.max(this.currentMs, nextMs);
			for (const sleeper of [...this.sleepers].filter(({atMs}) => atMs <= nextMs)) {
				this.sleepers.delete(sleeper);
				sleeper.wake();
			}
		}
	}

	/** Advances the time until a promise is settled. */
	async until<T>(promise: Promise<T>, limitMs = 120_000): Promise<T> {
		const state = {isSettled: false};
		const note = () => {
			state.isSettled = true;
		};

		promise.then(note, note);
		await settleTurns();
		for (let passedMs = 0; !state.isSettled; passedMs += 50) {
			if (passedMs >= limitMs) {
				throw new Error(`not settled after ${limitMs} ms of the fake clock`);
			}

			await this.advance(50);
		}

		return promise;
	}
}

async function settleTurns(): Promise<void> {
	for (let turn = 0; turn < 4; turn++) {
		await nextTurn();
	}
}

/** A linear congruential generator, so that every run draws the same numbers. */
export function seededRandom(seed: number): RandomSource {
	let state = seed;
	return {
		next() {
			state = ((state * 1_103_515_245) + 12_345) % 2_147_483_648;
			return state / 2_147_483_648;
		},
	};
}

/** What happens to the next write. */
export type Fault = 'loseAnswer' | 'dropRequest' | 'delayRequest';

/** An in-memory store with one store-wide revision, whose faults a test sets. */
export class FakeStore implements KeyValueStore {
	isDown = false;
	/** Calls are neither answered nor refused. */
	isFrozen = false;
	revision = 0;
	readonly entries = new Map<string, KeyValueEntry>();
	readonly history: KeyValueEvent[] = [];
	readonly faults: Array<Fault | undefined> = [];
	readonly callTimesMs: number[] = [];
	readonly watchingHosts = new Set<string>();
	/** Runs after the effect of a write and before its answer. */
	afterWrite: (() => void) | undefined;
	private readonly delayed: Array<() => void> = [];
	private readonly listeners = new Set<() => void>();

	constructor(private readonly clock: Clock) {}

	/** A view of the store for one host, so that tests see who watches. */
	asSeenBy(host: string): KeyValueStore {
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

	/** Writes without a check, as another tool would. */
	put(key: string, value: string): number {
		this.revision++;
		const entry = {key, value, modRevision: this.revision};
		this.entries.set(key, entry);
		this.history.push({type: 'put', entry});
		this.tellListeners();
		return this.revision;
	}

	async list(prefix: string): Promise<{readonly revision: number; readonly entries: readonly KeyValueEntry[]}> {
		await this.begin();
		return {revision: this.revision, entries: [...this.entries.values()].filter(({key}) => key.startsWith(prefix))};
	}

	async get(key: string): Promise<{readonly revision: number; readonly entry?: KeyValueEntry}> {
		await this.begin();
		return {revision: this.revision, entry: this.entries.get(key)};
	}

	async compareAndSwap(key: string, expectedRevision: number, value: string | undefined) {
		await this.begin();
		const fault = this.faults.shift();
		if (fault === 'dropRequest' || fault === 'delayRequest') {
			if (fault === 'delayRequest') {
				this.delayed.push(() => {
					this.swap(key, expectedRevision, value);
				});
			}

			throw platformFailure('unknown');
		}

		const answer = this.swap(key, expectedRevision, value);
		this.afterWrite?.();
		// A delayed request arrives after the one that repeats it.
		for (const arrive of this.delayed.splice(0)) {
			arrive();
		}

		if (fault === 'loseAnswer') {
			throw platformFailure('unknown');
		}

		return answer;
	}

	async * watch(prefix: string, fromRevision: number, signal: AbortSignal) {
		while (this.isFrozen) {
			await this.changed(signal);
			signal.throwIfAborted();
		}

		await this.begin();
		let nextRevision = fromRevision;
		yield {revision: fromRevision - 1, events: []};
		while (!signal.aborted) {
			if (this.isDown) {
				throw platformFailure('none');
			}

			const from = nextRevision;
			const events = this.history.filter(event => revisionOf(event) >= from);
			nextRevision = this.revision + 1;
			yield {revision: this.revision, events: events.filter(event => keyOf(event).startsWith(prefix))};
			await this.changed(signal);
		}
	}

	/** Ends the outage or begins one, and breaks the watches. */
	setDown(isDown: boolean): void {
		this.isDown = isDown;
		this.tellListeners();
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

	private async begin(): Promise<void> {
		this.callTimesMs.push(this.clock.nowMs());
		if (this.isDown) {
			throw platformFailure('none');
		}

		if (this.isFrozen) {
			await new Promise<never>(() => {
				// The answer never comes.
			});
		}
	}

	private async changed(signal: AbortSignal): Promise<void> {
		await new Promise<void>(resolve => {
			this.listeners.add(resolve);
			signal.addEventListener('abort', () => {
				resolve();
			}, {once: true});
		});
	}

	private tellListeners(): void {
		const told = [...this.listeners];
		this.listeners.clear();
		for (const tell of told) {
			tell();
		}
	}
}

function platformFailure(effect: 'none' | 'unknown'): FailureError {
	return new FailureError({
		kind: 'platform', step: 'platform', peer: 'fake', message: 'no answer', effect,
	});
}

function revisionOf(event: KeyValueEvent): number {
	return event.type === 'put' ? event.entry.modRevision : event.modRevision;
}

function keyOf(event: KeyValueEvent): string {
	return event.type === 'put' ? event.entry.key : event.key;
}

type Handler = Parameters<PeerRpc['handle']>[1];

/** Hosts that call each other in memory; a host that is cut off neither calls nor answers. */
export class FakeNetwork {
	readonly handlers = new Map<string, Map<string, Handler>>();
	readonly cutOff = new Set<string>();

	peersOf(self: string): PeerRpc {
		const own = new Map<string, Handler>();
		this.handlers.set(self, own);
		return {
			call: async <R>(host: string, method: string, parameters: unknown, signal: AbortSignal) => this.deliver(self, host, {method, parameters, signal}) as Promise<R>,
			notify: (host, method, parameters) => {
				this.deliver(self, host, {method, parameters, signal: new AbortController().signal}).catch(() => undefined);
			},
			handle(method, handler) {
				own.set(method, handler);
			},
		};
	}

	private async deliver(from: string, to: string, message: {readonly method: string; readonly parameters: unknown; readonly signal: AbortSignal}): Promise<unknown> {
		const handler = this.handlers.get(to)?.get(message.method);
		if (!handler || this.cutOff.has(from) || this.cutOff.has(to)) {
			throw new FailureError({
				kind: 'peer', step: 'peer', peer: to, message: 'unreachable',
			});
		}

		return encode(await handler(encode(message.parameters), from, message.signal));
	}
}

/** Gives what arrives of a value that is sent as JSON. */
function encode(value: unknown): unknown {
	const text = JSON.stringify(value ?? null);
	return JSON.parse(text) as unknown;
}

const scores = new Map<string, string>();

function scoreOf(key: string): string {
	const score = scores.get(key) ?? createHash('md5').update(key).digest('hex');
	scores.set(key, score);
	return score;
}

/** A stand-in for the rendezvous hashing of the membership package. */
export const rendezvousOrder: RendezvousOrder = (key, hosts) => hosts.toSorted((a, b) => scoreOf(`${key}/${a}`) < scoreOf(`${key}/${b}`) ? -1 : 1);

export type FakeHost = {readonly host: string; readonly store: ConfigurationStore; readonly stop: () => void; readonly signal: AbortSignal; readonly started: Promise<void>};

/** A member of a fake deployment. */
export function fakeMember(host: string, fields: Partial<Member> = {}): Member {
	return {
		host, incarnation: 1, failureDomain: 'bryan', address: '127.0.0.1', peerPort: 1, workPort: 2, operatorPort: 3, state: 'alive', leaving: false, configurationRevision: 0, silentMs: 0, ...fields,
	};
}

/** A deployment of configuration stores that share a platform, a network and a view of the members. */
export class FakeDeployment {
	readonly clock = new FakeClock();
	readonly platform = new FakeStore(this.clock);
	readonly network = new FakeNetwork();
	readonly random = seededRandom(7);
	/** Members as all hosts see them; a running host reports its own revision. */
	readonly members = new Map<string, Member>();
	readonly hosts = new Map<string, FakeHost>();

	start(host: string, failureDomain = 'bryan'): FakeHost {
		if (!this.members.has(host)) {
			this.members.set(host, fakeMember(host, {failureDomain}));
		}

		const abort = new AbortController();
		const store = new ConfigurationStore({
			deployment: 'test',
			store: this.platform.asSeenBy(host),
			peers: this.network.peersOf(host),
			membership: this.membershipOf(host),
			clock: this.clock,
			random: this.random,
			log: noopLogger,
			rendezvousOrder,
		});
		const running = {
			host, store, signal: abort.signal, started: store.start(abort.signal), stop() {
				abort.abort();
			},
		};
		running.started.catch(() => undefined);
		this.hosts.set(host, running);
		return running;
	}

	/** Stops a host; its members entry keeps the revision that it last reported. */
	stop(host: string): void {
		const {stop, store} = this.hosts.get(host)!;
		stop();
		this.members.set(host, {...this.members.get(host)!, state: 'dead', configurationRevision: store.revision()});
		this.network.handlers.delete(host);
		this.hosts.delete(host);
	}

	stopAll(): void {
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
				// A host knows nothing of its own earlier life.
				const reported = member.host === host ? 0 : member.configurationRevision;
				return {...member, configurationRevision: Math.max(reported, running?.store.revision() ?? 0)};
			}),
			holderOf: () => members.get(host)!,
			reportUnreachable: () => undefined,
			onChange: () => undefined,
		};
	}
}
