import {z} from 'zod';

/** Name of a resource; also part of its key in the platform's store. */
const nameSchema = z.string().regex(/^[a-z][a-z\d\-]{0,62}$/v, 'must be lower-case letters, digits and hyphens');

const databaseSchema = z.strictObject({
	name: nameSchema,
	address: z.string().min(1),
	port: z.int().min(1).max(65_535),
	failureDomain: z.string().min(1),
	/** A leaving database gets no new work. */
	leaving: z.boolean().default(false),
});

const databaseGroupSchema = z.strictObject({
	databases: z.array(databaseSchema).min(1).max(9),
	slotsPerDatabase: z.int().min(1).max(1000).default(3),
	connectionsPerDatabase: z.int().min(6).max(10_000).default(20),
	/** `primary` gives up the durability of acknowledged writes over a promotion. */
	acknowledgement: z.enum(['majority', 'primary']).default('majority'),
});

const routeSchema = z.strictObject({
	/** Database name of the caller's startup message. */
	database: z.string().min(1),
	/** User name, if the route is only for one user. */
	user: z.string().min(1).optional(),
	/** `application_name`, if the route is only for one application. */
	application: z.string().min(1).optional(),
	group: nameSchema,
	rank: nameSchema,
	freshness: nameSchema,
});

const rankSchema = z.strictObject({
	/** 1 is the most urgent. */
	order: z.int().min(1).max(16),
	targetMs: z.number().positive(),
	/** Share of slot time that the rank keeps whatever the others do. */
	floorShare: z.number().min(0).max(1),
});

const freshnessClassSchema = z.discriminatedUnion('mode', [
	z.strictObject({mode: z.literal('session')}),
	z.strictObject({mode: z.literal('bounded'), maxAgeMs: z.number().positive()}),
	z.strictObject({mode: z.literal('primary')}),
]);

/** Schema of the `spec` of each kind of resource. */
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

/** A resource as the store holds it. */
export type Resource<K extends ResourceKind = ResourceKind> = {
	readonly kind: K;
	readonly name: string;
	/** Store revision at which it was last changed. */
	readonly revision: number;
	readonly spec: SpecByKind[K];
};

/** All resources at one store revision. */
export type Configuration = {
	readonly revision: number;
	readonly databaseGroups: ReadonlyMap<string, Resource<'databaseGroups'>>;
	readonly routes: ReadonlyMap<string, Resource<'routes'>>;
	readonly ranks: ReadonlyMap<string, Resource<'ranks'>>;
	readonly freshnessClasses: ReadonlyMap<string, Resource<'freshnessClasses'>>;
};

/** The configuration before any was read. */
export const emptyConfiguration: Configuration = {
	revision: 0,
	databaseGroups: new Map(),
	routes: new Map(),
	ranks: new Map(),
	freshnessClasses: new Map(),
};
