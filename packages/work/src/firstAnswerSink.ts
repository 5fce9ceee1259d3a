import {type FrameSink} from '@crocusloom/model';
import {backend} from '@crocusloom/wire';
import {frameLengthAt} from './frameWalk.js';

/** Bytes that are held back at most before it is known whether the read was refused. */
const maximumHeldBytes = 64 * 1024;

/**
 * Holds back the start of a read's answer until a row or a completed command shows that the read ran, so that a read
 * that a replica refuses can be run again elsewhere.
 */
export class FirstAnswerSink {
	readonly sink: FrameSink;
	private held: Buffer[] = [];
	private heldBytes = 0;
	private isOpen = false;

	constructor(private readonly target: FrameSink) {
		this.sink = (frames): Promise<void> | void => this.take(frames);
	}

	/** True if nothing was sent on. */
	get isUntouched(): boolean {
		return !this.isOpen;
	}

	/** Sends on what is held back. */
	flush(): Promise<void> | void {
		if (this.isOpen || this.heldBytes === 0) {
			return;
		}

		this.isOpen = true;
		const frames = Buffer.concat(this.held);
		this.held = [];
		return this.target(frames);
	}

	private take(frames: Buffer): Promise<void> | void {
		if (this.isOpen) {
			return this.target(frames);
		}

		if (this.heldBytes === 0 && showsProgress(frames)) {
			this.isOpen = true;
			return this.target(frames);
		}

		this.held.push(frames);
		this.heldBytes += frames.length;
		return this.heldBytes > maximumHeldBytes || showsProgress(frames) ? this.flush() : undefined;
	}
}

function showsProgress(frames: Buffer): boolean {
	for (let offset = 0; offset < frames.length; offset += frameLengthAt(frames, offset)) {
		const type = frames[offset];
		if (type === backend.dataRow || type === backend.commandComplete) {
			return true;
		}
	}

	return false;
}
