/**
 * Messages of the etcd v3 JSON gateway, reduced to the fields that the key-value port uses. The gateway encodes 64-bit
 * integers as strings and keys and values as base64, and omits fields that have their default value.
 */
import {z} from 'zod';
import {type KeyValueEntry, type KeyValueEvent} from '@crocusloom/model';

const int64Schema = z.union([z.string().regex(/^\d+$/v), z.int().min(0)]).transform(Number);
const headerSchema = z.object({revision: int64Schema.default(0)});
const keyValueSchema = z.object({key: z.string(), value: z.string().default(''), mod_revision: int64Schema.default(0)});

export const rangeResponseSchema = z.object({header: headerSchema, kvs: z.array(keyValueSchema).default([])});

export const txnResponseSchema = z.object({
	header: headerSchema,
	succeeded: z.boolean().default(false),
	responses: z.array(z.object({response_range: z.object({kvs: z.array(keyValueSchema).default([])}).optional()})).default([]),
});

export const watchResponseSchema = z.object({
	result: z.object({
		header: headerSchema.default({revision: 0}),
		created: z.boolean().default(false),
		canceled: z.boolean().default(false),
		compact_revision: int64Schema.default(0),
		cancel_reason: z.string().default(''),
		events: z.array(z.object({type: z.enum(['PUT', 'DELETE']).default('PUT'), kv: keyValueSchema})).default([]),
	}).optional(),
	error: z.object({message: z.string().default('')}).optional(),
});

export type WatchResult = NonNullable<z.infer<typeof watchResponseSchema>['result']>;

/** Encodes text as base64 of its UTF-8 bytes, as the gateway expects it. */
export function encodeBase64(text: string): string {
	return Buffer.from(text, 'utf8').toString('base64');
}

function decodeBase64(encoded: string): string {
	return Buffer.from(encoded, 'base64').toString('utf8');
}

/**
 * Computes the end of the key range that a prefix covers.
 * @param prefix - ASCII prefix, not empty
 * @returns the first key after the range
 */
export function prefixRangeEnd(prefix: string): string {
	return prefix.slice(0, -1) + String.fromCodePoint(prefix.codePointAt(prefix.length - 1)! + 1);
}

/** Converts a key-value pair of a response. */
export function toKeyValueEntry(keyValue: z.infer<typeof keyValueSchema>): KeyValueEntry {
	return {key: decodeBase64(keyValue.key), value: decodeBase64(keyValue.value), modRevision: keyValue.mod_revision};
}

/** Converts the events of a watch result and keeps their order. */
export function toKeyValueEvents(result: WatchResult): readonly KeyValueEvent[] {
	return result.events.map(({type, kv}) => {
		const entry = toKeyValueEntry(kv);
		return type === 'PUT' ? {type: 'put', entry} : {type: 'delete', key: entry.key, modRevision: entry.modRevision};
	});
}
