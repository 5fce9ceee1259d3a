/* eslint camelcase: "off" -- the platform gives the names of the fields */
/**
 * Stand-in of the platform's metadata store and of its promotion service, served over HTTP on one port.
 */
import {createServer} from 'node:http';
import {once} from 'node:events';

const leaseCheckIntervalMs = 20;
const answerDelayMs = 4;

export class Store {
	/** Called with the body and the headers of a promotion request; returns the HTTP status. */
	decidePromotion = () => 200;
	items = new Map();
	leases = new Map();
	history = [];
	revision = 10;
	leaseCount = 100;
	watches = new Set();

	async start() {
		this.server = createServer((request, response) => {
			this.respond(request, response).catch(() => {
				response.destroy();
			});
		});
		this.server.listen(0, '127.0.0.1');
		await once(this.server, 'listening');
		this.timer = setInterval(() => {
			this.endExpiredLeases();
		}, leaseCheckIntervalMs);
	}

	stop() {
		clearInterval(this.timer);
		this.server.closeAllConnections();
		this.server.close();
	}

	get address() {
		return `127.0.0.1:${this.server.address().port}`;
	}

	/** Writes a key as the operator or a database does. */
	write(key, value, leaseId = 0) {
		this.revision++;
		const text = typeof value === 'string' ? value : JSON.stringify(value);
		const item = {
			key, value: Buffer.from(text).toString('base64'), revision: this.revision, created_rev: this.items.get(key)?.created_rev ?? this.revision, lease_id: leaseId,
		};
		this.items.set(key, item);
		this.record(item);
	}

	remove(key) {
		if (this.items.delete(key)) {
			this.revision++;
			this.record({key, revision: this.revision, tombstone: true});
		}
	}

	record(event) {
		this.history.push(event);
		for (const wake of this.watches) {
			wake();
		}
	}

	endExpiredLeases() {
		for (const [id, {endsMs}] of this.leases) {
			if (performance.now() >= endsMs) {
				this.endLease(id);
			}
		}
	}

	endLease(id) {
		this.leases.delete(id);
		for (const [key, item] of this.items) {
			if (item.lease_id === id) {
				this.remove(key);
			}
		}
	}

	async respond(request, response) {
		const chunks = [];
		for await (const chunk of request) {
			chunks.push(chunk);
		}

		const url = new URL(request.url, 'http://store');
		const text = Buffer.concat(chunks).toString();
		const body = text === '' ? {} : JSON.parse(text);
		const result = url.pathname === '/promote' ? {status: this.decidePromotion(body, request.headers)} : await this.handle(url, body);
		setTimeout(() => {
			response.writeHead(result.status, {'content-type': 'application/json'}).end(JSON.stringify(result.body ?? {}));
		}, answerDelayMs);
	}

	async handle(url, body) {
		const [, call, id] = url.pathname.split('/');
		const query = url.searchParams;
		switch (call) {
			case 'kv-key': {
				const item = this.items.get(query.get('key'));
				return item ? {status: 200, body: {...item, at_rev: this.revision}} : {status: 404};
			}

			case 'kv-range': {
				const items = [...this.items.values()].filter(({key}) => key.startsWith(query.get('prefix') ?? ''));
				return {status: 200, body: {items, has_more: false, at_rev: this.revision}};
			}

			case 'kv-watch': {
				return this.watch(query.get('prefix') ?? '', Number(query.get('after')), Number(query.get('wait_ms')));
			}

			case 'kv-txn': {
				return this.transact(body);
			}

			case 'kv-lease': {
				this.leaseCount++;
				this.leases.set(this.leaseCount, {ttlMs: body.ttl_ms, endsMs: performance.now() + body.ttl_ms});
				return {status: 200, body: {lease_id: this.leaseCount, ttl_ms: body.ttl_ms}};
			}

			case 'kv-keep': {
				const lease = this.leases.get(Number(id));
				if (lease) {
					lease.endsMs = performance.now() + lease.ttlMs;
				}

				return lease ? {status: 200, body: {ttl_ms: lease.ttlMs}} : {status: 404};
			}

			case 'kv-lease-end': {
				this.endLease(Number(id));
				return {status: 200};
			}

			default: {
				return {status: 404};
			}
		}
	}

	async watch(prefix, after, waitMs) {
		const deadlineMs = performance.now() + waitMs;
		for (;;) {
			const events = this.history.filter(({key, revision}) => revision > after && key.startsWith(prefix));
			const remainingMs = deadlineMs - performance.now();
			if (events.length > 0 || remainingMs <= 0) {
				return {status: 200, body: {events, at_rev: this.revision}};
			}

			await new Promise(resolve => {
				const wake = () => {
					clearTimeout(timer);
					this.watches.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, remainingMs);
				this.watches.add(wake);
			});
		}
	}

	transact({expected_rev: expected = [], puts = [], deletes = []}) {
		if (expected.some(({key, revision}) => (this.items.get(key)?.revision ?? 0) !== revision)) {
			return {status: 412, body: {items: expected.map(({key}) => this.items.get(key)).filter(Boolean)}};
		}

		if (puts.some(({lease_id: leaseId}) => leaseId && !this.leases.has(leaseId))) {
			return {status: 404};
		}

		for (const {key, value, lease_id: leaseId} of puts) {
			this.write(key, Buffer.from(value, 'base64').toString(), leaseId ?? 0);
		}

		for (const key of deletes) {
			this.remove(key);
		}

		return {status: 200, body: {revision: this.revision}};
	}
}
