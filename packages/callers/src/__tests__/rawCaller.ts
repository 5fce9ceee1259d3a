import {
	buildFrame, cString, frontend,
} from '@crocusloom/wire';

/** Builds a StartupMessage of protocol 3.0. */
export function startupPacket(parameters: Readonly<Record<string, string>>): Buffer {
	const body = Buffer.concat([...Object.entries(parameters).flat().map(text => cString(text)), Buffer.of(0)]);
	const header = Buffer.alloc(8);
	header.writeInt32BE(8 + body.length, 0);
	header.writeInt32BE(196_608, 4);
	return Buffer.concat([header, body]);
}

export function queryFrame(text: string): Buffer {
	return buildFrame(frontend.query, cString(text));
}

/** Builds Parse, Bind, Describe and Execute of a text without parameters, followed by Sync or Flush. */
export function extendedFrames(name: string, text: string, end: 'sync' | 'flush'): Buffer {
	return Buffer.concat([
		buildFrame(frontend.parse, Buffer.concat([cString(name), cString(text), Buffer.alloc(2)])),
		bindFrames(name),
		buildFrame(frontend[end], Buffer.alloc(0)),
	]);
}

/** Builds Bind, Describe and Execute of a prepared statement. */
export function bindFrames(name: string): Buffer {
	return Buffer.concat([
		buildFrame(frontend.bind, Buffer.concat([cString(''), cString(name), Buffer.alloc(6)])),
		buildFrame(frontend.describe, Buffer.from('P\0')),
		buildFrame(frontend.execute, Buffer.concat([cString(''), Buffer.alloc(4)])),
	]);
}
