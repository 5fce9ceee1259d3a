import {
	FailureError, type BackendConnection, type BackendDialer, type Failure,
} from '@crocusloom/model';
import {backendTypes, readErrorField, frameHeaderBytes} from '@crocusloom/wire';
import {connectSocket} from './connectSocket.js';
import {FrameSocket} from './frameSocket.js';
import {frameLengthAt} from './frameScan.js';
import {
	cancelRequest, md5Password, passwordMessage, startupMessage, terminateMessage,
} from './startup.js';

/** Credentials with which the proxy logs in to the backend servers. */
export type BackendLogin = {
	readonly user: string;
	readonly databaseName: string;
	readonly password?: string;
	readonly applicationName?: string;
};

/** Codes of the supported authentication requests. */
const authenticationOk = 0;
const authenticationCleartext = 3;
const authenticationMd5 = 5;

/** Opens plain TCP connections to PostgreSQL servers and logs in. */
export class TcpBackendDialer implements BackendDialer {
	constructor(private readonly login: BackendLogin) {}

	/**
	 * Connects to a server and logs in.
	 * @throws FailureError `peer` if the server cannot be reached or refuses the login
	 */
	async dial(database: string, address: string, port: number, signal: AbortSignal): Promise<BackendConnection> {
		try {
			const socket = await connectSocket(address, port, signal);
			return await this.startUp(new FrameSocket(socket, database), database, {address, port}, signal);
		} catch (error) {
			throw error instanceof FailureError ? error : new FailureError(connectFailure(database, String(error)), {cause: error});
		}
	}

	private async startUp(frames: FrameSocket, database: string, endpoint: Endpoint, signal: AbortSignal): Promise<BackendConnection> {
		const close = () => {
			frames.close();
		};

		signal.addEventListener('abort', close, {once: true});
		try {
			const {user, databaseName, applicationName = 'crocusloom'} = this.login;
			void frames.write(startupMessage({user, database: databaseName, application_name: applicationName}));
			const keyData = await this.authenticate(frames, database);
			return new TcpBackendConnection(frames, endpoint, keyData);
		} catch (error) {
			frames.close();
			throw error;
		} finally {
			signal.removeEventListener('abort', close);
		}
	}

	/**
	 * Responds to authentication requests until the server is ready.
	 * @returns the body of BackendKeyData, if the server sent it
	 */
	private async authenticate(frames: FrameSocket, database: string): Promise<Buffer | undefined> {
		let keyData: Buffer | undefined;
		for (;;) {
			const {done, value: chunk} = await frames.next();
			if (done) {
				throw new FailureError(connectFailure(database, 'the connection was closed during startup'));
			}

			for (let offset = 0; offset < chunk.length; offset += frameLengthAt(chunk, offset)) {
				const frame = chunk.subarray(offset, offset + frameLengthAt(chunk, offset));
				switch (frame[0]!) {
					case backendTypes.authentication: {
						this.respondToAuthentication(frames, frame, database);
						break;
					}

					case backendTypes.backendKeyData: {
						keyData = Buffer.from(frame.subarray(frameHeaderBytes));
						break;
					}

					case backendTypes.errorResponse: {
						throw new FailureError(connectFailure(database, `${readErrorField(frame, 'C')} ${readErrorField(frame, 'M')}`));
					}

					case backendTypes.readyForQuery: {
						return keyData;
					}

					default:
				}
			}
		}
	}

	private respondToAuthentication(frames: FrameSocket, request: Buffer, database: string): void {
		const code = request.readInt32BE(frameHeaderBytes);
		const {user, password = ''} = this.login;
		switch (code) {
			case authenticationOk: {
				return;
			}

			case authenticationCleartext: {
				void frames.write(passwordMessage(password));
				return;
			}

			case authenticationMd5: {
				void frames.write(passwordMessage(md5Password(user, password, request.subarray(frameHeaderBytes + 4, frameHeaderBytes + 8))));
				return;
			}

			default: {
				throw new FailureError(connectFailure(database, `authentication method ${code} is not supported`));
			}
		}
	}
}

type Endpoint = {readonly address: string; readonly port: number};

class TcpBackendConnection implements BackendConnection {
	readonly closed: AbortSignal;
	readonly preparedStatements = new Set<string>();

	constructor(private readonly frames: FrameSocket, private readonly endpoint: Endpoint, private readonly keyData: Buffer | undefined) {
		this.closed = frames.closed;
	}

	write(frames: Buffer): void {
		void this.frames.write(frames);
	}

	read(): AsyncIterable<Buffer> {
		const iterator = {next: async () => this.frames.next()};
		return {[Symbol.asyncIterator]: () => iterator};
	}

	cancel(): void {
		if (this.keyData) {
			void sendCancel(this.endpoint, this.keyData);
		}
	}

	close(): void {
		void this.frames.write(terminateMessage());
		this.frames.close();
	}
}

/** Timeout of the connection attempt for a cancel request. */
const cancelTimeoutMs = 2000;

async function sendCancel({address, port}: Endpoint, keyData: Buffer): Promise<void> {
	try {
		const socket = await connectSocket(address, port, AbortSignal.timeout(cancelTimeoutMs));
		socket.on('error', () => undefined);
		socket.end(cancelRequest(keyData));
		socket.resume();
	} catch {
		// Cancel requests are advisory. If one cannot be delivered, the statement runs to its end.
	}
}

function connectFailure(database: string, message: string): Failure {
	return {
		kind: 'peer', step: 'connect', peer: database, message,
	};
}
