import {setImmediate as yieldToEventLoop} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Measures the used heap of this process in bytes after two garbage collections. The second one frees what finalizers of the first one release. */
export async function retainedHeapBytes(): Promise<number> {
	collectGarbage();
	await yieldToEventLoop();
	collectGarbage();
	return process.memoryUsage().heapUsed;
}
