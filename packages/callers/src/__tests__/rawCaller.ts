import {
	buildFrame, cString, frontendTypes,
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
	return buildFrame(frontendTypes.query, cString(text));
}

/** Builds Parse, Bind, Describe and Execute of a text without parameters, followed by Sync or Flush. */
export function extendedFrames(name: string, text: string, end: 'sync' | 'flush'): Buffer {
	return Buffer.concat([
		buildFrame(frontendTypes.parse, Buffer.concat([cString(name), cString(text), Buffer.alloc(2)])),
		bindFrames(name),
		buildFrame(frontendTypes[end], Buffer.alloc(0)),
	]);
}

/** Builds Bind, Describe and Execute of a prepared statement. */
export function bindFrames(name: string): Buffer {
	return Buffer.concat([
		buildFrame(frontendTypes.bind, Buffer.concat([cString(''), cString(name), Buffer.alloc(6)])),
		buildFrame(frontendTypes.describe, Buffer.from('P\0')),
		buildFrame(frontendTypes.execute, Buffer.concat([cString(''), Buffer.alloc(4)])),
	]);
}
