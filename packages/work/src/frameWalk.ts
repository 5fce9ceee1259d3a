import {frameHeaderBytes, frontend} from '@crocusloom/wire';

/** Length in bytes of the whole frame at an offset of a buffer that is cut at frame boundaries. */
export function frameLengthAt(bytes: Buffer, offset: number): number {
	return 1 + bytes.readInt32BE(offset + 1);
}

/** Counts the frames to which the server answers with ReadyForQuery. */
export function countReadyRequests(frames: Buffer): number {
	let count = 0;
	for (let offset = 0; offset + frameHeaderBytes <= frames.length; offset += frameLengthAt(frames, offset)) {
		const type = frames[offset];
		if (type === frontend.query || type === frontend.sync || type === frontend.functionCall) {
			count++;
		}
	}

	return count;
}
