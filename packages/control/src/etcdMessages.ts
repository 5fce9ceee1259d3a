/**
 * Messages of the etcd v3 JSON gateway, as far as the key-value port needs them. The gateway writes 64-bit integers as
 * strings, keys and values in base64, and leaves out fields that have their default value.
 */
import {z} from 'zod';
import {type KeyValueEntry, type KeyValueEvent} from '@crocusloom/model';

const integerSchema = z.union([z.string().regex(/^\d+$/v), z.int().min(0)]).transform(Number);
const headerSchema = z.object({revision: integerSchema.default(0)});
const keyValueSchema = z.object({key: z.string(), value: z.string().default(''), mod_revision: integerSchema.default(0)});

export const rangeAnswerSchema = z.object({header: headerSchema, kvs: z.array(keyValueSchema).default([])});

export const txnAnswerSchema = z.object({
	header: headerSchema,
	succeeded: z.boolean().default(false),
	responses: z.array(z.object({response_range: z.object({kvs: z.array(keyValueSchema).default([])}).optional()})).default([]),
});

export const watchAnswerSchema = z.object({
	result: z.object({
		header: headerSchema.default({revision: 0}),
		created: z.boolean().default(false),
		canceled: z.boolean().default(false),
		compact_revision: integerSchema.default(0),
		cancel_reason: z.string().default(''),
		events: z.array(z.object({type: z.enum(['PUT', 'DELETE']).default('PUT'), kv: keyValueSchema})).default([]),
	}).optional(),
	error: z.object({message: z.string().default('')}).optional(),
});

export type WatchAnswer = NonNullable<z.infer<typeof watchAnswerSchema>['result']>;

/** Encodes text as the gateway's base64. */
export function encodeText(text: string): string {
	return Buffer.from(text, 'utf8').toString('base64');
}

function decodeText(encoded: string): string {
	return Buffer.from(encoded, 'base64').toString('utf8');
}

/**
 * Computes the end of the key range that a prefix spans.
 * @param prefix - ASCII prefix, not empty
 * @returns the first key behind the range
 */
export function prefixEnd(prefix: string): string {
	return prefix.slice(0, -1) + String.fromCodePoint(prefix.codePointAt(prefix.length - 1)! + 1);
}

/** Converts an entry of an answer. */
export function toEntry(keyValue: z.infer<typeof keyValueSchema>): KeyValueEntry {
	return {key: decodeText(keyValue.key), value: decodeText(keyValue.value), modRevision: keyValue.mod_revision};
}

/** Converts the events of a watch answer, in their order. */
export function toEvents(answer: WatchAnswer): readonly KeyValueEvent[] {
	return answer.events.map(({type, kv}) => {
		const entry = toEntry(kv);
		return type === 'PUT' ? {type: 'put', entry} : {type: 'delete', key: entry.key, modRevision: entry.modRevision};
	});
}
