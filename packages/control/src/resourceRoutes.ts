import {randomUUID} from 'node:crypto';
import {Readable} from 'node:stream';
import {type FastifyInstance, type FastifyReply, type FastifyRequest} from 'fastify';
import {z} from 'zod';
import {
	resourceKinds, type Clock, type FieldProblem, type GroupDirectory, type Resource, type ResourceKind, childSignal,
} from '@crocusloom/model';
import {type ChangeOutcome, type ConfigurationChange} from './changeAcceptor.js';
import {type Condition} from './conditions.js';
import {type ConfigurationStore} from './configurationStore.js';
import {watchLines} from './watchStream.js';

/** Members of the configuration store that the resource endpoints use. */
export type ResourceStore = Pick<ConfigurationStore, 'isReady' | 'current' | 'accept' | 'changesSince' | 'onChangeSet' | 'invalidEntries' | 'highestKnownRevision' | 'platformHealth'>;

export type ResourceRoutesOptions = {
	readonly store: ResourceStore;
	readonly directory: Pick<GroupDirectory, 'stateOf'>;
	readonly clock: Clock;
	readonly conditions: (signal: AbortSignal) => Promise<readonly Condition[]>;
};

type KindRequest = FastifyRequest<{Params: {kind: ResourceKind; name: string}}>;

/** Resource and action that the method and path of a request specify. */
type ChangeTarget = {readonly kind: ResourceKind; readonly name?: string; readonly action: 'create' | 'put' | 'delete'};

const resourceBodySchema = z.object({
	kind: z.string().optional(), name: z.string().optional(), revision: z.number().optional(), spec: z.unknown(),
});
const watchQuerySchema = z.object({since: z.coerce.number().int().min(0).default(0)});
const revisionPattern = /^"?(?<revision>\d{1,15})"?$/v;
const retryAfterSeconds = 1;

/**
 * Registers the endpoints that read, change and watch resources.
 * @param signal - ends watches and pending changes when the API stops
 */
export function registerResourceRoutes(server: FastifyInstance, options: ResourceRoutesOptions, signal: AbortSignal): void {
	const {clock, store} = options;
	server.get('/v1/watch', async (request, reply) => {
		const query = watchQuerySchema.safeParse(request.query);
		if (!query.success) {
			return sendInvalid(reply, [{path: 'since', message: 'must be a revision'}]);
		}

		const lines = watchLines(store, query.data.since, clock, createRequestSignal(reply, signal));
		return reply.type('application/x-ndjson').send(Readable.from(lines, {objectMode: false}));
	});

	for (const kind of resourceKinds) {
		server.get(`/v1/${kind}`, async (request, reply) => {
			if (!store.isReady) {
				return sendNotReady(reply);
			}

			const conditions = await options.conditions(createRequestSignal(reply, signal));
			const configuration = store.current();
			const items = [...configuration[kind].values()].map(resource => toResourceBody(resource, options, conditions));
			return reply.send({kind, revision: configuration.revision, items});
		});
		server.get(`/v1/${kind}/:name`, async (request: KindRequest, reply) => {
			if (!store.isReady) {
				return sendNotReady(reply);
			}

			const resource = store.current()[kind].get(request.params.name);
			if (!resource) {
				return reply.code(404).send({error: 'notFound', message: `${kind}/${request.params.name} does not exist`});
			}

			const conditions = await options.conditions(createRequestSignal(reply, signal));
			return reply.header('etag', `"${resource.revision}"`).send(toResourceBody(resource, options, conditions));
		});
		server.post(`/v1/${kind}`, async (request, reply) => handleChange(request, reply, {kind, action: 'create'}));
		server.put(`/v1/${kind}/:name`, async (request: KindRequest, reply) => handleChange(request, reply, {kind, name: request.params.name, action: 'put'}));
		server.delete(`/v1/${kind}/:name`, async (request: KindRequest, reply) => handleChange(request, reply, {kind, name: request.params.name, action: 'delete'}));
	}

	async function handleChange(request: FastifyRequest, reply: FastifyReply, target: ChangeTarget) {
		const parsed = parseChange(request, target);
		if ('problems' in parsed) {
			return sendInvalid(reply, parsed.problems);
		}

		// If the client disconnects, the change is still completed. The client can repeat it with the same change id.
		return sendOutcome(reply, parsed, await store.accept(parsed, signal));
	}
}

/** Parses the change that a request specifies. */
function parseChange(request: FastifyRequest, target: ChangeTarget): ConfigurationChange | {readonly problems: readonly FieldProblem[]} {
	const {action, kind, name: pathName} = target;
	const expectedRevision = parseRevision(request.headers['if-match']);
	if (expectedRevision === 'invalid' || (action === 'delete' && expectedRevision === undefined)) {
		return {problems: [{path: 'If-Match', message: 'must be the revision of the resource'}]};
	}

	const suppliedChangeId = request.headers['change-id'];
	const changeId = typeof suppliedChangeId === 'string' && suppliedChangeId !== '' ? suppliedChangeId : randomUUID();
	if (action === 'delete') {
		return {
			action, kind, name: pathName!, changeId, expectedRevision: expectedRevision!,
		};
	}

	const body = resourceBodySchema.safeParse(request.body);
	if (!body.success) {
		return {problems: [{path: '', message: 'must be an object with the field spec'}]};
	}

	const name = pathName ?? body.data.name ?? '';
	const mismatches = [
		...(body.data.kind === undefined || body.data.kind === kind ? [] : [{path: 'kind', message: `must be ${kind}`}]),
		...(body.data.name === undefined || body.data.name === name ? [] : [{path: 'name', message: `must be ${name}`}]),
	];
	if (mismatches.length > 0) {
		return {problems: mismatches};
	}

	const common = {
		kind, name, spec: body.data.spec, changeId,
	};
	const isCreation = action === 'create' || expectedRevision === undefined || expectedRevision === 0;
	return isCreation ? {action: 'create', ...common} : {action: 'replace', ...common, expectedRevision};
}

function parseRevision(header: string | undefined): number | undefined | 'invalid' {
	if (header === undefined) {
		return undefined;
	}

	const revision = revisionPattern.exec(header)?.groups?.revision;
	return revision === undefined ? 'invalid' : Number(revision);
}

type OutcomeSender<O> = (reply: FastifyReply, change: ConfigurationChange, outcome: O) => FastifyReply;

const outcomeSenders: {readonly [T in ChangeOutcome['type']]: OutcomeSender<Extract<ChangeOutcome, {type: T}>>} = {
	accepted: (reply, {action, kind, name, changeId}, {resource, revision}) => reply
		.code(action === 'create' ? 201 : 200)
		.header('change-id', changeId)
		.header('etag', `"${revision}"`)
		.send(action === 'delete' || !resource
			? {
				kind, name, revision, deleted: true,
			}
			: {...resource, acceptedRevision: revision}),
	conflict: (reply, {kind, name}, {current, currentRevision}) => reply.code(409).send({
		error: 'conflict',
		message: currentRevision === 0 ? `${kind}/${name} does not exist` : `${kind}/${name} is at revision ${currentRevision}`,
		currentRevision,
		current,
	}),
	invalid: (reply, _change, {problems}) => sendInvalid(reply, problems),
	unavailable: (reply, {changeId}, {effect, message}) => reply.code(503).header('retry-after', retryAfterSeconds).header('change-id', changeId).send({error: 'unavailable', effect, message}),
};

function sendOutcome(reply: FastifyReply, change: ConfigurationChange, outcome: ChangeOutcome): FastifyReply {
	const send = outcomeSenders[outcome.type] as OutcomeSender<ChangeOutcome>;
	return send(reply, change, outcome);
}

function sendInvalid(reply: FastifyReply, problems: readonly FieldProblem[]): FastifyReply {
	return reply.code(400).send({error: 'invalid', message: 'the request has invalid fields', problems});
}

function sendNotReady(reply: FastifyReply): FastifyReply {
	return reply.code(503).header('retry-after', retryAfterSeconds).send({error: 'unavailable', effect: 'none', message: 'no configuration is in force yet'});
}

function toResourceBody(resource: Resource, options: ResourceRoutesOptions, conditions: readonly Condition[]) {
	const resourcePath = `${resource.kind}/${resource.name}`;
	const resourceConditions = conditions.filter(condition => condition.resource === resourcePath || condition.resource.startsWith(`${resourcePath}/`));
	const state = resource.kind === 'databaseGroups' ? options.directory.stateOf(resource.name) : undefined;
	return {...resource, status: {...state, conditions: resourceConditions}};
}

/** Creates a signal that aborts when the response is complete, the client disconnects or the API stops. */
export function createRequestSignal(reply: FastifyReply, signal: AbortSignal): AbortSignal {
	const requestController = childSignal(signal);
	reply.raw.once('close', () => {
		requestController.abort();
		requestController.release();
	});
	return requestController.signal;
}
