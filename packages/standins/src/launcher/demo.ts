/**
 * Demonstration that the launcher runs through the proxies once they are ready.
 */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import pg from 'pg';
import {createTableStatements} from './demoTables.js';
import {type CallerEndpoint, type DeploymentTopology} from './types.js';

/** Credentials of a caller. */
export type Login = {readonly user: string; readonly password: string};

/** A client connection; `token` returns the session token that the proxy reported last. */
type SessionClient = {readonly client: pg.Client; readonly token: () => string};

/** Maximum number of attempts, which fail until the proxies have loaded the configuration and know the primary. */
const maximumAttempts = 100;
const retryDelayMs = 200;

/** Statements that write and read a row, by application. */
const demoStatements: Readonly<Record<string, {readonly insert: string; readonly values: (id: string) => readonly unknown[]; readonly read: string}>> = {
	bookings: {
		insert: 'insert into bookings (id, interpreter, place, starts_at) values ($1, $2, $3, $4) returning id',
		values: id => [id, 'Ana Ruiz', 'Bryan, district court 3', '2030-01-15T14:00:00Z'],
		read: 'select id, interpreter, place from bookings where id = $1',
	},
	pledges: {
		insert: 'insert into pledges (id, donor, trees) values ($1, $2, $3) returning id',
		values: id => [id, 'Elena Paz', 12],
		read: 'select id, donor, trees from pledges where id = $1',
	},
};

/** Creates the tables of the demonstration in every group through a proxy. */
export async function createTables(deployment: DeploymentTopology, caller: CallerEndpoint, login: Login): Promise<void> {
	await Promise.all(deployment.groups.map(async ({name}) => {
		for (const statement of createTableStatements) {
			await withRetries(async () => withClient(caller, {database: name, application: 'launcher', login}, async ({client}) => client.query(statement)));
		}
	}));
}

/**
 * Demonstrates read-your-writes: writes a row with an idempotency key through one proxy and reads it through another with
 * the session token.
 * @returns lines that describe the write and the read
 * @throws Error if the read does not return the row
 */
export async function runDemo(deployment: DeploymentTopology, callers: readonly CallerEndpoint[], login: Login): Promise<readonly string[]> {
	const {application} = (deployment.workloads[0]!);
	const database = deployment.groups[0]!.name;
	const id = randomUUID();
	const {insert, values, read} = demoStatements[application]!;
	const writeEndpoint = callers[0]!;
	const readEndpoint = callers.at(-1)!;
	const token = await withRetries(async () => withClient(writeEndpoint, {database, application, login}, async session => {
		await session.client.query(`set crocusloom.idempotency_key = '${id}'`);
		await session.client.query(insert, [...values(id)]);
		return session.token();
	}));
	const rows = await withClient(readEndpoint, {
		database, application, login, token,
	}, async ({client}) => {
		const {rows} = await client.query<Readonly<Record<string, unknown>>>(read, [id]);
		return rows;
	});
	if (rows.length !== 1) {
		throw new Error(`${readEndpoint.name} returned ${rows.length} rows of ${application} ${id}, expected 1`);
	}

	return [
		`${deployment.name}: wrote to ${application} at ${writeEndpoint.name} (${writeEndpoint.failureDomain}), token ${token}`,
		`${deployment.name}: read at ${readEndpoint.name} (${readEndpoint.failureDomain}): ${JSON.stringify(rows[0])}`,
	];
}

async function withClient<T>(
	{host, port}: CallerEndpoint,
	{database, application, login, token}: {readonly database: string; readonly application: string; readonly login: Login; readonly token?: string},
	action: (session: SessionClient) => Promise<T>,
): Promise<T> {
	const client = new pg.Client({
		host, port, database, ...login, application_name: application, ...(token === undefined ? {} : {options: `-c crocusloom.session=${token}`}),
	});
	let lastToken = token ?? '';
	client.on('error', () => {
		// Ignored: the running query rejects with the same error.
	});
	// The types of pg do not declare the connection, which emits the ParameterStatus messages.
	const {connection} = client as unknown as {readonly connection: NodeJS.EventEmitter};
	connection.on('parameterStatus', (status: {readonly parameterName: string; readonly parameterValue: string}) => {
		if (status.parameterName === 'crocusloom.session') {
			lastToken = status.parameterValue;
		}
	});
	try {
		await client.connect();
		return await action({client, token: () => lastToken});
	} finally {
		await client.end();
	}
}

async function withRetries<T>(attempt: () => Promise<T>): Promise<T> {
	for (let remaining = maximumAttempts; ; remaining--) {
		try {
			return await attempt();
		} catch (error) {
			if (remaining <= 1) {
				throw error;
			}

			await sleep(retryDelayMs);
		}
	}
}
