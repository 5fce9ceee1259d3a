/** Longest line accepted from the platform. Lines contain base64 of values of up to 1 MB. */
const maximumLineCharacters = 16 * 1024 * 1024;

/**
 * Splits a byte stream into lines.
 * @param stream - UTF-8 text
 * @returns the lines without line terminators; blank lines are omitted
 * @throws RangeError if a line exceeds the maximum length
 */
export async function * readLines(stream: ReadableStream<Uint8Array>): AsyncGenerator<string> {
	const decoder = new TextDecoder();
	let partialLine = '';
	for await (const chunk of stream) {
		const lines = (partialLine + decoder.decode(chunk, {stream: true})).split('\n');
		partialLine = lines.pop()!;
		if (partialLine.length > maximumLineCharacters) {
			throw new RangeError(`line is longer than ${maximumLineCharacters} characters`);
		}

		yield * lines.filter(line => line.trim() !== '');
	}

	if (partialLine.trim() !== '') {
		yield partialLine;
	}
}

/**
 * Reads a byte stream to its end.
 * @param stream - UTF-8 text
 * @param onData - called for each received part
 */
export async function readText(stream: ReadableStream<Uint8Array>, onData: () => void): Promise<string> {
	const decoder = new TextDecoder();
	let text = '';
	for await (const chunk of stream) {
		onData();
		text += decoder.decode(chunk, {stream: true});
	}

	return text + decoder.decode();
}
