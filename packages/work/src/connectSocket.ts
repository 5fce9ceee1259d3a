import {connect, type Socket} from 'node:net';

/**
 * Opens a TCP connection.
 * @param signal - aborts the attempt
 * @throws the error of the socket, or the reason of the signal
 */
export async function connectSocket(address: string, port: number, signal: AbortSignal): Promise<Socket> {
	signal.throwIfAborted();
	return new Promise((resolve, reject) => {
		const socket = connect({host: address, port, noDelay: true});
		const abort = () => {
			socket.destroy();
			reject(signal.reason as Error);
		};

		const removeListeners = () => {
			signal.removeEventListener('abort', abort);
			socket.removeAllListeners();
		};

		signal.addEventListener('abort', abort, {once: true});
		socket.once('connect', () => {
			removeListeners();
			resolve(socket);
		});
		socket.once('error', error => {
			removeListeners();
			socket.on('error', () => undefined);
			reject(error);
		});
	});
}
