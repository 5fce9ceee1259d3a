import {isBoundedText, isIntegerUpTo, maximumPort} from './fieldChecks.js';
import {type MemberRecord} from './memberTable.js';

/** Fields of a record in the order in which heartbeats contain them, each with the check of a received value. */
const fieldChecks = {
	host: isBoundedText,
	incarnation: isCount,
	counter: isCount,
	failureDomain: isBoundedText,
	address: isBoundedText,
	peerPort: isPort,
	workPort: isPort,
	operatorPort: isPort,
	leaving: isBoolean,
	configurationRevision: isCount,
} as const satisfies Readonly<Record<keyof MemberRecord, (value: unknown) => boolean>>;
const recordFields = Object.keys(fieldChecks) as ReadonlyArray<keyof MemberRecord>;

/** Fields of a compact record: host, incarnation and counter. */
const compactFields = recordFields.slice(0, 3);

/** Encodes a record as an array, because field names would take most of the bytes. */
export function encodeRecord(record: MemberRecord, isFull: boolean): unknown[] {
	return (isFull ? recordFields : compactFields).map(field => record[field]);
}

/**
 * Decodes a record of a heartbeat. The sender may run another release, so each field is checked.
 * @param fields - record as received, of unknown shape
 * @param recordOf - returns the known record of a host, from which a compact record takes its other fields
 * @returns the record; `unknownHost` for a compact record of a host whose full record is not known; `invalid` if a field is missing or odd
 */
export function decodeRecord(fields: unknown, recordOf: (host: string) => MemberRecord | undefined): MemberRecord | 'unknownHost' | 'invalid' {
	if (!Array.isArray(fields) || (fields.length !== compactFields.length && fields.length < recordFields.length)) {
		return 'invalid';
	}

	const isCompact = fields.length === compactFields.length;
	const expectedFields = isCompact ? compactFields : recordFields;
	if (!expectedFields.every((field, index) => fieldChecks[field](fields[index]))) {
		return 'invalid';
	}

	const record = Object.fromEntries(expectedFields.map((field, index) => [field, fields[index] as unknown])) as unknown as MemberRecord;
	return isCompact ? completeRecord(record, recordOf(record.host)) : record;
}

function completeRecord({incarnation, counter}: MemberRecord, knownRecord: MemberRecord | undefined): MemberRecord | 'unknownHost' {
	return knownRecord?.incarnation === incarnation ? {...knownRecord, counter} : 'unknownHost';
}

function isCount(value: unknown): boolean {
	return isIntegerUpTo(value, Number.MAX_SAFE_INTEGER);
}

function isPort(value: unknown): boolean {
	return isIntegerUpTo(value, maximumPort);
}

function isBoolean(value: unknown): boolean {
	return typeof value === 'boolean';
}
