/** What identifies a call among those that crash backend servers. */
import {type RequestTraits} from '@shallotpass/core/crashes/crash-ledger.js';
import {type Call} from '@shallotpass/core/calls/types.js';
import {hashText} from '@shallotpass/core/routing/rank-by-rendezvous.js';

/** An admitted call, or a stream with the request that it sends next. */
export type SentCall = {
	readonly call: Call;
	readonly outgoing: {readonly digest: string; readonly trialOf?: string};
};

export const toRequestTraits = ({call, outgoing: {digest}}: SentCall): RequestTraits => ({
	digest, account: hashText(call.account ?? ''), partIds: call.promptParts.map(({id}) => id),
});
