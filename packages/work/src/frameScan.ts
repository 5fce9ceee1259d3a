import {frameHeaderBytes, frontendTypes} from '@crocusloom/wire';

/** Returns the length in bytes of the frame that starts at an offset, including its header. */
export function frameLengthAt(bytes: Buffer, offset: number): number {
	return 1 + bytes.readInt32BE(offset + 1);
}

/** Counts the frames for which the server sends ReadyForQuery. */
export function countReadyForQueryRequests(frames: Buffer): number {
	let count = 0;
	for (let offset = 0; offset + frameHeaderBytes <= frames.length; offset += frameLengthAt(frames, offset)) {
		const type = frames[offset];
		if (type === frontendTypes.query || type === frontendTypes.sync || type === frontendTypes.functionCall) {
			count++;
		}
	}

	return count;
}
