/** Records the prompt parts of a call at the backend server that it is sent to. */
import {type Call} from '@shallotpass/core/calls/types.js';
import {type PartUse} from '@shallotpass/core/placement/part-uses.js';
import {recordPromptParts} from '@shallotpass/core/placement/record-prompt-parts.js';
import {type BackendState} from '../calls/backend-registry.js';
import {type GatewayState} from '../gateway-state.js';

export const recordSentParts = (gateway: GatewayState, call: Call, {knownParts}: BackendState, now: number): void => {
	const cacheTokens = gateway.configuration?.servicesByName.get(call.service)?.engine?.cacheTokens;
	const partUses = gateway.partUses.get(call.service) ?? new Map<string, PartUse>();
	gateway.partUses.set(call.service, partUses);
	recordPromptParts(call.promptParts, {knownParts, partUses}, {now, cacheTokens});
};
