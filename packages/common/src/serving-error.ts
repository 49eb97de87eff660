import ModernError, {type InstanceOptions} from 'modern-errors';
import {errorAnswers, type ErrorKind, type Executed} from './error-kinds.js';
import {type Deadline} from './types.js';

type ServingErrorOptions = InstanceOptions & {
	/** `internal` when left out. */
	readonly kind?: ErrorKind;
	/** When trying again makes sense; becomes Retry-After. */
	readonly retryAt?: Deadline;
	/** Overrides the table where more is known: only from `unknown` to `no` or `yes`. */
	readonly executed?: Executed;
};

type ServingErrorClass = new (message: string, options?: ServingErrorOptions) => Error & {
	readonly kind: ErrorKind;
	readonly retryAt: Deadline | undefined;
	readonly executed: Executed;
};

/** The only error that reaches a caller; every other one is answered as `internal`. */
export const ServingError = ModernError.subclass('ServingError', { // eslint-disable-line @typescript-eslint/naming-convention -- a class
	custom: class extends ModernError {
		readonly kind: ErrorKind;
		readonly retryAt: Deadline | undefined;
		readonly executed: Executed;

		constructor(message: string, {kind = 'internal', retryAt, executed, ...options}: ServingErrorOptions = {}) {
			super(message, options);
			this.kind = kind;
			this.retryAt = retryAt;
			this.executed = executed ?? errorAnswers[kind].executed;
		}
	},
}) as unknown as ServingErrorClass;

export type ServingError = InstanceType<typeof ServingError>; // eslint-disable-line @typescript-eslint/no-redeclare -- a class and the type of what it makes share a name

export const isServingError = (value: unknown): value is ServingError => value instanceof ServingError;

/** Turns anything thrown into a serving error; an unforeseen one becomes `internal`. */
export const toServingError = (value: unknown): ServingError => {
	if (isServingError(value)) {
		return value;
	}

	return new ServingError(value instanceof Error ? value.message : 'unforeseen', {kind: 'internal', cause: value});
};
