import {claimShardCount} from '@shallotpass/common/constants.js';
import {hashText, pickByRendezvous} from '../routing/rank-by-rendezvous.js';

/** Returns the name of the stream whose records decide on this key. */
export const pickClaimStream = (keyName: string): string => `claims-${hashText(keyName) % claimShardCount}`;

/** Returns the member that batches the claims of the stream. If two members both act as the writer, it only costs an extra append. */
export const pickClaimWriter = (stream: string, members: Iterable<string>): string | undefined => pickByRendezvous(stream, members);
