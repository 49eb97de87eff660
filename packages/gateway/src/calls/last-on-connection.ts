/** Decides which answers of a draining daemon tell their caller that the connection ends. */
import {acceptDuringDrainMs} from '../drain-times.js';
import {type CallContext} from './call-context.js';
import {hasWaitedForStream} from './earlier-streams.js';

/**
 * Whether the connection ends with this answer. To be asked when all of it is at hand: requests that are read later are not passed on,
 * and should not wait for an end that they are not told of.
 */
export const isLastOnConnection = ({gateway, request, response}: Pick<CallContext, 'gateway' | 'request' | 'response'>): boolean => {
	const {answers, clocks, drainingSince} = gateway;
	if (drainingSince === undefined || (hasWaitedForStream(response) && clocks.steady() <= drainingSince + acceptDuringDrainMs)) {
		return false;
	}

	return answers.endWith(request);
};
