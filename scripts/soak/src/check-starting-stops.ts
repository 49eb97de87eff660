/** Checks that daemons which were stopped while they started answered what they had read. */
import {type CompletedCall, type History, type StartingStop} from './history.js';

/** A request that is sent shortly before the process exits may cross the close of its connection. */
const crossingMs = 300;

/** Whether the connection was closed without an answer, and not refused, as while the process does not listen. */
const isUnanswered = ({end}: CompletedCall): boolean => end?.kind === 'cut' && !end.reason.includes('ECONNREFUSED');

const isDuring = ({daemon, sentAt}: CompletedCall, stop: StartingStop): boolean => daemon === stop.daemon && sentAt >= stop.from && sentAt < stop.until - crossingMs;

export const findStartingStopViolations = ({calls, limitedCalls, startingStops}: History): string[] => [...calls, ...limitedCalls]
	.filter(call => isUnanswered(call) && startingStops.some(stop => isDuring(call, stop)))
	.map(({id, route, daemon}) => `${id} (${route} by ${daemon}): got no answer from a daemon that was stopped while it started`);
