import {deserialize, serialize} from 'node:v8';

/**
 * Returns a copy of a text that shares no memory with it. A part of a longer string refers to the whole of it, so that a
 * part that is kept would keep a whole received line.
 */
export function copyText(text: string): string {
	return deserialize(serialize(text)) as string;
}
