import {connect, type Socket} from 'node:net';

/**
 * Connects a TCP socket.
 * @param signal - ends the attempt
 * @throws the socket's error or the signal's reason
 */
export async function connectSocket(address: string, port: number, signal: AbortSignal): Promise<Socket> {
	signal.throwIfAborted();
	return new Promise((resolve, reject) => {
		const socket = connect({host: address, port, noDelay: true});
		const abort = () => {
			socket.destroy();
			reject(signal.reason as Error);
		};

		const clean = () => {
			signal.removeEventListener('abort', abort);
			socket.removeAllListeners();
		};

		signal.addEventListener('abort', abort, {once: true});
		socket.once('connect', () => {
			clean();
			resolve(socket);
		});
		socket.once('error', error => {
			clean();
			socket.on('error', () => undefined);
			reject(error);
		});
	});
}
