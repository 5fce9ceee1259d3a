/**
 * Lines of the wire protocol, which end with CR LF.
 */

/** Calls a listener with each line that a socket receives. */
export function onLine(socket, listener) {
	let partial = '';
	socket.setEncoding('latin1');
	socket.on('data', text => {
		const lines = (partial + text).split('\r\n');
		partial = lines.pop();
		for (const line of lines) {
			listener(line);
		}
	});
}
