/**
 * Bundles the proxy process for the platform into one file under target/, so that a start loads what it uses and no more.
 */
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

const root = path.join(path.dirname(fileURLToPath(import.meta.url)), '..');
const packageNames = ['model', 'proxy', 'work', 'daemon', 'membership', 'wire'];

await build({
	absWorkingDir: root,
	entryPoints: ['platform/src/main.ts'],
	outfile: 'target/crocusloom.cjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	minifySyntax: true,
	// The sources are bundled, so that nothing outside target/ has to be built.
	alias: Object.fromEntries(packageNames.map(name => [`@crocusloom/${name}`, `./packages/${name}/src/index.ts`])),
	// Optional modules of bunyan that are not needed and slow the start.
	external: ['dtrace-provider', 'mv', 'source-map-support', 'moment', 'safe-json-stringify'],
	logLevel: 'warning',
});
