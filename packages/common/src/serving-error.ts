import ModernError, {type InstanceOptions} from 'modern-errors';
import {errorResponses, type ErrorKind, type Executed} from './error-kinds.js';
import {type Deadline} from './types.js';

type ServingErrorOptions = InstanceOptions & {
	/** Defaults to `internal`. */
	readonly kind?: ErrorKind;
	/** Earliest time for a retry, sent as Retry-After. */
	readonly retryAt?: Deadline;
	/** Overrides the value of the error kind. Only `unknown` may be replaced, by `no` or `yes`. */
	readonly executed?: Executed;
};

type ServingErrorClass = new (message: string, options?: ServingErrorOptions) => Error & {
	readonly kind: ErrorKind;
	readonly retryAt: Deadline | undefined;
	readonly executed: Executed;
};

/** Error with a kind that is sent to the caller. All other errors are reported as `internal`. */
export const ServingError = ModernError.subclass('ServingError', { // eslint-disable-line @typescript-eslint/naming-convention -- a class
	custom: class extends ModernError {
		readonly kind: ErrorKind;
		readonly retryAt: Deadline | undefined;
		readonly executed: Executed;

		constructor(message: string, {kind = 'internal', retryAt, executed, ...options}: ServingErrorOptions = {}) {
			super(message, options);
			this.kind = kind;
			this.retryAt = retryAt;
			this.executed = executed ?? errorResponses[kind].executed;
		}
	},
}) as unknown as ServingErrorClass;

export type ServingError = InstanceType<typeof ServingError>; // eslint-disable-line @typescript-eslint/no-redeclare -- the class and its instance type share a name

export const isServingError = (value: unknown): value is ServingError => value instanceof ServingError;

/** Converts any thrown value to a serving error. Unexpected errors get the kind `internal`. */
export const toServingError = (value: unknown): ServingError => {
	if (isServingError(value)) {
		return value;
	}

	return new ServingError(value instanceof Error ? value.message : 'unforeseen', {kind: 'internal', cause: value});
};
