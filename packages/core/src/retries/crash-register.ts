/**
 * Requests that end the backend servers which run them. The caller sends such a request again,
 * under another id and at any daemon, so it is known by its digest: account, method, path and body.
 */

export type CrashRegister = {
	/** Digest → backend incarnations that ended while they ran it. */
	readonly endedBy: ReadonlyMap<string, readonly string[]>;
	/** Digest → when it is forgotten, on the steady clock. */
	readonly forgetAt: ReadonlyMap<string, number>;
};

export const emptyCrashRegister: CrashRegister = {endedBy: new Map(), forgetAt: new Map()};

/** Backend servers that a request may end before it is refused: one may be chance, two are not. */
const endsUntilRefused = 2;

/** How long a digest is remembered: callers send such a request again for minutes. */
const memoryMs = 300_000;

/** Digests remembered at once; the oldest are forgotten first. */
const mostDigests = 2000;

export const noteCrash = (register: CrashRegister, digest: string, incarnation: string, now: number): CrashRegister => {
	const known = register.endedBy.get(digest) ?? [];
	if (known.includes(incarnation)) {
		return register;
	}

	const endedBy = new Map(register.endedBy);
	const forgetAt = new Map(register.forgetAt);
	endedBy.delete(digest);
	endedBy.set(digest, [...known, incarnation]);
	forgetAt.set(digest, now + memoryMs);
	for (const old of endedBy.keys()) {
		if (endedBy.size <= mostDigests && (forgetAt.get(old) ?? 0) > now) {
			break;
		}

		endedBy.delete(old);
		forgetAt.delete(old);
	}

	return {endedBy, forgetAt};
};

export const isRefusedForCrashes = (register: CrashRegister, digest: string): boolean => (register.endedBy.get(digest)?.length ?? 0) >= endsUntilRefused;

export const hasCrashed = (register: CrashRegister, digest: string): boolean => register.endedBy.has(digest);
