import {z} from 'zod';
import {maximumTimerMs} from './timeout.js';

/** Name of a resource. It is also part of the resource's key in the platform's key-value store. */
const nameSchema = z.string().regex(/^[a-z][a-z\d\-]{0,62}$/v, 'must be lower-case letters, digits and hyphens');

const databaseSchema = z.strictObject({
	name: nameSchema,
	address: z.string().min(1),
	port: z.int().min(1).max(65_535),
	failureDomain: z.string().min(1),
	/** A database that is leaving gets no new work. */
	leaving: z.boolean().default(false),
});

const databaseGroupSchema = z.strictObject({
	databases: z.array(databaseSchema).min(1).max(9),
	slotsPerDatabase: z.int().min(1).max(1000).default(3),
	connectionsPerDatabase: z.int().min(6).max(10_000).default(20),
	/** With `primary`, a promotion can lose writes that were already acknowledged. */
	acknowledgement: z.enum(['majority', 'primary']).default('majority'),
});

const routeSchema = z.strictObject({
	/** Database name in the caller's startup message. */
	database: z.string().min(1),
	/** User name, if the route applies to one user only. */
	user: z.string().min(1).optional(),
	/** `application_name`, if the route applies to one application only. */
	application: z.string().min(1).optional(),
	group: nameSchema,
	rank: nameSchema,
	freshness: nameSchema,
});

const rankSchema = z.strictObject({
	/** Priority of the rank; 1 is the highest. */
	order: z.int().min(1).max(16),
	targetMs: z.number().positive().max(maximumTimerMs),
	/** Share of slot time that the rank is guaranteed, whatever the load of the other ranks. */
	floorShare: z.number().min(0).max(1),
});

const freshnessClassSchema = z.discriminatedUnion('mode', [
	z.strictObject({mode: z.literal('session')}),
	z.strictObject({mode: z.literal('bounded'), maxAgeMs: z.number().positive().max(maximumTimerMs)}),
	z.strictObject({mode: z.literal('primary')}),
]);

/** Schema of the state of a list of databases. */
export const databaseListStateSchema = z.object({
	generation: z.int().min(0),
	previousDatabases: z.array(databaseSchema).optional(),
	deletedDatabases: z.array(databaseSchema).optional(),
});

/** Schemas of `spec`, by kind of resource. */
export const specSchemas = {
	databaseGroups: databaseGroupSchema,
	routes: routeSchema,
	ranks: rankSchema,
	freshnessClasses: freshnessClassSchema,
} as const;

export {nameSchema as resourceNameSchema};

export type ResourceKind = keyof typeof specSchemas;
export const resourceKinds = Object.keys(specSchemas) as readonly ResourceKind[];

export type DatabaseSpec = Readonly<z.infer<typeof databaseSchema>>;
export type DatabaseGroupSpec = Readonly<Omit<z.infer<typeof databaseGroupSchema>, 'databases'>> & {readonly databases: readonly DatabaseSpec[]};
export type RouteSpec = Readonly<z.infer<typeof routeSchema>>;
export type RankSpec = Readonly<z.infer<typeof rankSchema>>;
export type FreshnessClassSpec = Readonly<z.infer<typeof freshnessClassSchema>>;

export type SpecByKind = {
	readonly databaseGroups: DatabaseGroupSpec;
	readonly routes: RouteSpec;
	readonly ranks: RankSpec;
	readonly freshnessClasses: FreshnessClassSpec;
};

/** State of the list of databases of a group. It is stored beside the spec and written by the proxies alone. */
export type DatabaseListState = {
	/** Number of changes of the list that were accepted. */
	readonly generation: number;
	/** Databases before the last change, until that change is in force. */
	readonly previousDatabases?: readonly DatabaseSpec[];
	/** Databases of a deleted group, so that creating it again is checked as a change of its list. */
	readonly deletedDatabases?: readonly DatabaseSpec[];
};

/** A resource as stored in the key-value store. */
export type Resource<K extends ResourceKind = ResourceKind> = {
	readonly kind: K;
	readonly name: string;
	/** Store revision of the last change to the resource. */
	readonly revision: number;
	readonly spec: SpecByKind[K];
	/** State of the list of databases; absent if the list has never been changed, and for other kinds. */
	readonly databaseList?: DatabaseListState;
};

/** All resources at one store revision. */
export type Configuration = {
	readonly revision: number;
	readonly databaseGroups: ReadonlyMap<string, Resource<'databaseGroups'>>;
	readonly routes: ReadonlyMap<string, Resource<'routes'>>;
	readonly ranks: ReadonlyMap<string, Resource<'ranks'>>;
	readonly freshnessClasses: ReadonlyMap<string, Resource<'freshnessClasses'>>;
};

/** Configuration in force until the first one is read from the store. */
export const emptyConfiguration: Configuration = {
	revision: 0,
	databaseGroups: new Map(),
	routes: new Map(),
	ranks: new Map(),
	freshnessClasses: new Map(),
};
