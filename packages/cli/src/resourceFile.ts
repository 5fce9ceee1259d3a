import {isDeepStrictEqual} from 'node:util';
import {
	resourceKinds, resourceNameSchema, specSchemas, type Resource, type ResourceKind,
} from '@crocusloom/model';
import {CommandError, exitCodes, refused} from './errors.js';

/** A resource as a file gives it; the server checks the spec. */
export type GivenResource = {
	readonly kind: ResourceKind;
	readonly name: string;
	/** Revision that the operator has read, as `get` prints it. */
	readonly revision?: number;
	readonly spec: unknown;
};

/** Routes need the others, so that they come last. */
const applyOrder: readonly ResourceKind[] = ['ranks', 'freshnessClasses', 'databaseGroups', 'routes'];

/**
 * Reads the resources of a file in the order in which they can be applied.
 * @param text - JSON: a resource, a list, or an object with the list `items`
 * @param source - name of the file for messages
 * @throws CommandError with a line for each problem
 */
export function parseResources(text: string, source: string): readonly GivenResource[] {
	const items = parseItems(text, source);
	const problems = items.flatMap((item, index) => problemsOf(item).map(problem => `${source}: resource ${index + 1}: ${problem}`));
	if (problems.length > 0) {
		throw new CommandError(problems, exitCodes.refused);
	}

	const resources = items as readonly GivenResource[];
	return resources.toSorted((a, b) => applyOrder.indexOf(a.kind) - applyOrder.indexOf(b.kind));
}

function parseItems(text: string, source: string): readonly unknown[] {
	let parsed: unknown;
	try {
		parsed = JSON.parse(text);
	} catch (error) {
		throw refused(`${source}: ${error instanceof Error ? error.message : String(error)}`);
	}

	const list = isObject(parsed) && Array.isArray(parsed.items) ? parsed.items as unknown : parsed;
	return Array.isArray(list) ? list : [list];
}

function problemsOf(item: unknown): readonly string[] {
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

/** Tells whether a resource already has the given spec, defaults included. */
export function isUnchanged(given: GivenResource, current: Resource): boolean {
	const parsed = specSchemas[given.kind].safeParse(given.spec);
	return parsed.success && isDeepStrictEqual(parsed.data, current.spec);
}
