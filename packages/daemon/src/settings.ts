import {readFileSync} from 'node:fs';
import ini from 'ini';
import {z} from 'zod';
import {type FieldProblem} from '@crocusloom/model';

const portSchema = z.coerce.number().int().min(0).max(65_535);
const seedSchema = z.string().regex(/^[^:]+:\d{1,5}$/v, 'must be address:port');
const seedsSchema = z.string().default('').transform(text => text.split(',').map(seed => seed.trim()).filter(seed => seed !== '')).pipe(z.array(seedSchema));

const settingsSchema = z.strictObject({
	host: z.strictObject({
		name: z.string().min(1),
		deployment: z.string().min(1),
		failureDomain: z.string().min(1),
		region: z.string().min(1).default('default'),
	}),
	callers: z.strictObject({
		address: z.string().default('127.0.0.1'),
		port: portSchema.default(6432),
		maximumCallers: z.coerce.number().int().min(1).default(10_000),
		tlsCertificateFile: z.string().optional(),
		tlsKeyFile: z.string().optional(),
		authentication: z.enum(['trust', 'cleartext', 'md5', 'scram-sha-256']).optional(),
	}).prefault({}),
	peers: z.strictObject({
		address: z.string().default('127.0.0.1'),
		port: portSchema.default(6433),
		workPort: portSchema.default(6434),
		seeds: seedsSchema.prefault(''),
	}).prefault({}),
	operators: z.strictObject({
		address: z.string().default('127.0.0.1'),
		port: portSchema.default(6480),
	}).prefault({}),
	platform: z.strictObject({
		url: z.url(),
		timeoutMs: z.coerce.number().int().min(10).default(2000),
	}),
	backend: z.strictObject({
		user: z.string().default('crocusloom'),
		password: z.string().default(''),
		database: z.string().default('postgres'),
	}).prefault({}),
	users: z.record(z.string(), z.string()).default({}),
	drain: z.strictObject({
		deadlineMs: z.coerce.number().int().min(0).default(10_000),
	}).prefault({}),
	log: z.strictObject({
		level: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'fatal']).default('info'),
	}).prefault({}),
	traces: z.strictObject({
		otlpUrl: z.url().optional(),
		sampleRatio: z.coerce.number().min(0).max(1).default(0.01),
	}).prefault({}),
});

/** Settings of one `crocusloomd` process. */
export type Settings = Readonly<z.infer<typeof settingsSchema>>;

/** Result of reading a settings file: the settings, or all problems found. */
export type SettingsResult
	= | {readonly kind: 'valid'; readonly settings: Settings}
		| {readonly kind: 'invalid'; readonly file: string; readonly problems: readonly FieldProblem[]};

/**
 * Reads and validates a settings file.
 * @param file - path of the INI file
 * @returns the settings, or all problems; a file that cannot be read is reported as a problem with an empty path
 */
export function readSettings(file: string): SettingsResult {
	let text: string;
	try {
		text = readFileSync(file, 'utf8');
	} catch (error) {
		return {kind: 'invalid', file, problems: [{path: '', message: error instanceof Error ? error.message : String(error)}]};
	}

	return parseSettings(file, text);
}

/**
 * Validates the text of a settings file.
 * @param file - file name for messages
 * @param text - content of the file in INI format
 */
export function parseSettings(file: string, text: string): SettingsResult {
	const validation = settingsSchema.safeParse(toPlainObject(ini.parse(text)));
	if (!validation.success) {
		return {kind: 'invalid', file, problems: validation.error.issues.flatMap(issue => toFieldProblems(issue))};
	}

	const problems = checkTls(validation.data);
	return problems.length > 0 ? {kind: 'invalid', file, problems} : {kind: 'valid', settings: validation.data};
}

/** Formats a problem as one line with the file, the section and the key. */
export function formatProblem(file: string, problem: FieldProblem): string {
	const [section, ...key] = problem.path.split('.');
	const location = [section ? `[${section}]` : '', key.join('.')].filter(part => part !== '').join(' ');
	return location === '' ? `${file}: ${problem.message}` : `${file}: ${location}: ${problem.message}`;
}

/** Converts the objects of the INI parser, which have no prototype, to plain ones, because zod's record schema rejects the former. */
function toPlainObject(sections: Readonly<Record<string, unknown>>): Record<string, unknown> {
	return structuredClone(Object.fromEntries(Object.entries(sections).map(([section, values]) =>
		[section, typeof values === 'object' ? {...values} : values])));
}

function toFieldProblems(issue: z.core.$ZodIssue): FieldProblem[] {
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(key => ({path: [...issue.path, key].join('.'), message: issue.path.length === 0 ? 'unknown section' : 'unknown key'}));
	}

	return [{path: issue.path.join('.'), message: issue.message}];
}

function checkTls({callers}: Settings): FieldProblem[] {
	if ((callers.tlsCertificateFile === undefined) === (callers.tlsKeyFile === undefined)) {
		return [];
	}

	return [{path: 'callers.tlsKeyFile', message: 'tlsCertificateFile and tlsKeyFile must be set together'}];
}
