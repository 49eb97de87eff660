/** Decides which answers of a draining daemon tell their caller that the connection ends. */
import {type CallContext} from './admit-call.js';

/**
 * Whether the connection ends with this answer. To be asked when all of it is at hand: requests that are read later are not passed on,
 * and should not wait for an end that they are not told of.
 */
export const isLastOnConnection = ({gateway, request}: Pick<CallContext, 'gateway' | 'request'>): boolean =>
	gateway.drainingSince !== undefined && gateway.answers.endWith(request);
