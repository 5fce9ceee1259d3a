/**
 * Minimal HTTP server with JSON responses, used for the control ports.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo, type Server as NetServer} from 'node:net';

/** Handles a request; the result is sent as JSON. */
export type JsonHandler = (body: unknown) => unknown;

/** Handlers by method and path, for example `GET /counters`. */
export type JsonRoutes = Readonly<Record<string, JsonHandler>>;

/**
 * Reads a whole request body as JSON.
 * @param limitBytes - maximum size of the body
 * @throws Error if the body is too large or not JSON
 */
export async function readJson(request: IncomingMessage, limitBytes: number): Promise<unknown> {
	const chunks: Buffer[] = [];
	let sizeBytes = 0;
	for await (const chunk of request as AsyncIterable<Buffer>) {
		sizeBytes += chunk.length;
		if (sizeBytes > limitBytes) {
			throw new Error(`request body is larger than ${limitBytes} bytes`);
		}

		chunks.push(chunk);
	}

	return sizeBytes === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown;
}

/** Sends a JSON response. */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(`${JSON.stringify(body)}\n`);
}

const maximumControlBodyBytes = 4 * 1024 * 1024;

/**
 * Starts an HTTP server for the given routes.
 * @returns the listening server; `portOf` gives its port
 */
export async function startJsonServer(routes: JsonRoutes, host: string, port: number): Promise<Server> {
	const server = createServer((request, response) => {
		void handleRequest(routes, request, response);
	});
	await listen(server, host, port);
	return server;
}

/** Starts listening. @throws Error if the address is in use */
export async function listen(server: Server | NetServer, host: string, port: number): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, () => {
			server.off('error', reject);
			resolve();
		});
	});
}

/** Port of a listening server. */
export function portOf(server: Server | NetServer): number {
	return (server.address() as AddressInfo).port;
}

async function handleRequest(routes: JsonRoutes, request: IncomingMessage, response: ServerResponse): Promise<void> {
	const routeKey = `${request.method} ${request.url}`;
	const handler = Object.hasOwn(routes, routeKey) ? routes[routeKey] : undefined;
	if (!handler) {
		sendJson(response, 404, {error: `unknown operation: ${routeKey}`});
		return;
	}

	try {
		const body = await readJson(request, maximumControlBodyBytes);
		sendJson(response, 200, await handler(body) ?? {});
	} catch (error) {
		sendJson(response, 400, {error: error instanceof Error ? error.message : String(error)});
	}
}
