/** Longest line accepted from the platform: a value of a megabyte in base64 and some. */
const maximumLineLength = 16 * 1024 * 1024;

/**
 * Cuts a byte stream into lines.
 * @param stream - UTF-8 text
 * @returns lines without their end, empty ones left out
 * @throws RangeError when a line is above the limit
 */
export async function * readLines(stream: ReadableStream<Uint8Array>): AsyncGenerator<string> {
	const decoder = new TextDecoder();
	let rest = '';
	for await (const chunk of stream) {
		const lines = (rest + decoder.decode(chunk, {stream: true})).split('\n');
		rest = lines.pop()!;
		if (rest.length > maximumLineLength) {
			throw new RangeError(`line is longer than ${maximumLineLength} characters`);
		}

		yield * lines.filter(line => line.trim() !== '');
	}

	if (rest.trim() !== '') {
		yield rest;
	}
}
