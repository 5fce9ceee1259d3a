import {type Logger} from '@crocusloom/model';

export type RecordedLine = {readonly level: keyof Logger; readonly fields: Readonly<Record<string, unknown>>; readonly message: string};

/** A log that keeps its lines for a test. */
export class RecordingLog implements Logger {
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

	/** Lines with a message. */
	with(message: string): readonly RecordedLine[] {
		return this.lines.filter(line => line.message === message);
	}
}
