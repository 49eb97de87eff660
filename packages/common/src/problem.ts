import {errorResponses, type ErrorKind, type Executed} from './error-kinds.js';
import {type ServingError} from './serving-error.js';

/** Body of an error response, in the problem details format of RFC 9457. */
export type Problem = {
	readonly type: string;
	readonly kind: ErrorKind;
	readonly status: number;
	readonly title: string;
	readonly detail: string;
	readonly executed: Executed;
	readonly requestId?: string;
};

export const makeProblem = (error: ServingError, requestId?: string): Problem => {
	const {status, title} = errorResponses[error.kind];
	return {
		type: `urn:shallotpass:error:${error.kind}`,
		kind: error.kind,
		status,
		title,
		// The message of an unexpected error may contain internal details.
		detail: error.kind === 'internal' ? 'See the log of the instance under this request id.' : error.message,
		executed: error.executed,
		requestId,
	};
};

/** Whole seconds until the error's retry time, at least 1; undefined if the error has none. */
export const computeRetryAfterSeconds = (error: ServingError, now: number): number | undefined => {
	if (error.retryAt === undefined) {
		return undefined;
	}

	return Math.max(1, Math.ceil((error.retryAt - now) / 1000));
};
