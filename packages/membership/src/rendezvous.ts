import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/**
 * Orders hosts for a key by rendezvous hashing. Adding or removing a host reassigns only the keys of that host.
 * @param key - key to assign, for example a database name
 * @param hosts - host names
 * @returns the hosts in order of preference
 */
export function rendezvousOrder(key: string, hosts: readonly string[]): string[] {
	return hosts
		.map(host => ({host, score: h32(`${key}\0${host}`)}))
		.toSorted((a, b) => b.score - a.score || (a.host < b.host ? -1 : 1))
		.map(({host}) => host);
}

/**
 * Returns the host to which a key is assigned.
 * @returns undefined if there are no hosts
 */
export function rendezvousFirst(key: string, hosts: readonly string[]): string | undefined {
	return rendezvousOrder(key, hosts)[0];
}
