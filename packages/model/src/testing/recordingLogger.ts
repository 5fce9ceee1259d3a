import {type Logger} from '../ports.js';

/** A recorded log line. */
export type RecordedLine = {readonly level: keyof Logger; readonly fields: Readonly<Record<string, unknown>>; readonly message: string};

/** Logger that records its lines for tests. */
export class RecordingLogger implements Logger {
	readonly lines: RecordedLine[] = [];

	info(fields: Readonly<Record<string, unknown>>, message: string): void {
		this.lines.push({level: 'info', fields, message});
	}

	warn(fields: Readonly<Record<string, unknown>>, message: string): void {
		this.lines.push({level: 'warn', fields, message});
	}

	error(fields: Readonly<Record<string, unknown>>, message: string): void {
		this.lines.push({level: 'error', fields, message});
	}

	/** Returns the lines with the given message. */
	withMessage(message: string): readonly RecordedLine[] {
		return this.lines.filter(line => line.message === message);
	}
}
