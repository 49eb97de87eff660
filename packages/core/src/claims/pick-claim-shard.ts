import {claimShardCount} from '@shallotpass/common/constants.js';
import {hashText, pickByRendezvous} from '../routing/rank-by-rendezvous.js';

/** Name of the stream that decides on this key. */
export const pickClaimStream = (keyName: string): string => `claims-${hashText(keyName) % claimShardCount}`;

/** The member that batches claims of the stream; two may think so of themselves, which costs an append and nothing else. */
export const pickClaimWriter = (stream: string, members: Iterable<string>): string | undefined => pickByRendezvous(stream, members);
