/**
 * Calls by which the launcher fills a platform.
 */
import {type ListedHost} from '@crocusloom/model';
import {resourceKey, resourceValue, type ResourceSeed} from './resources.js';

async function send(method: string, url: string, body: unknown): Promise<void> {
	const response = await fetch(url, {method, body: JSON.stringify(body)});
	const text = await response.text();
	if (!response.ok) {
		throw new Error(`${method} ${url} answered ${response.status}: ${text}`);
	}
}

function base64(text: string): string {
	return Buffer.from(text, 'utf8').toString('base64');
}

/** Writes resources to the store, one key each. @throws Error if the platform refuses one */
export async function seedResources(platformUrl: string, deployment: string, resources: readonly ResourceSeed[]): Promise<void> {
	for (const resource of resources) {
		await send('POST', `${platformUrl}/v3/kv/put`, {key: base64(resourceKey(deployment, resource)), value: base64(resourceValue(resource))});
	}
}

/** Sets the platform's list of hosts. */
export async function putHosts(controlUrl: string, hosts: readonly ListedHost[]): Promise<void> {
	await send('PUT', `${controlUrl}/hosts`, hosts);
}
