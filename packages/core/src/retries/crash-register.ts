/**
 * Tracks requests that crash the backend servers they run on. Callers resend such a request with
 * another id and to any daemon, so it is identified by a digest of account, method, path and body.
 */

export type CrashRegister = {
	/** Digest → incarnations of backend servers that crashed while running the request. */
	readonly crashedIncarnations: ReadonlyMap<string, readonly string[]>;
	/** Digest → expiry time, on the steady clock. */
	readonly forgetAt: ReadonlyMap<string, number>;
};

export const emptyCrashRegister: CrashRegister = {crashedIncarnations: new Map(), forgetAt: new Map()};

/** Number of crashed backend servers after which a request is refused. One crash may be a coincidence, two are not. */
const crashesUntilRefused = 2;

/** Time for which a digest is kept. Callers resend such a request for minutes. */
const retentionMs = 300_000;

/** Maximum number of digests; the oldest are evicted first. */
const maxDigests = 2000;

/** Records a crash of a backend server incarnation and evicts expired or excess digests. Returns the updated register. */
export const recordCrash = (register: CrashRegister, digest: string, incarnation: string, now: number): CrashRegister => {
	const knownIncarnations = register.crashedIncarnations.get(digest) ?? [];
	if (knownIncarnations.includes(incarnation)) {
		return register;
	}

	const crashedIncarnations = new Map(register.crashedIncarnations);
	const forgetAt = new Map(register.forgetAt);
	crashedIncarnations.delete(digest);
	crashedIncarnations.set(digest, [...knownIncarnations, incarnation]);
	forgetAt.set(digest, now + retentionMs);
	for (const oldDigest of crashedIncarnations.keys()) {
		if (crashedIncarnations.size <= maxDigests && (forgetAt.get(oldDigest) ?? 0) > now) {
			break;
		}

		crashedIncarnations.delete(oldDigest);
		forgetAt.delete(oldDigest);
	}

	return {crashedIncarnations, forgetAt};
};

export const isRefusedForCrashes = (register: CrashRegister, digest: string): boolean => (register.crashedIncarnations.get(digest)?.length ?? 0) >= crashesUntilRefused;

export const hasCrashed = (register: CrashRegister, digest: string): boolean => register.crashedIncarnations.has(digest);
