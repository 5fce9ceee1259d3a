import {type FrameSink} from '@crocusloom/model';
import {backendTypes} from '@crocusloom/wire';
import {frameLengthAt} from './frameScan.js';

/** Maximum number of bytes to buffer before they are forwarded regardless of whether the statement was refused. */
const maximumBufferedBytes = 64 * 1024;

/**
 * Buffers the start of a response until a row or a completed command shows that the statement ran, so that a statement that a
 * read-only database refuses can be run again at another one.
 */
export class BufferingSink {
	readonly sink: FrameSink;
	private bufferedFrames: Buffer[] = [];
	private bufferedBytes = 0;
	private isPassingThrough = false;

	constructor(private readonly target: FrameSink) {
		this.sink = (frames): Promise<void> | void => this.receive(frames);
	}

	/** True if nothing was forwarded yet. */
	get isBuffering(): boolean {
		return !this.isPassingThrough;
	}

	/** Forwards the buffered frames. */
	flush(): Promise<void> | void {
		if (this.isPassingThrough || this.bufferedBytes === 0) {
			return;
		}

		this.isPassingThrough = true;
		const frames = Buffer.concat(this.bufferedFrames);
		this.bufferedFrames = [];
		return this.target(frames);
	}

	private receive(frames: Buffer): Promise<void> | void {
		if (this.isPassingThrough) {
			return this.target(frames);
		}

		if (this.bufferedBytes === 0 && hasRowOrCompletion(frames)) {
			this.isPassingThrough = true;
			return this.target(frames);
		}

		this.bufferedFrames.push(frames);
		this.bufferedBytes += frames.length;
		return this.bufferedBytes > maximumBufferedBytes || hasRowOrCompletion(frames) ? this.flush() : undefined;
	}
}

function hasRowOrCompletion(frames: Buffer): boolean {
	for (let offset = 0; offset < frames.length; offset += frameLengthAt(frames, offset)) {
		const type = frames[offset];
		if (type === backendTypes.dataRow || type === backendTypes.commandComplete) {
			return true;
		}
	}

	return false;
}
