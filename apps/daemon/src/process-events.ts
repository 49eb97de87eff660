import {type ErrorReporter} from './catch-errors.js';
import {type StopRequest} from './take-signals.js';

/** What happens to the process from its first moment on. */
export type ProcessEvents = {
	readonly stopRequest: StopRequest;
	readonly keepAliveAtErrors: (reporter?: ErrorReporter) => void;
};
