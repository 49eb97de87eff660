/** Logs and counts answers that ended before they were delivered whole. */
import {type GatewayState} from '../gateway-state.js';
import {findTrace, formatSends} from './call-trace.js';

/** Reasons that lie with the caller. */
const callerReasons: ReadonlySet<string> = new Set(['caller_closed', 'caller_reset']);

export const reportUnfinishedAnswers = (gateway: GatewayState): void => {
	gateway.answers.onUnfinished = ({request, response, reason, wasRead, sentBytes, unsentBytes}) => {
		const now = gateway.clocks.steady();
		const trace = findTrace(response);
		gateway.metrics.unfinishedAnswers.inc({reason, awaited: trace?.awaited ?? 'admission'});
		gateway.log.write(callerReasons.has(reason) ? 'routine' : 'failure', 'answer_unfinished', {
			request: gateway.wire.parseCallerHeaders(request.headers).id,
			reason,
			awaited: trace?.awaited,
			awaitedMs: trace && Math.round(now - trace.since),
			sends: trace && formatSends(trace),
			status: response.headersSent ? response.statusCode : undefined,
			sinceSignalMs: gateway.drainingSince === undefined ? undefined : Math.round(now - gateway.drainingSince),
			wasRead,
			sentBytes,
			unsentBytes,
		});
	};
};
