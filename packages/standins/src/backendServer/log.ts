/**
 * The in-memory replication log of a database.
 */
import {zeroPosition, type LogPosition} from '@crocusloom/model';
import {type Change} from './tables.js';

/** A log record. `offsetBytes` is the end of the record; the first record of a term has no changes. */
export type LogRecord = {
	readonly term: number;
	readonly offsetBytes: number;
	readonly changes: readonly Change[];
};

/** End offset of the last held record of each term, in ascending order of terms. */
export type TermEnds = ReadonlyArray<readonly [term: number, offsetBytes: number]>;

/** Size of a record without its changes. */
const recordHeaderBytes = 24;

/** Sequence of records that can be appended to, and truncated after a position. */
export class Log {
	private readonly records: LogRecord[] = [];

	get length(): number {
		return this.records.length;
	}

	/** Position at the end of the last record. */
	get position(): LogPosition {
		const last = this.records.at(-1);
		return last ? {term: last.term, offsetBytes: last.offsetBytes} : zeroPosition;
	}

	get(index: number): LogRecord | undefined {
		return this.records[index];
	}

	/** Appends a new record with the given changes. */
	append(term: number, changes: readonly Change[]): LogRecord {
		const sizeBytes = recordHeaderBytes + (changes.length === 0 ? 0 : Buffer.byteLength(JSON.stringify(changes)));
		const record = {term, offsetBytes: this.position.offsetBytes + sizeBytes, changes};
		this.records.push(record);
		return record;
	}

	/** Appends a record received from the primary. */
	appendReceived(record: LogRecord): void {
		this.records.push(record);
	}

	/** Returns the end offset of each term, from which another database computes the common prefix of the logs. */
	termEnds(): TermEnds {
		const ends = new Map<number, number>();
		for (const record of this.records) {
			ends.set(record.term, record.offsetBytes);
		}

		return [...ends];
	}

	/**
	 * Computes the end of the common prefix of this log and another. A term has one primary, so two logs that both hold
	 * records of a term are equal up to the lower of their end offsets in the highest term that they share.
	 */
	commonPrefix(remoteEnds: TermEnds): LogPosition {
		const localEnds = new Map(this.termEnds());
		const lastSharedEnd = remoteEnds.findLast(([term]) => localEnds.has(term));
		return lastSharedEnd ? {term: lastSharedEnd[0], offsetBytes: Math.min(lastSharedEnd[1], localEnds.get(lastSharedEnd[0])!)} : zeroPosition;
	}

	/** Returns the index of the first record after a position. */
	indexAfter(position: LogPosition): number {
		let low = 0;
		let high = this.records.length;
		while (low < high) {
			const middle = (low + high) >>> 1; // eslint-disable-line no-bitwise
			if (this.records[middle]!.offsetBytes <= position.offsetBytes) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}

	/**
	 * Discards the records after a position.
	 * @returns true if there were any
	 */
	truncate(position: LogPosition): boolean {
		const remainingCount = this.indexAfter(position);
		const hasDiscarded = remainingCount < this.records.length;
		this.records.length = remainingCount;
		return hasDiscarded;
	}

	* [Symbol.iterator](): Iterator<LogRecord> {
		yield * this.records;
	}
}
