import {type LogPosition} from '@crocusloom/model';
import {
	backendTypes, readErrorField, frameHeaderBytes, readDataRow,
} from '@crocusloom/wire';
import {frameLengthAt} from './frameScan.js';

/** What an exchange sends, which determines the response to expect. */
export type ExpectedResponse = {
	/** Number of ReadyForQuery frames in the response to the frames of the caller. */
	readonly readyCount: number;
	/** Number of Parse frames that the holder inserted before the frames of the caller. */
	readonly insertedParseCount: number;
	/** True if the position query follows the frames of the caller. CommandComplete and ReadyForQuery are then withheld. */
	readonly hasPositionQuery: boolean;
};

type Disposition = 'pass' | 'withhold' | 'drop';

/** Tags of commands that may commit before the end of the exchange, so that all frames after them have to be withheld. */
const commitTagPattern = /^(?:COMMIT|CALL|DO)/v;

/**
 * Splits the response of one exchange into frames that are passed to the caller at once, frames that are withheld, and responses
 * to messages that the holder added.
 */
export class ResponseReader {
	transactionStatus: 'I' | 'T' | 'E' = 'I';
	/** SQLSTATE of the first error. */
	sqlState: string | undefined;
	position: LogPosition | undefined;
	/** Message of a FATAL error, after which the server closes the connection. */
	fatalMessage: string | undefined;
	/** Number of inserted Parse frames that succeeded. */
	succeededParseCount = 0;
	/** True if a part of the exchange may have committed before the end of the exchange. */
	mayHaveCommittedEarly = false;
	isDone = false;
	withheldBytes = 0;
	private readonly withheld: Buffer[] = [];
	private remainingReadyCount: number;
	private remainingParseCount: number;
	private isWithholding = false;
	private isInPositionResponse = false;

	/** @param expected - what the exchange sends */
	constructor(private readonly expected: ExpectedResponse) {
		this.remainingReadyCount = expected.readyCount;
		this.remainingParseCount = expected.insertedParseCount;
	}

	/**
	 * Processes a chunk of whole frames.
	 * @returns parts to pass to the caller now, in order. They share memory with the chunks
	 */
	push(chunk: Buffer): Buffer[] {
		const passed: Buffer[] = [];
		let partDisposition: Disposition = 'pass';
		let partStart = 0;
		let offset = 0;
		while (offset < chunk.length) {
			const end = offset + frameLengthAt(chunk, offset);
			const disposition = this.dispositionOf(chunk, offset, end);
			if (disposition !== partDisposition) {
				this.routePart(partDisposition, chunk.subarray(partStart, offset), passed);
				partStart = offset;
				partDisposition = disposition;
			}

			offset = end;
		}

		this.routePart(partDisposition, chunk.subarray(partStart), passed);
		return passed;
	}

	/** Removes and returns the withheld frames, which may be sent once the commit is acknowledged. */
	takeWithheld(): Buffer[] {
		this.withheldBytes = 0;
		return this.withheld.splice(0);
	}

	private dispositionOf(chunk: Buffer, offset: number, end: number): Disposition {
		const type = chunk[offset]!;
		if (this.isInPositionResponse) {
			this.readPosition(chunk.subarray(offset, end));
			return 'drop';
		}

		switch (type) {
			case backendTypes.parseComplete: {
				return this.handleParseComplete();
			}

			case backendTypes.errorResponse: {
				return this.handleError(chunk.subarray(offset, end));
			}

			case backendTypes.commandComplete: {
				this.isWithholding = this.expected.hasPositionQuery;
				this.mayHaveCommittedEarly ||= commitTagPattern.test(chunk.toString('latin1', offset + frameHeaderBytes, end - 1));
				return this.passOrWithhold();
			}

			case backendTypes.readyForQuery: {
				return this.handleReadyForQuery(chunk[offset + frameHeaderBytes]!);
			}

			case backendTypes.dataRow:
			case backendTypes.rowDescription: {
				// Rows that follow a command that has not committed may pass, together with its CommandComplete.
				this.isWithholding &&= this.mayHaveCommittedEarly;
				return this.passOrWithhold();
			}

			default: {
				return this.passOrWithhold();
			}
		}
	}

	private passOrWithhold(): Disposition {
		return this.isWithholding ? 'withhold' : 'pass';
	}

	private handleError(frame: Buffer): Disposition {
		this.remainingParseCount = 0;
		this.sqlState ??= readErrorField(frame, 'C');
		if (readErrorField(frame, 'S') === 'FATAL') {
			// The connection of the caller stays open, so the holder reports the loss as a failure instead of passing FATAL on.
			this.fatalMessage = readErrorField(frame, 'M') ?? '';
			return 'drop';
		}

		return this.passOrWithhold();
	}

	private handleParseComplete(): Disposition {
		if (this.remainingParseCount === 0) {
			return this.passOrWithhold();
		}

		this.remainingParseCount--;
		this.succeededParseCount++;
		return 'drop';
	}

	private handleReadyForQuery(status: number): Disposition {
		this.remainingReadyCount--;
		this.transactionStatus = String.fromCodePoint(status) as 'I' | 'T' | 'E';
		this.isWithholding = this.expected.hasPositionQuery;
		if (this.remainingReadyCount > 0) {
			this.mayHaveCommittedEarly = true;
		} else {
			this.isInPositionResponse = this.expected.hasPositionQuery;
			this.isDone = !this.expected.hasPositionQuery;
		}

		return this.passOrWithhold();
	}

	private routePart(disposition: Disposition, part: Buffer, passed: Buffer[]): void {
		if (part.length === 0 || disposition === 'drop') {
			return;
		}

		if (disposition === 'withhold') {
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
		if (frame[0] === backendTypes.dataRow) {
			const [term, offsetBytes] = readDataRow(frame).map(Number);
			this.position = Number.isSafeInteger(term) && Number.isSafeInteger(offsetBytes) ? {term: term!, offsetBytes: offsetBytes!} : undefined;
		} else if (frame[0] === backendTypes.readyForQuery) {
			this.isDone = true;
		}
	}
}
