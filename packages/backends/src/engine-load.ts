/** Reads the load reports of a model engine and checks whether it responds at all. */
import {Client, type Dispatcher, request} from 'undici';
import * as z from 'zod';
import {checkResponseStatus} from './check-status.js';
import {maxReportBytes} from './read-bounds.js';
import {readText} from './read-text.js';

const loadSchema = z.object({
	running: z.number().nonnegative(),
	queued: z.number().nonnegative(),
	cachedTokens: z.number().nonnegative().default(0),
	at: z.number(),
});

export type EngineLoad = z.output<typeof loadSchema>;

const requestTimeoutMs = 1000;

export const readLoad = async (address: string, dispatcher: Dispatcher, signal: AbortSignal): Promise<EngineLoad> => {
	const response = await request(`http://${address}/load`, {
		dispatcher,
		signal: AbortSignal.any([signal, AbortSignal.timeout(requestTimeoutMs)]),
	});
	checkResponseStatus(response);
	const body: unknown = JSON.parse(await readText(response.body, maxReportBytes));
	return loadSchema.parse(body);
};

/** Whether the backend server responds to a request on a new connection. */
export const isResponding = async (address: string, signal: AbortSignal): Promise<boolean> => {
	const client = new Client(`http://${address}`, {connect: {timeout: requestTimeoutMs}});
	try {
		const response = await client.request({
			method: 'GET',
			path: '/load',
			signal: AbortSignal.any([signal, AbortSignal.timeout(requestTimeoutMs)]),
		});
		await response.body.dump();
		return true;
	} catch {
		return false;
	} finally {
		void client.destroy();
	}
};
