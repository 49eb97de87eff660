/** Checks that daemons which were stopped while they started answered what they had read. */
import {acceptDuringDrainMs} from '@shallotpass/gateway/drain-times.js';
import {type CompletedCall, type History, type StartingStop} from './history.js';

/** A request that is sent shortly before the process exits may cross the close of its connection. */
const crossingMs = 300;

/** A request that crosses the end of its connection learns of it within this time. */
const lossSlackMs = 200;

/** Whether the connection was closed without an answer, and not refused, as while the process does not listen. */
const isUnanswered = ({end}: CompletedCall): boolean => end?.kind === 'cut' && !end.reason.includes('ECONNREFUSED');

const isDuring = ({daemon, sentAt}: CompletedCall, stop: StartingStop): boolean => daemon === stop.daemon && sentAt >= stop.from && sentAt < stop.until - crossingMs;

/** Whether the request may have crossed the end of its connection: a daemon that drains ends answered ones once it takes no more calls. */
const mayHaveCrossed = ({sentAt, endedAt = Infinity}: CompletedCall, {signalledAt}: StartingStop): boolean =>
	sentAt >= signalledAt + acceptDuringDrainMs - lossSlackMs && endedAt <= sentAt + lossSlackMs;

export const findStartingStopViolations = ({calls, limitedCalls, runs, startingStops}: History): string[] => {
	const ranIds = new Set(runs.map(({id}) => id));
	const isViolated = (call: CompletedCall, stop: StartingStop): boolean => isDuring(call, stop) && (ranIds.has(call.id) || !mayHaveCrossed(call, stop));
	return [...calls, ...limitedCalls]
		.filter(call => isUnanswered(call) && startingStops.some(stop => isViolated(call, stop)))
		.map(({id, route, daemon}) => `${id} (${route} by ${daemon}): got no answer from a daemon that was stopped while it started`);
};
