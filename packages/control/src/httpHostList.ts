import {z} from 'zod';
import {
	FailureError, type Clock, type HostList, type ListedHost, type Logger, withTimeout,
} from '@crocusloom/model';
import {freshConnectionHeaders} from './freshConnection.js';

const listedHostSchema = z.object({
	host: z.string().min(1),
	kind: z.enum(['entry', 'backend']),
	failureDomain: z.string().min(1),
	address: z.string().min(1),
	port: z.int().min(1).max(65_535),
	state: z.enum(['live', 'leaving']),
});
const hostListSchema = z.union([z.array(z.unknown()), z.object({hosts: z.array(z.unknown())}).transform(({hosts}) => hosts)]);

const defaultCallTimeoutMs = 2000;

export type HttpHostListOptions = {
	/** Base URL of the platform, without a path. */
	readonly url: string;
	readonly clock: Clock;
	readonly log: Logger;
	/** Timeout of one call in milliseconds. */
	readonly callTimeoutMs?: number;
};

/** The platform's host list, read with `GET /hosts`. An entry that does not match the schema is left out, so that it does not hide the others. */
export class HttpHostList implements HostList {
	private reportedInvalidCount = 0;

	constructor(private readonly options: HttpHostListOptions) {}

	async list(signal: AbortSignal): Promise<readonly ListedHost[]> {
		const {clock, url, callTimeoutMs = defaultCallTimeoutMs} = this.options;
		try {
			return await withTimeout(clock, callTimeoutMs, signal, async callSignal => {
				const response = await fetch(new URL('/hosts', url), {headers: freshConnectionHeaders, signal: callSignal});
				if (!response.ok) {
					await response.body?.cancel();
					throw new Error(`status ${response.status}`);
				}

				return this.keepValidHosts(hostListSchema.parse(await response.json()));
			});
		} catch (error) {
			const message = error instanceof Error ? error.message : String(error);
			throw new FailureError({
				kind: 'platform', step: 'platform', peer: url, message: `/hosts: ${message}`, effect: 'none',
			}, {cause: error});
		}
	}

	/** Keeps the valid entries and logs the number of the others when it changes. */
	private keepValidHosts(entries: readonly unknown[]): readonly ListedHost[] {
		const results = entries.map(entry => listedHostSchema.safeParse(entry));
		const hosts = results.flatMap(({data}) => data ? [data] : []);
		const invalidCount = entries.length - hosts.length;
		if (invalidCount !== this.reportedInvalidCount) {
			this.reportedInvalidCount = invalidCount;
			this.options.log.warn({invalidCount, hosts: hosts.length}, 'entries of the host list that do not match the schema are left out');
		}

		return hosts;
	}
}
