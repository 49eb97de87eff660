/** One call to a plain service at one backend server. */
import {type Readable} from 'node:stream';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {type Client, type Dispatcher} from 'undici';
import {type BackendConnections, isConnectFailure} from './backend-connections.js';
import {filterAnswerFields, listFields, type HttpField} from './http-fields.js';

export type PlainCall = {
	readonly address: string;
	readonly method: string;
	readonly path: string;
	readonly fields: readonly HttpField[];
	readonly body: Uint8Array | Readable | undefined;
	readonly requestId: string;
	readonly traceparent?: string;
	/** Offset of the claim; backend servers that check refuse a lower one. */
	readonly fencing?: number;
	readonly isRepeatable: boolean;
	readonly signal: AbortSignal;
};

export type PlainAnswer = {
	readonly status: number;
	readonly fields: readonly HttpField[];
	readonly body: Readable;
};

/** How a call failed: before anything was sent, or when it may have run. */
export class BackendCallError extends Error {
	override readonly name = 'BackendCallError';
	readonly wasSent: boolean;

	constructor(message: string, options: {cause?: unknown; wasSent: boolean}) {
		super(message, {cause: options.cause});
		this.wasSent = options.wasSent;
	}
}

const makeHeaders = (call: PlainCall): string[] => {
	const headers = call.fields.flatMap(field => [field.name, field.value]);
	headers.push('X-Request-Id', call.requestId);
	if (call.traceparent !== undefined) {
		headers.push('traceparent', call.traceparent);
	}

	if (call.fencing !== undefined) {
		headers.push('X-Fencing', String(call.fencing));
	}

	return headers;
};

/** An answer that names another request is from a connection that is out of step; it must not reach this caller. */
const checkRequestId = (response: Dispatcher.ResponseData, requestId: string): void => {
	const echoed = response.headers['x-request-id'];
	if (echoed !== undefined && echoed !== requestId) {
		response.body.on('error', () => {/* it is left unread */});
		response.body.destroy();
		throw new ServingError('the backend server answered with the id of a different request', {kind: 'mismatched_answer'});
	}
};

export const callPlain = async (call: PlainCall, connections: BackendConnections): Promise<PlainAnswer> => {
	const single: Client | undefined = call.isRepeatable ? undefined : connections.openSingle(call.address);
	const dispatcher = single ?? connections.shared;
	try {
		const response = await dispatcher.request({
			origin: `http://${call.address}`,
			method: call.method,
			path: call.path,
			headers: makeHeaders(call),
			body: call.body,
			signal: call.signal,
		});
		checkRequestId(response, call.requestId);
		if (single !== undefined) {
			response.body.once('close', () => {
				void single.destroy();
			});
		}

		return {
			status: response.statusCode,
			fields: filterAnswerFields(listFields(response.headers)),
			body: response.body,
		};
	} catch (error) {
		void single?.destroy();
		if (error instanceof ServingError) {
			throw error;
		}

		const detail = error instanceof Error ? error.message : 'the call failed';
		throw new BackendCallError(detail, {cause: error, wasSent: !isConnectFailure(error)});
	}
};
