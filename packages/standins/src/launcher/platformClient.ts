/**
 * Calls by which the launcher sets up a platform.
 */
import {type ListedHost} from '@crocusloom/model';
import {resourceKey, resourceValue, type ResourceSeed} from './resources.js';

async function send(method: string, url: string, body: unknown): Promise<void> {
	const response = await fetch(url, {method, body: JSON.stringify(body)});
	const text = await response.text();
	if (!response.ok) {
		throw new Error(`${method} ${url} failed with status ${response.status}: ${text}`);
	}
}

function base64(text: string): string {
	return Buffer.from(text, 'utf8').toString('base64');
}

/** Writes resources to the key-value store, each under its own key. @throws Error if the platform rejects one */
export async function seedResources(platformUrl: string, deployment: string, resources: readonly ResourceSeed[]): Promise<void> {
	for (const resource of resources) {
		await send('POST', `${platformUrl}/v3/kv/put`, {key: base64(resourceKey(deployment, resource)), value: base64(resourceValue(resource))});
	}
}

/** Sets the host list of a platform. @throws Error if the platform rejects it */
export async function putHosts(controlUrl: string, hosts: readonly ListedHost[]): Promise<void> {
	await send('PUT', `${controlUrl}/hosts`, hosts);
}
