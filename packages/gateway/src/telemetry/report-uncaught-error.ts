/** Logs and counts errors that nobody handled. The daemon goes on, as its other calls are not concerned. */
import {type GatewayState} from '../gateway-state.js';

/** Longer stacks are cut. */
const maxStackLength = 4000;

const describeError = (error: unknown): string => error instanceof Error ? error.stack ?? error.message : String(error);

export const reportUncaughtError = ({metrics, log, activeCalls, answers}: GatewayState, error: unknown, origin: string): void => {
	metrics.uncaughtErrors.inc({origin});
	log.write('state', 'uncaught_error', {
		origin, error: describeError(error).slice(0, maxStackLength), activeCalls, owedAnswers: answers.count(),
	});
};
