import {type ListedHost} from '@crocusloom/model';
import {isBoundedText, isIntegerUpTo, maximumPort} from './fieldChecks.js';

/** Host list as peers send it. */
export type HostsMessage = {readonly hosts: readonly ListedHost[]};

/** Digest of the host list that a peer has. */
export type DigestMessage = {readonly digest: string};

const hostKinds: ReadonlySet<unknown> = new Set<ListedHost['kind']>(['entry', 'backend']);
const hostStates: ReadonlySet<unknown> = new Set<ListedHost['state']>(['live', 'leaving']);

/**
 * Decodes a list of a peer, which may run another release.
 * @param message - message as received, of unknown shape
 * @returns undefined if any part of the message is invalid, because a list without some of its hosts would take them for gone
 */
export function decodeHosts(message: unknown): readonly ListedHost[] | undefined {
	const hosts: unknown = (message as Partial<HostsMessage> | null)?.hosts;
	return Array.isArray(hosts) && hosts.every(host => isListedHost(host)) ? hosts : undefined;
}

/** @returns undefined if the message contains no digest */
export function decodeDigest(message: unknown): string | undefined {
	const digest: unknown = (message as Partial<DigestMessage> | null)?.digest;
	return isBoundedText(digest) ? digest : undefined;
}

function isListedHost(value: unknown): value is ListedHost {
	if (typeof value !== 'object' || value === null) {
		return false;
	}

	const {host, kind, failureDomain, address, port, state} = value as Partial<ListedHost>;
	return [host, failureDomain, address].every(text => isBoundedText(text)) && isIntegerUpTo(port, maximumPort) && hostKinds.has(kind) && hostStates.has(state);
}
