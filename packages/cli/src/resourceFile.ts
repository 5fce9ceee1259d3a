import {isDeepStrictEqual} from 'node:util';
import {
	resourceKinds, resourceNameSchema, specSchemas, type Resource, type ResourceKind,
} from '@crocusloom/model';
import {CommandError, createRefusalError, exitCodes} from './errors.js';

/** A resource as written in a file. The server validates the spec. */
export type ResourceInput = {
	readonly kind: ResourceKind;
	readonly name: string;
	/** Revision that the operator read, as printed by `get`. */
	readonly revision?: number;
	readonly spec: unknown;
};

/** Order in which kinds are applied. Routes refer to resources of the other kinds, so they come last. */
const applyOrder: readonly ResourceKind[] = ['ranks', 'freshnessClasses', 'databaseGroups', 'routes'];

/**
 * Parses the resources of a file and sorts them into the order in which they can be applied.
 * @param text - JSON: a resource, a list of resources, or an object whose `items` is such a list
 * @param source - file name for messages
 * @throws CommandError with a line for each problem
 */
export function parseResources(text: string, source: string): readonly ResourceInput[] {
	const items = parseItems(text, source);
	const problems = items.flatMap((item, index) => findProblems(item).map(problem => `${source}: resource ${index + 1}: ${problem}`));
	if (problems.length > 0) {
		throw new CommandError(problems, exitCodes.refused);
	}

	const resources = items as readonly ResourceInput[];
	return resources.toSorted((a, b) => applyOrder.indexOf(a.kind) - applyOrder.indexOf(b.kind));
}

function parseItems(text: string, source: string): readonly unknown[] {
	let parsed: unknown;
	try {
		parsed = JSON.parse(text);
	} catch (error) {
		throw createRefusalError(`${source}: ${error instanceof Error ? error.message : String(error)}`);
	}

	const list = isObject(parsed) && Array.isArray(parsed.items) ? parsed.items as unknown : parsed;
	return Array.isArray(list) ? list : [list];
}

function findProblems(item: unknown): readonly string[] {
	if (!isObject(item)) {
		return ['must be an object'];
	}

	const {kind, name, revision, spec} = item;
	return [
		...(resourceKinds.includes(kind as ResourceKind) ? [] : [`kind: must be one of ${resourceKinds.join(', ')}`]),
		...(resourceNameSchema.safeParse(name).error?.issues ?? []).map(({message}) => `name: ${message}`),
		...(revision === undefined || (Number.isInteger(revision) && Number(revision) > 0) ? [] : ['revision: must be a positive integer']),
		...(isObject(spec) ? [] : ['spec: must be an object']),
	];
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Returns whether an existing resource already has the spec of the input, once defaults are filled in. */
export function isUnchanged(input: ResourceInput, existingResource: Resource): boolean {
	const parsed = specSchemas[input.kind].safeParse(input.spec);
	return parsed.success && isDeepStrictEqual(parsed.data, existingResource.spec);
}
