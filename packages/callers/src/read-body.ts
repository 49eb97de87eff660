import {type IncomingMessage} from 'node:http';
import {readRequestBody} from '@shallotpass/common/client-limits/read-request-body.js';
import {type Executed} from '@shallotpass/common/error-kinds.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {addMilliseconds} from '@shallotpass/common/types.js';
import {UnreadableRequestError} from '@shallotpass/common/unreadable-request.js';
import {type CallerCall} from './caller-call.js';
import {type CallerServices} from './services.js';

const throwTooLarge = (maxBytes: number): never => {
	throw new ServingError(`the body is larger than ${maxBytes} bytes`, {kind: 'payload_too_large'});
};

/** Rejects a request whose Content-Length exceeds the maximum, before its body is read. */
export const checkBodyLength = (request: IncomingMessage, maxBytes: number): void => {
	if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
		throwTooLarge(maxBytes);
	}
};

/** Makes the error for a request that broke off while its body was read. */
export const makeBrokenBodyError = (error: unknown, executed?: Executed): ServingError => new ServingError('the body was not sent whole', {
	kind: error instanceof UnreadableRequestError ? error.inputError.kind : 'invalid_request', cause: error, ...(executed !== undefined && {executed}),
});

/** Time in which calls end that hold bodies, in milliseconds. */
const noRoomRetryAfterMs = 1000;

/** Reads the whole body; throws if it exceeds the maximum size, or there is no room for it. What it holds is released with the connection's answer. */
export const readCallerBody = async ({request, response}: Pick<CallerCall, 'request' | 'response'>, {environment: {settings, clock}, heldBytes}: Pick<CallerServices, 'environment' | 'heldBytes'>): Promise<Uint8Array> => {
	const {maxBodyBytes} = settings.limits;
	checkBodyLength(request, maxBodyBytes);
	const result = await readRequestBody(request, maxBodyBytes, heldBytes);
	switch (result.kind) {
		case 'whole': {
			if (response.closed) {
				result.hold.release();
			} else {
				response.once('close', result.hold.release);
			}

			return result.body;
		}

		case 'too_large': {
			return throwTooLarge(maxBodyBytes);
		}

		case 'no_room': {
			throw new ServingError('the bodies of the calls under way leave no room for this one', {kind: 'over_capacity', retryAt: addMilliseconds(clock.now(), noRoomRetryAfterMs)});
		}

		case 'broken': {
			throw makeBrokenBodyError(result.inputError && new UnreadableRequestError(result.inputError));
		}
	}
};
