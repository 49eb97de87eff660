/** Reads a body as text, up to a bound. */
import {Buffer} from 'node:buffer';
import {type Readable} from 'node:stream';

/** Throws if the body is larger, and closes its connection. */
export const readText = async (body: Readable, maxBytes: number): Promise<string> => {
	const chunks: Uint8Array[] = [];
	let bytes = 0;
	for await (const chunk of body as AsyncIterable<Uint8Array>) {
		bytes += chunk.length;
		if (bytes > maxBytes) {
			throw new Error(`the body exceeds ${maxBytes} bytes`);
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
};
