import {setImmediate as yieldOnce} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Bytes on this process's heap after two collections; the second frees what finalizers of the first let go. */
export async function keptBytes(): Promise<number> {
	collectGarbage();
	await yieldOnce();
	collectGarbage();
	return process.memoryUsage().heapUsed;
}
