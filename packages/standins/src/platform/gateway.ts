/**
 * The calls of the etcd v3 JSON gateway, apart from watches. Keys and values are base64; numbers of 64 bits are texts.
 */
import {type Leases} from './leases.js';
import {
	type KeyRange, type Store, type StoredEntry, type Write,
} from './store.js';

/** Largest value that the service holds. */
export const maximumValueBytes = 1024 * 1024;

/** A request that the gateway refuses, with the HTTP status and the gRPC code that etcd answers. */
export class GatewayError extends Error {
	constructor(readonly status: number, readonly code: number, message: string) {
		super(message);
	}
}

type Fields = Readonly<Record<string, any>>;

const grpcCodes = {invalidArgument: 3, notFound: 5} as const;

function refuse(message: string): never {
	throw new GatewayError(400, grpcCodes.invalidArgument, message);
}

/** Decodes base64 into a binary text, one character a byte. */
export function decodeBytes(text: unknown): string {
	if (text !== undefined && typeof text !== 'string') {
		refuse('keys and values must be base64 texts');
	}

	return Buffer.from((text) ?? '', 'base64').toString('latin1');
}

function encodeBytes(bytes: string): string {
	return Buffer.from(bytes, 'latin1').toString('base64');
}

/** Range of a request with `key` and `range_end`. */
export function rangeOf(fields: Fields): KeyRange {
	return {key: decodeBytes(fields.key), end: decodeBytes(fields.range_end)};
}

/** Entry as the gateway sends it. */
export function encodeEntry(entry: StoredEntry): Fields {
	const fields = {
		key: encodeBytes(entry.key),
		create_revision: String(entry.createRevision),
		mod_revision: String(entry.modRevision),
		version: String(entry.version),
		value: encodeBytes(entry.value),
	};
	return entry.lease === '0' ? fields : {...fields, lease: entry.lease};
}

export class Gateway {
	/** Handlers by path; all calls are POST. */
	readonly calls: Readonly<Record<string, (body: Fields) => Fields>> = {
		'/v3/kv/range': body => this.range(body),
		'/v3/kv/put': body => this.put(body),
		'/v3/kv/deleterange': body => this.deleteRange(body),
		'/v3/kv/txn': body => this.transaction(body),
		'/v3/lease/grant': body => this.grant(body),
		'/v3/lease/revoke': body => this.revoke(body),
		'/v3/kv/lease/revoke': body => this.revoke(body),
		'/v3/lease/keepalive': body => this.keepAlive(body),
	};

	constructor(private readonly store: Store, private readonly leases: Leases) {}

	/** Header of every answer, with the store's revision. */
	header(): Fields {
		return {
			cluster_id: '1', member_id: '1', revision: String(this.store.revision), raft_term: '1',
		};
	}

	private range(body: Fields): Fields {
		const entries = this.store.range(rangeOf(body));
		const limit = Number(body.limit ?? 0);
		const shown = limit > 0 ? entries.slice(0, limit) : entries;
		const kvs = body.count_only ? [] : shown.map(entry => encodeEntry(body.keys_only ? {...entry, value: ''} : entry));
		return {
			header: this.header(), kvs, count: String(entries.length), more: shown.length < entries.length,
		};
	}

	private put(body: Fields): Fields {
		const [result] = this.store.apply([this.putWrite(body)]);
		return {header: this.header(), ...(body.prev_kv && result!.previous[0] ? {prev_kv: encodeEntry(result!.previous[0])} : {})};
	}

	private deleteRange(body: Fields): Fields {
		const [result] = this.store.apply([{kind: 'delete', range: rangeOf(body)}]);
		return this.deleted(body, result!.previous);
	}

	private deleted(body: Fields, previous: readonly StoredEntry[]): Fields {
		return {
			header: this.header(), deleted: String(previous.length), ...(body.prev_kv ? {prev_kvs: previous.map(entry => encodeEntry(entry))} : {}),
		};
	}

	private putWrite(body: Fields): Write {
		const value = decodeBytes(body.value);
		if (value.length > maximumValueBytes) {
			refuse(`a value of ${value.length} bytes is above the limit of ${maximumValueBytes} bytes`);
		}

		const lease = String(body.lease ?? '0');
		if (lease !== '0' && !this.leases.has(lease)) {
			throw new GatewayError(404, grpcCodes.notFound, 'etcdserver: requested lease not found');
		}

		return {
			kind: 'put', key: decodeBytes(body.key), value, lease,
		};
	}

	private transaction(body: Fields): Fields {
		const succeeded = ((body.compare ?? []) as readonly Fields[]).every(compare => this.compares(compare));
		const operations = ((succeeded ? body.success : body.failure) ?? []) as readonly Fields[];
		const writes = operations.map(operation => this.writeOf(operation));
		const results = this.store.apply(writes.filter(write => write !== undefined));
		let next = 0;
		const responses = operations.map((operation, index) => {
			const previous = writes[index] ? results[next++]!.previous : [];
			return this.operationResponse(operation, previous);
		});
		return {header: this.header(), succeeded, responses};
	}

	private writeOf(operation: Fields): Write | undefined {
		const put = (operation.request_put ?? operation.requestPut) as Fields | undefined;
		const remove = (operation.request_delete_range ?? operation.requestDeleteRange) as Fields | undefined;
		return put ? this.putWrite(put) : (remove && {kind: 'delete', range: rangeOf(remove)});
	}

	private operationResponse(operation: Fields, previous: readonly StoredEntry[]): Fields {
		const range = (operation.request_range ?? operation.requestRange) as Fields | undefined;
		if (range) {
			return {response_range: this.range(range)};
		}

		const remove = (operation.request_delete_range ?? operation.requestDeleteRange) as Fields | undefined;
		return remove ? {response_delete_range: this.deleted(remove, previous)} : {response_put: {header: this.header()}};
	}

	private compares(compare: Fields): boolean {
		const entry = this.store.get(decodeBytes(compare.key));
		const [left, right] = comparedValues(compare, entry);
		const order = left === right ? 0 : (left < right ? -1 : 1);
		const comparison = comparisonResults[String(compare.result ?? 'EQUAL')];
		if (!comparison) {
			refuse(`unknown comparison ${String(compare.result)}`);
		}

		return comparison(order);
	}

	private grant(body: Fields): Fields {
		const ttlSeconds = Number(body.TTL ?? 0);
		if (!(ttlSeconds > 0)) {
			refuse('TTL must be positive');
		}

		const id = this.leases.grant(ttlSeconds, String(body.ID ?? '0'));
		return {header: this.header(), ID: id, TTL: String(ttlSeconds)};
	}

	private revoke(body: Fields): Fields {
		if (!this.leases.revoke(String(body.ID ?? '0'))) {
			throw new GatewayError(404, grpcCodes.notFound, 'etcdserver: requested lease not found');
		}

		return {header: this.header()};
	}

	private keepAlive(body: Fields): Fields {
		const id = String(body.ID ?? '0');
		return {result: {header: this.header(), ID: id, TTL: String(this.leases.keepAlive(id))}};
	}
}

const comparisonResults: Readonly<Record<string, (order: number) => boolean>> = {
	EQUAL: order => order === 0,
	GREATER: order => order > 0,
	LESS: order => order < 0,
	NOT_EQUAL: order => order !== 0,
};

function comparedValues(compare: Fields, entry: StoredEntry | undefined): readonly [string | number, string | number] {
	switch (String(compare.target ?? 'VERSION')) {
		case 'VERSION': {
			return [entry?.version ?? 0, Number(compare.version ?? 0)];
		}

		case 'CREATE': {
			return [entry?.createRevision ?? 0, Number(compare.create_revision ?? compare.createRevision ?? 0)];
		}

		case 'MOD': {
			return [entry?.modRevision ?? 0, Number(compare.mod_revision ?? compare.modRevision ?? 0)];
		}

		case 'VALUE': {
			return [entry?.value ?? '', decodeBytes(compare.value)];
		}

		default: {
			refuse(`unknown comparison target ${String(compare.target)}`);
		}
	}
}
