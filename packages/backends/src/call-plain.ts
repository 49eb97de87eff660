/** Sends a call to a plain service on one backend server. */
import {type Readable} from 'node:stream';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {hasTooManyHeads} from '@shallotpass/core/retries/informational-heads.js';
import {type Client, type Dispatcher} from 'undici';
import {type BackendConnections, isConnectFailure} from './backend-connections.js';
import {checkEnd, isCloseDelimited} from './check-end.js';
import {checkResponseStatus} from './check-status.js';
import {filterResponseFields, convertHeaders, type HttpField} from './http-fields.js';

export type PlainCall = {
	readonly address: string;
	readonly method: string;
	readonly path: string;
	readonly fields: readonly HttpField[];
	readonly body: Uint8Array | Readable | undefined;
	readonly requestId: string;
	readonly traceparent?: string;
	/** Fencing token: log offset of the claim. A backend server that checks fencing refuses a lower one. */
	readonly fencing?: number;
	readonly isRepeatable: boolean;
	readonly signal: AbortSignal;
};

export type PlainResponse = {
	readonly status: number;
	readonly fields: readonly HttpField[];
	readonly body: Readable;
};

/** Failed call to a backend server. `wasSent` is false only if the backend server cannot have received the call. */
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

/** Throws if the response carries the id of a different request, because that response must not reach this caller. */
const verifyRequestId = (response: Dispatcher.ResponseData, requestId: string): void => {
	const echoedRequestId = response.headers['x-request-id'];
	if (echoedRequestId !== undefined && echoedRequestId !== requestId) {
		response.body.on('error', () => {/* the body is discarded */});
		response.body.destroy();
		throw new ServingError('the backend server answered with the id of a different request', {kind: 'mismatched_answer'});
	}
};

export const callPlain = async (call: PlainCall, connections: BackendConnections): Promise<PlainResponse> => {
	const singleUse: Client | undefined = call.isRepeatable ? undefined : connections.openSingleUse(call.address);
	const dispatcher = singleUse ?? connections.shared;
	const startedAt = performance.now();
	const excess = new AbortController();
	let informationalHeads = 0;
	try {
		const response = await dispatcher.request({
			origin: `http://${call.address}`,
			method: call.method,
			path: call.path,
			headers: makeHeaders(call),
			body: call.body,
			signal: AbortSignal.any([call.signal, excess.signal]),
			onInfo() {
				informationalHeads++;
				if (hasTooManyHeads(informationalHeads, performance.now() - startedAt)) {
					excess.abort(new Error('the backend server sent informational heads that do not end'));
				}
			},
		});
		checkResponseStatus(response);
		verifyRequestId(response, call.requestId);
		if (singleUse !== undefined) {
			response.body.once('close', () => {
				void singleUse.destroy();
			});
		}

		const isUnframed = isCloseDelimited({method: call.method, status: response.statusCode, headers: response.headers});
		return {
			status: response.statusCode,
			fields: filterResponseFields(convertHeaders(response.headers)),
			body: isUnframed
				? await checkEnd({
					body: response.body,
					makeError: () => new BackendCallError('the answer may have broken off', {wasSent: true}),
				})
				: response.body,
		};
	} catch (error) {
		void singleUse?.destroy();
		if (error instanceof ServingError) {
			throw error;
		}

		const failureMessage = error instanceof Error ? error.message : 'the call failed';
		throw new BackendCallError(failureMessage, {cause: error, wasSent: !isConnectFailure(error)});
	}
};
