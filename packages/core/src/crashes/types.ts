/**
 * What is known about the requests that may crash backend servers. Evidence is kept by what requests have in common, as those that crash
 * backend servers may be all different: by the parts of their prompts, and by whole requests for those that are repeated.
 */

/** A backend server that ended while a request ran on it whose answer had just begun, or was about to. */
export type CrashDeath = {
	/** Hash of the backend server's incarnation. */
	readonly incarnation: number;
	/** True time at which it was noticed, in milliseconds since the epoch. */
	readonly at: number;
	/** Hashes of the client account and of the request. */
	readonly account: number;
	readonly request: number;
	/** Whether the head of the answer had been received. */
	readonly hasBegun: boolean;
};

/** Evidence about one part or one request. Merging it in any order, and more than once, gives the same. */
export type CrashEvidence = {
	/** The newest deaths, by incarnation. */
	readonly deaths: ReadonlyMap<number, CrashDeath>;
	/** Hashes of answers that began and that the backend server survived, by time slot. Some of each of the newest slots. */
	readonly survivals: ReadonlyMap<number, readonly number[]>;
};

export type EvidenceKind = 'part' | 'request';

/** Requests that are kept from backend servers. */
export type CrashVerdict = {
	readonly kind: EvidenceKind;
	/** Parts that nothing tells apart yet, all of which a request must hold; or the digest of the request. */
	readonly keys: readonly string[];
	/** Hash of the client account if only its requests have crashed backend servers. */
	readonly account: number | undefined;
	readonly deaths: readonly CrashDeath[];
	readonly score: number;
};
