/**
 * The calls of the etcd v3 JSON gateway except watches. Keys and values are base64, 64-bit integers are decimal strings.
 */
import {type Leases} from './leases.js';
import {
	type KeyRange, type Store, type StoredEntry, type Write,
} from './store.js';

/** Size limit of a stored value. */
export const maximumValueBytes = 1024 * 1024;

/** Rejection of a request, with the HTTP status and the gRPC code that etcd returns for it. */
export class GatewayError extends Error {
	constructor(readonly status: number, readonly code: number, message: string) {
		super(message);
	}
}

type JsonObject = Readonly<Record<string, any>>;

const grpcCodes = {invalidArgument: 3, notFound: 5} as const;

function throwInvalidArgument(message: string): never {
	throw new GatewayError(400, grpcCodes.invalidArgument, message);
}

/** Decodes base64 into a binary string with one character per byte. */
export function decodeBase64(text: unknown): string {
	if (text !== undefined && typeof text !== 'string') {
		throwInvalidArgument('keys and values must be base64 strings');
	}

	return Buffer.from((text) ?? '', 'base64').toString('latin1');
}

function encodeBase64(binaryString: string): string {
	return Buffer.from(binaryString, 'latin1').toString('base64');
}

/** Parses the key range of a request with `key` and `range_end`. */
export function parseKeyRange(request: JsonObject): KeyRange {
	return {key: decodeBase64(request.key), end: decodeBase64(request.range_end)};
}

/** Encodes an entry as the `KeyValue` message of the gateway. */
export function encodeEntry(entry: StoredEntry): JsonObject {
	const fields = {
		key: encodeBase64(entry.key),
		create_revision: String(entry.createRevision),
		mod_revision: String(entry.modRevision),
		version: String(entry.version),
		value: encodeBase64(entry.value),
	};
	return entry.lease === '0' ? fields : {...fields, lease: entry.lease};
}

/** Executes gateway calls on the store and the leases. */
export class Gateway {
	/** Handlers by path; all calls are POST requests. */
	readonly handlers: Readonly<Record<string, (body: JsonObject) => JsonObject>> = {
		'/v3/kv/range': body => this.range(body),
		'/v3/kv/put': body => this.put(body),
		'/v3/kv/deleterange': body => this.deleteRange(body),
		'/v3/kv/txn': body => this.transaction(body),
		'/v3/lease/grant': body => this.grantLease(body),
		'/v3/lease/revoke': body => this.revokeLease(body),
		'/v3/kv/lease/revoke': body => this.revokeLease(body),
		'/v3/lease/keepalive': body => this.keepLeaseAlive(body),
	};

	constructor(private readonly store: Store, private readonly leases: Leases) {}

	/** Header of every response, with the revision of the store. */
	header(): JsonObject {
		return {
			cluster_id: '1', member_id: '1', revision: String(this.store.revision), raft_term: '1',
		};
	}

	private range(body: JsonObject): JsonObject {
		const entries = this.store.range(parseKeyRange(body));
		const limit = Number(body.limit ?? 0);
		const limitedEntries = limit > 0 ? entries.slice(0, limit) : entries;
		const kvs = body.count_only ? [] : limitedEntries.map(entry => encodeEntry(body.keys_only ? {...entry, value: ''} : entry));
		return {
			header: this.header(), kvs, count: String(entries.length), more: limitedEntries.length < entries.length,
		};
	}

	private put(body: JsonObject): JsonObject {
		const [result] = this.store.apply([this.parsePut(body)]);
		return {header: this.header(), ...(body.prev_kv && result!.previous[0] ? {prev_kv: encodeEntry(result!.previous[0])} : {})};
	}

	private deleteRange(body: JsonObject): JsonObject {
		const [result] = this.store.apply([{kind: 'delete', range: parseKeyRange(body)}]);
		return this.deleteResponse(body, result!.previous);
	}

	private deleteResponse(body: JsonObject, previous: readonly StoredEntry[]): JsonObject {
		return {
			header: this.header(), deleted: String(previous.length), ...(body.prev_kv ? {prev_kvs: previous.map(entry => encodeEntry(entry))} : {}),
		};
	}

	private parsePut(body: JsonObject): Write {
		const value = decodeBase64(body.value);
		if (value.length > maximumValueBytes) {
			throwInvalidArgument(`a value of ${value.length} bytes is above the limit of ${maximumValueBytes} bytes`);
		}

		const lease = String(body.lease ?? '0');
		if (lease !== '0' && !this.leases.has(lease)) {
			throw new GatewayError(404, grpcCodes.notFound, 'etcdserver: requested lease not found');
		}

		return {
			kind: 'put', key: decodeBase64(body.key), value, lease,
		};
	}

	private transaction(body: JsonObject): JsonObject {
		const succeeded = ((body.compare ?? []) as readonly JsonObject[]).every(compare => this.isComparisonTrue(compare));
		const operations = ((succeeded ? body.success : body.failure) ?? []) as readonly JsonObject[];
		const writes = operations.map(operation => this.parseWrite(operation));
		const results = this.store.apply(writes.filter(write => write !== undefined));
		let nextResultIndex = 0;
		const responses = operations.map((operation, index) => {
			const previous = writes[index] ? results[nextResultIndex++]!.previous : [];
			return this.operationResponse(operation, previous);
		});
		return {header: this.header(), succeeded, responses};
	}

	private parseWrite(operation: JsonObject): Write | undefined {
		const put = (operation.request_put ?? operation.requestPut) as JsonObject | undefined;
		const remove = (operation.request_delete_range ?? operation.requestDeleteRange) as JsonObject | undefined;
		return put ? this.parsePut(put) : (remove && {kind: 'delete', range: parseKeyRange(remove)});
	}

	private operationResponse(operation: JsonObject, previous: readonly StoredEntry[]): JsonObject {
		const range = (operation.request_range ?? operation.requestRange) as JsonObject | undefined;
		if (range) {
			return {response_range: this.range(range)};
		}

		const remove = (operation.request_delete_range ?? operation.requestDeleteRange) as JsonObject | undefined;
		return remove ? {response_delete_range: this.deleteResponse(remove, previous)} : {response_put: {header: this.header()}};
	}

	private isComparisonTrue(compare: JsonObject): boolean {
		const entry = this.store.get(decodeBase64(compare.key));
		const [left, right] = comparisonOperands(compare, entry);
		const ordering = left === right ? 0 : (left < right ? -1 : 1);
		const isSatisfied = comparisonOperators[String(compare.result ?? 'EQUAL')];
		if (!isSatisfied) {
			throwInvalidArgument(`unknown comparison ${String(compare.result)}`);
		}

		return isSatisfied(ordering);
	}

	private grantLease(body: JsonObject): JsonObject {
		const ttlSeconds = Number(body.TTL ?? 0);
		if (!(ttlSeconds > 0)) {
			throwInvalidArgument('TTL must be positive');
		}

		const id = this.leases.grant(ttlSeconds, String(body.ID ?? '0'));
		return {header: this.header(), ID: id, TTL: String(ttlSeconds)};
	}

	private revokeLease(body: JsonObject): JsonObject {
		if (!this.leases.revoke(String(body.ID ?? '0'))) {
			throw new GatewayError(404, grpcCodes.notFound, 'etcdserver: requested lease not found');
		}

		return {header: this.header()};
	}

	private keepLeaseAlive(body: JsonObject): JsonObject {
		const id = String(body.ID ?? '0');
		return {result: {header: this.header(), ID: id, TTL: String(this.leases.keepAlive(id))}};
	}
}

const comparisonOperators: Readonly<Record<string, (order: number) => boolean>> = {
	EQUAL: order => order === 0,
	GREATER: order => order > 0,
	LESS: order => order < 0,
	NOT_EQUAL: order => order !== 0,
};

function comparisonOperands(compare: JsonObject, entry: StoredEntry | undefined): readonly [string | number, string | number] {
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
			return [entry?.value ?? '', decodeBase64(compare.value)];
		}

		default: {
			throwInvalidArgument(`unknown comparison target ${String(compare.target)}`);
		}
	}
}
