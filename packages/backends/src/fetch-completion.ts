/** Fetches a complete response from a model engine, for callers that do not stream. */
import {ServingError} from '@shallotpass/common/serving-error.js';
import {BackendCallError} from './call-plain.js';
import {type BackendConnections, isConnectFailure} from './backend-connections.js';
import {checkResponseStatus} from './check-status.js';
import {EngineRefusal} from './engine-stream.js';
import {maxCompletionBytes} from './read-bounds.js';
import {readText} from './read-text.js';

type CompletionCall = {
	readonly address: string;
	readonly body: Readonly<Record<string, unknown>>;
	readonly priority: number;
	readonly requestId: string;
	readonly traceparent?: string;
	readonly signal: AbortSignal;
};

/** Throws the same errors as `streamEngine`. */
export const fetchCompletion = async (call: CompletionCall, connections: BackendConnections): Promise<string> => {
	let status: number;
	let text: string;
	let echoedRequestId: string | string[] | undefined;
	try {
		const response = await connections.shared.request({
			origin: `http://${call.address}`,
			method: 'POST',
			path: '/v1/chat/completions',
			headers: {
				'content-type': 'application/json',
				'x-request-id': call.requestId,
				...(call.traceparent === undefined ? {} : {traceparent: call.traceparent}),
			},
			body: JSON.stringify({...call.body, stream: false, priority: call.priority}),
			signal: call.signal,
		});
		checkResponseStatus(response);
		status = response.statusCode;
		echoedRequestId = response.headers['x-request-id'];
		text = await readText(response.body, maxCompletionBytes);
	} catch (error) {
		throw new BackendCallError(error instanceof Error ? error.message : 'the call failed', {cause: error, wasSent: !isConnectFailure(error)});
	}

	if (echoedRequestId !== undefined && echoedRequestId !== call.requestId) {
		throw new ServingError('the engine answered with the id of a different request', {kind: 'mismatched_answer'});
	}

	if (status !== 200) {
		throw new EngineRefusal(status, text.slice(0, 200));
	}

	try {
		JSON.parse(text);
	} catch {
		throw new ServingError('the engine sent an answer that is not JSON', {kind: 'invalid_backend_answer'});
	}

	return text;
};
