import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Server, type Socket,
} from 'node:net';
import {expect} from 'chai';
import {FrameSocket, keepAliveDelayMs} from '../frameSocket.js';

describe('frame socket', () => {
	let server: Server;
	let socket: Socket;

	afterEach(() => {
		socket.destroy();
		server.close();
	});

	it('has the kernel probe a connection without traffic (guards against responses that are awaited for ever after the path was lost)', async () => {
		server = createServer().listen(0, '127.0.0.1');
		await once(server, 'listening');
		socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
		await once(socket, 'connect');
		const calls: unknown[] = [];
		const setKeepAlive = socket.setKeepAlive.bind(socket);
		socket.setKeepAlive = (...options) => {
			calls.push(options);
			return setKeepAlive(...options);
		};

		const frameSocket = new FrameSocket(socket, 'peer');
		expect(calls).to.deep.equal([[true, keepAliveDelayMs]]);
		frameSocket.close();
	});
});
