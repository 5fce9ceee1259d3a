import {type AddressInfo} from 'node:net';
import fastify, {type FastifyInstance} from 'fastify';
import {z} from 'zod';
import {
	FailureError, type Clock, type GroupDirectory, type Logger, deferred, runSupervised,
} from '@crocusloom/model';
import {registerResourceRoutes, createRequestSignal, type ResourceStore} from './resourceRoutes.js';
import {StatusReporter, type StatusReporterOptions} from './statusReporter.js';

/** A request to explain how a statement is routed. */
export type ExplainRequest = {
	/** Database name of the caller's startup message. */
	readonly database: string;
	readonly statement: string;
	readonly user?: string;
	readonly application?: string;
	/** Session token of the caller; undefined if it sent none. */
	readonly session?: string;
};

export type ResourceApiOptions = Omit<StatusReporterOptions, 'store' | 'directory'> & {
	readonly address: string;
	/** 0 chooses a free port. */
	readonly port: number;
	readonly store: ResourceStore;
	readonly directory: Pick<GroupDirectory, 'stateOf' | 'states' | 'promotions'>;
	readonly clock: Clock;
	readonly log: Logger;
	/** Handles `GET /v1/explain`. The daemon classifies the statement and calls its dispatcher. */
	readonly explain: (request: ExplainRequest, signal: AbortSignal) => Promise<unknown> | unknown;
	/** Handles `GET /metrics`, for example with the registry of prom-client. */
	readonly metrics?: () => Promise<{readonly contentType: string; readonly body: string}>;
};

export type ResourceApi = {
	readonly address: string;
	readonly port: number;
	/** Resolves when the API has stopped after its signal was aborted. */
	readonly closed: Promise<void>;
};

/** Resources have a few kilobytes. The limit is the store's maximum value size of 1 MB. */
const bodyLimitBytes = 1024 * 1024;

const explainQuerySchema = z.object({
	database: z.string().min(1), statement: z.string().min(1), user: z.string().optional(), application: z.string().optional(), session: z.string().optional(),
});

/**
 * Starts the resource API.
 * @param signal - stops the API and closes the connections of requests in progress
 * @returns address and port on which it listens
 * @throws Error of the socket if the port cannot be bound
 */
export async function startResourceApi(options: ResourceApiOptions, signal: AbortSignal): Promise<ResourceApi> {
	const server = fastify({bodyLimit: bodyLimitBytes, forceCloseConnections: true});
	const reporter = new StatusReporter(options);
	registerErrorHandlers(server, options.log);
	registerResourceRoutes(server, {...options, conditions: async callSignal => reporter.evaluateConditions(callSignal)}, signal);
	registerReportRoutes(server, options, reporter, signal);
	await server.listen({host: options.address, port: options.port});
	const address = server.addresses()[0] as AddressInfo;
	void runSupervised('status reporter', async () => reporter.run(signal), options, signal);
	return {address: address.address, port: address.port, closed: closeOnAbort(server, signal)};
}

function registerReportRoutes(server: FastifyInstance, options: ResourceApiOptions, reporter: StatusReporter, signal: AbortSignal): void {
	server.get('/v1/status', async (_request, reply) => reporter.buildReport(createRequestSignal(reply, signal)));
	server.get('/v1/promotions', async () => ({items: options.directory.promotions()}));
	server.get('/v1/explain', async (request, reply) => {
		const query = explainQuerySchema.safeParse(request.query);
		if (!query.success) {
			const problems = query.error.issues.map(({path, message}) => ({path: path.join('.'), message}));
			return reply.code(400).send({error: 'invalid', message: 'the request has invalid fields', problems});
		}

		return reply.send(await options.explain(query.data, createRequestSignal(reply, signal)));
	});
	const {metrics} = options;
	if (metrics) {
		server.get('/metrics', async (_request, reply) => {
			const {body, contentType} = await metrics();
			return reply.type(contentType).send(body);
		});
	}
}

const statusCodes: Readonly<Record<string, number>> = {
	notRun: 503, platform: 503, peer: 503, conflict: 409, invalid: 400, protocol: 400,
};

function registerErrorHandlers(server: FastifyInstance, log: Logger): void {
	server.setNotFoundHandler(async (request, reply) => reply.code(404).send({error: 'notFound', message: `${request.method} ${request.url} is not an endpoint`}));
	server.setErrorHandler(async (error: Error & {readonly statusCode?: number}, request, reply) => {
		if (error instanceof FailureError) {
			return reply.code(statusCodes[error.failure.kind] ?? 500).send({error: error.failure.kind, message: error.message});
		}

		const statusCode = error.statusCode ?? 500;
		if (statusCode >= 500) {
			log.error({method: request.method, url: request.url, error: error.message}, 'a request to the resource API failed');
		}

		return reply.code(statusCode).send({error: statusCode < 500 ? 'invalid' : 'internal', message: error.message});
	});
}

async function closeOnAbort(server: FastifyInstance, signal: AbortSignal): Promise<void> {
	if (!signal.aborted) {
		const aborted = deferred<void>();
		signal.addEventListener('abort', () => {
			aborted.resolve();
		}, {once: true});
		await aborted.promise;
	}

	await server.close();
}
