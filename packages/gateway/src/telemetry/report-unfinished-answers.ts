/** Logs and counts answers that ended before they were delivered whole. */
import {type GatewayState} from '../gateway-state.js';

/** Reasons that lie with the caller. */
const callerReasons: ReadonlySet<string> = new Set(['caller_closed', 'caller_reset']);

export const reportUnfinishedAnswers = (gateway: GatewayState): void => {
	gateway.answers.onUnfinished = ({request, response, reason, wasRead, sentBytes, unsentBytes}) => {
		gateway.metrics.unfinishedAnswers.inc({reason});
		gateway.log.write(callerReasons.has(reason) ? 'routine' : 'failure', 'answer_unfinished', {
			request: gateway.wire.parseCallerHeaders(request.headers).id,
			reason,
			status: response.headersSent ? response.statusCode : undefined,
			sinceSignalMs: gateway.drainingSince === undefined ? undefined : Math.round(gateway.clocks.steady() - gateway.drainingSince),
			wasRead,
			sentBytes,
			unsentBytes,
		});
	};
};
