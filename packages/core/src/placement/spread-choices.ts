/**
 * Prevents herding among daemons that see the same outdated load: if all of them chose the least
 * loaded backend server, its queue would be full before their reports of these calls arrive. Each
 * call prefers backend servers in its own order, weighted by the work that is not reported yet.
 * Calls that share a prompt have the same order and therefore find the prompt cached.
 */
import {weighMember} from '../routing/rank-by-rendezvous.js';

export type UnreportedWork = {
	/** Prompt tokens per second that callers send to the other daemons. */
	readonly tokensPerSecond: number;
	/** Time until gossip reports them to this daemon, in milliseconds. */
	readonly gossipDelayMs: number;
	/** Number of backend servers that they are sent to. */
	readonly backends: number;
	/** Prompt tokens that one backend server prefills per millisecond. */
	readonly tokensPerMs: number;
};

/** Computes the mean prefill time that other daemons send to a backend server before their reports reach this daemon, in milliseconds. */
export const computeUnreportedMs = ({tokensPerSecond, gossipDelayMs, backends, tokensPerMs}: UnreportedWork): number =>
	tokensPerSecond * gossipDelayMs / 1000 / tokensPerMs / Math.max(1, backends);

const hashRange = 2 ** 32;

/** Returns the position of a backend server in the order of a call, from 0 (first) to 1 (last). */
export const computeOrderPosition = (keyHash: number, backendHash: number): number => 0.5 - (weighMember(keyHash, backendHash) / hashRange);
