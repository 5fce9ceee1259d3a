/**
 * What the launcher runs through the proxies once they are ready.
 */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import pg from 'pg';
import {tableDefinitions} from './tables.js';
import {type CallerEndpoint, type DeploymentTopology} from './types.js';

export type Login = {readonly user: string; readonly password: string};

type SessionClient = {readonly client: pg.Client; readonly token: () => string};

/** Attempts while proxies still learn the configuration and who is primary. */
const maximumAttempts = 100;
const attemptPauseMs = 200;

const writes: Readonly<Record<string, {readonly insert: string; readonly values: (id: string) => readonly unknown[]; readonly read: string}>> = {
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

/** Creates the tables of every group through a proxy. */
export async function createTables(deployment: DeploymentTopology, caller: CallerEndpoint, login: Login): Promise<void> {
	await Promise.all(deployment.groups.map(async ({name}) => {
		for (const definition of tableDefinitions) {
			await withRetries(async () => withClient(caller, {database: name, application: 'launcher', login}, async ({client}) => client.query(definition)));
		}
	}));
}

/**
 * Runs one write with an idempotency key at one proxy and reads it back at another with the session's token.
 * @returns lines that tell what happened
 * @throws Error if the second proxy does not show the write
 */
export async function runOnce(deployment: DeploymentTopology, callers: readonly CallerEndpoint[], login: Login): Promise<readonly string[]> {
	const {application} = (deployment.work[0]!);
	const database = deployment.groups[0]!.name;
	const id = randomUUID();
	const {insert, values, read} = writes[application]!;
	const first = callers[0]!;
	const second = callers.at(-1)!;
	const token = await withRetries(async () => withClient(first, {database, application, login}, async session => {
		await session.client.query(`set crocusloom.idempotency_key = '${id}'`);
		await session.client.query(insert, [...values(id)]);
		return session.token();
	}));
	const rows = await withClient(second, {
		database, application, login, token,
	}, async ({client}) => {
		const {rows} = await client.query<Readonly<Record<string, unknown>>>(read, [id]);
		return rows;
	});
	if (rows.length !== 1) {
		throw new Error(`${second.name} shows ${rows.length} rows of ${application} ${id}`);
	}

	return [
		`${deployment.name}: wrote to ${application} at ${first.name} (${first.failureDomain}), token ${token}`,
		`${deployment.name}: read at ${second.name} (${second.failureDomain}): ${JSON.stringify(rows[0])}`,
	];
}

async function withClient<T>(
	{host, port}: CallerEndpoint,
	{database, application, login, token}: {readonly database: string; readonly application: string; readonly login: Login; readonly token?: string},
	use: (session: SessionClient) => Promise<T>,
): Promise<T> {
	const client = new pg.Client({
		host, port, database, ...login, application_name: application, ...(token === undefined ? {} : {options: `-c crocusloom.session=${token}`}),
	});
	let lastToken = token ?? '';
	client.on('error', () => {
		// The query that was running rejects with the same error.
	});
	// The types of pg leave out the connection, which emits the parameter statuses.
	const {connection} = client as unknown as {readonly connection: NodeJS.EventEmitter};
	connection.on('parameterStatus', (status: {readonly parameterName: string; readonly parameterValue: string}) => {
		if (status.parameterName === 'crocusloom.session') {
			lastToken = status.parameterValue;
		}
	});
	try {
		await client.connect();
		return await use({client, token: () => lastToken});
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

			await sleep(attemptPauseMs);
		}
	}
}
