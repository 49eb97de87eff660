import {type Dispatcher, request} from 'undici';

const cancelTimeoutMs = 1000;

/** Tells an engine to stop a request whose stream was left; an engine that cannot be reached has stopped it anyway. */
export const cancelRequest = async (address: string, id: string, dispatcher: Dispatcher): Promise<void> => {
	try {
		const response = await request(`http://${address}/v1/requests/${encodeURIComponent(id)}`, {
			method: 'DELETE',
			dispatcher,
			signal: AbortSignal.timeout(cancelTimeoutMs),
		});
		await response.body.dump();
	} catch {
		// Closing the connection cancels it too.
	}
};
