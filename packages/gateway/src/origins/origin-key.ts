/** Names under which the origins of streams are remembered. */
import {createHash} from 'node:crypto';

const keyLength = 22;

/** Computes the key of a stream. With the account in it, an id that another account used says nothing; a digest bounds its length. */
export const computeOriginKey = (account: string | undefined, attemptId: string): string =>
	createHash('sha256').update(`${account ?? ''}\n${attemptId}`).digest('base64url').slice(0, keyLength);
