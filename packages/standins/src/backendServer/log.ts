/**
 * The log of a database, kept in memory.
 */
import {zeroPosition, type LogPosition} from '@crocusloom/model';
import {type Change} from './tables.js';

/** A record with the offset behind it. A record without changes is the first of its term. */
export type LogRecord = {
	readonly term: number;
	readonly offsetBytes: number;
	readonly changes: readonly Change[];
};

/** Last offset held of each term, in ascending order of terms. */
export type TermEnds = ReadonlyArray<readonly [term: number, offsetBytes: number]>;

/** Size of a record apart from its changes. */
const recordHeaderBytes = 24;

/** Append-only records that can be cut off behind a position. */
export class Log {
	private readonly records: LogRecord[] = [];

	get length(): number {
		return this.records.length;
	}

	/** Position behind the last record. */
	get position(): LogPosition {
		const last = this.records.at(-1);
		return last ? {term: last.term, offsetBytes: last.offsetBytes} : zeroPosition;
	}

	get(index: number): LogRecord | undefined {
		return this.records[index];
	}

	append(term: number, changes: readonly Change[]): LogRecord {
		const sizeBytes = recordHeaderBytes + (changes.length === 0 ? 0 : Buffer.byteLength(JSON.stringify(changes)));
		const record = {term, offsetBytes: this.position.offsetBytes + sizeBytes, changes};
		this.records.push(record);
		return record;
	}

	/** Adds a record received from the primary. */
	push(record: LogRecord): void {
		this.records.push(record);
	}

	/** Summary by which another database finds the common prefix. */
	termEnds(): TermEnds {
		const ends = new Map<number, number>();
		for (const record of this.records) {
			ends.set(record.term, record.offsetBytes);
		}

		return [...ends];
	}

	/**
	 * Position up to which this log and another agree. One term has one primary, so two logs that hold records of the same
	 * term are equal up to the lower of their last offsets in the highest such term.
	 */
	commonPrefix(other: TermEnds): LogPosition {
		const own = new Map(this.termEnds());
		const shared = other.findLast(([term]) => own.has(term));
		return shared ? {term: shared[0], offsetBytes: Math.min(shared[1], own.get(shared[0])!)} : zeroPosition;
	}

	/** Index of the first record behind a position. */
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
	 * Discards the records behind a position.
	 * @returns true if there were any
	 */
	truncate(position: LogPosition): boolean {
		const keep = this.indexAfter(position);
		const isChanged = keep < this.records.length;
		this.records.length = keep;
		return isChanged;
	}

	* [Symbol.iterator](): Iterator<LogRecord> {
		yield * this.records;
	}
}
