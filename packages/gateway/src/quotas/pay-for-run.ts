/** Takes the cost of a further run of a call. The first one is paid for when the call is admitted. */
import {type Call} from '@shallotpass/core/calls/types.js';
import {type GatewayState} from '../gateway-state.js';
import {takeQuota} from './take-quota.js';

/** Returns whether the run may be sent. */
export const payForRun = async (gateway: GatewayState, {id, account: name, promptTokens, outputTokens, rank}: Call, signal: AbortSignal): Promise<boolean> => {
	const account = name === undefined ? undefined : gateway.configuration?.accountsByName.get(name);
	const refusal = account && await takeQuota(gateway, account, {
		id, tokens: promptTokens + outputTokens, rank, signal,
	});
	return refusal === undefined;
};
