import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/**
 * Orders hosts for a key by rendezvous hashing: adding or removing a host moves only the keys of that host.
 * @param key - what is assigned, for example a database name
 * @param hosts - host names
 * @returns the hosts, the preferred one first
 */
export function rendezvousOrder(key: string, hosts: readonly string[]): string[] {
	return hosts
		.map(host => ({host, score: h32(`${key}\0${host}`)}))
		.toSorted((a, b) => b.score - a.score || (a.host < b.host ? -1 : 1))
		.map(({host}) => host);
}

/**
 * Gives the host that a key is assigned to.
 * @returns undefined when there are no hosts
 */
export function rendezvousFirst(key: string, hosts: readonly string[]): string | undefined {
	return rendezvousOrder(key, hosts)[0];
}
