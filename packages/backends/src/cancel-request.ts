import {type Dispatcher, request} from 'undici';

const cancelTimeoutMs = 1000;

/** Tells a model engine to cancel a request whose stream is no longer read. Errors are ignored. */
export const cancelRequest = async (address: string, id: string, dispatcher: Dispatcher): Promise<void> => {
	try {
		const response = await request(`http://${address}/v1/requests/${encodeURIComponent(id)}`, {
			method: 'DELETE',
			dispatcher,
			signal: AbortSignal.timeout(cancelTimeoutMs),
		});
		await response.body.dump();
	} catch {
		// The engine also cancels the request when its connection is closed.
	}
};
