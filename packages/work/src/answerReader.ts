import {type LogPosition} from '@crocusloom/model';
import {
	backend, errorField, frameHeaderBytes, readDataRow,
} from '@crocusloom/wire';
import {frameLengthAt} from './frameWalk.js';

/** What the reader has to expect of one exchange. */
export type AnswerPlan = {
	/** ReadyForQuery frames of the caller's own frames. */
	readonly readyCount: number;
	/** ParseComplete frames that answer the holder's own Parse frames. */
	readonly extraParses: number;
	/** True if the position query follows; CommandComplete and ReadyForQuery are then withheld. */
	readonly withPosition: boolean;
};

type Place = 'pass' | 'withhold' | 'drop';

/** Tags of commands that may have committed before the exchange's end, so that nothing behind them may pass early. */
const commitTags = /^(?:COMMIT|CALL|DO)/v;

/** Separates one exchange's answer into frames for the caller, withheld frames and the holder's own answers. */
export class AnswerReader {
	transactionStatus: 'I' | 'T' | 'E' = 'I';
	/** SQLSTATE of the first error. */
	sqlState: string | undefined;
	position: LogPosition | undefined;
	/** Message of a FATAL error, after which the server closes the connection. */
	fatalMessage: string | undefined;
	/** Holder's own Parse frames that succeeded. */
	parsedCount = 0;
	/** True when a part of the exchange may have committed before its end. */
	isSealed = false;
	isDone = false;
	withheldBytes = 0;
	private readonly withheld: Buffer[] = [];
	private readyLeft: number;
	private parsesLeft: number;
	private isHolding = false;
	private inPositionAnswer = false;

	/** @param plan - what the exchange sent */
	constructor(private readonly plan: AnswerPlan) {
		this.readyLeft = plan.readyCount;
		this.parsesLeft = plan.extraParses;
	}

	/**
	 * Takes bytes cut at frame boundaries.
	 * @returns parts that the caller may have now, in order; they share memory with the chunks
	 */
	push(chunk: Buffer): Buffer[] {
		const passed: Buffer[] = [];
		let current: Place = 'pass';
		let start = 0;
		let offset = 0;
		while (offset < chunk.length) {
			const end = offset + frameLengthAt(chunk, offset);
			const place = this.place(chunk, offset, end);
			if (place !== current) {
				this.keep(current, chunk.subarray(start, offset), passed);
				start = offset;
				current = place;
			}

			offset = end;
		}

		this.keep(current, chunk.subarray(start), passed);
		return passed;
	}

	/** Gives the withheld frames, to be sent once the commit is acknowledged. */
	takeWithheld(): Buffer[] {
		this.withheldBytes = 0;
		return this.withheld.splice(0);
	}

	private place(chunk: Buffer, offset: number, end: number): Place {
		const type = chunk[offset]!;
		if (this.inPositionAnswer) {
			this.readPosition(chunk.subarray(offset, end));
			return 'drop';
		}

		switch (type) {
			case backend.parseComplete: {
				return this.placeParseComplete();
			}

			case backend.errorResponse: {
				return this.placeError(chunk.subarray(offset, end));
			}

			case backend.commandComplete: {
				this.isHolding = this.plan.withPosition;
				this.isSealed ||= commitTags.test(chunk.toString('latin1', offset + frameHeaderBytes, end - 1));
				return this.held();
			}

			case backend.readyForQuery: {
				return this.placeReady(chunk[offset + frameHeaderBytes]!);
			}

			case backend.dataRow:
			case backend.rowDescription: {
				// Rows behind a command that has not committed may pass together with its CommandComplete.
				this.isHolding &&= this.isSealed;
				return this.held();
			}

			default: {
				return this.held();
			}
		}
	}

	private held(): Place {
		return this.isHolding ? 'withhold' : 'pass';
	}

	private placeError(frame: Buffer): Place {
		this.parsesLeft = 0;
		this.sqlState ??= errorField(frame, 'C');
		if (errorField(frame, 'S') === 'FATAL') {
			// The caller's own connection lives on, so that the holder reports the loss as a failure instead.
			this.fatalMessage = errorField(frame, 'M') ?? '';
			return 'drop';
		}

		return this.held();
	}

	private placeParseComplete(): Place {
		if (this.parsesLeft === 0) {
			return this.held();
		}

		this.parsesLeft--;
		this.parsedCount++;
		return 'drop';
	}

	private placeReady(status: number): Place {
		this.readyLeft--;
		this.transactionStatus = String.fromCodePoint(status) as 'I' | 'T' | 'E';
		this.isHolding = this.plan.withPosition;
		if (this.readyLeft > 0) {
			this.isSealed = true;
		} else {
			this.inPositionAnswer = this.plan.withPosition;
			this.isDone = !this.plan.withPosition;
		}

		return this.held();
	}

	private keep(place: Place, part: Buffer, passed: Buffer[]): void {
		if (part.length === 0 || place === 'drop') {
			return;
		}

		if (place === 'withhold') {
			this.withheld.push(part);
			this.withheldBytes += part.length;
			return;
		}

		if (this.withheldBytes > 0) {
			passed.push(...this.takeWithheld());
		}

		passed.push(part);
	}

	private readPosition(frame: Buffer): void {
		if (frame[0] === backend.dataRow) {
			const [term, offsetBytes] = readDataRow(frame).map(Number);
			this.position = Number.isSafeInteger(term) && Number.isSafeInteger(offsetBytes) ? {term: term!, offsetBytes: offsetBytes!} : undefined;
		} else if (frame[0] === backend.readyForQuery) {
			this.isDone = true;
		}
	}
}
