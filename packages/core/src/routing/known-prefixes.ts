/**
 * Estimated contents of the prefix cache of each backend server's engine. A block is identified by its hash in the
 * hash chain of a prompt. The number of blocks is bounded; the least recently recorded are removed first.
 */

export type KnownPrefixes = {
	/** Recorded blocks by backend server id, the least recently recorded first. The map serves as an ordered set. */
	readonly byBackend: Map<string, Map<bigint, true>>;
	/** Reverse index: the ids of the backend servers that hold a block. */
	readonly holders: Map<bigint, Set<string>>;
	/** Maximum number of recorded blocks per backend server. */
	readonly maxBlocks: number;
};

export const makeKnownPrefixes = (maxBlocks: number): KnownPrefixes => ({byBackend: new Map(), holders: new Map(), maxBlocks});

const addHolder = (known: KnownPrefixes, hash: bigint, backendId: string): void => {
	const holders = known.holders.get(hash);
	if (holders === undefined) {
		known.holders.set(hash, new Set([backendId]));
		return;
	}

	holders.add(backendId);
};

const removeHolder = (known: KnownPrefixes, hash: bigint, backendId: string): void => {
	const holders = known.holders.get(hash);
	holders?.delete(backendId);
	if (holders?.size === 0) {
		known.holders.delete(hash);
	}
};

/** Records the blocks of a chain, which the backend server's engine has prefilled or reported as cached. */
export const recordPrefix = (known: KnownPrefixes, backendId: string, chain: readonly bigint[]): void => {
	let blocks = known.byBackend.get(backendId);
	if (blocks === undefined) {
		blocks = new Map();
		known.byBackend.set(backendId, blocks);
	}

	for (const hash of chain) {
		// Moves a known block to the end, as the most recently recorded one.
		blocks.delete(hash);
		blocks.set(hash, true);
		addHolder(known, hash, backendId);
	}

	for (const hash of blocks.keys()) {
		if (blocks.size <= known.maxBlocks) {
			break;
		}

		blocks.delete(hash);
		removeHolder(known, hash, backendId);
	}
};

/** Removes blocks that the backend server's engine reported as evicted. */
export const removeBlocks = (known: KnownPrefixes, backendId: string, hashes: readonly bigint[]): void => {
	const blocks = known.byBackend.get(backendId);
	for (const hash of hashes) {
		blocks?.delete(hash);
		removeHolder(known, hash, backendId);
	}
};

export const removeBackend = (known: KnownPrefixes, backendId: string): void => {
	for (const hash of known.byBackend.get(backendId)?.keys() ?? []) {
		removeHolder(known, hash, backendId);
	}

	known.byBackend.delete(backendId);
};

/** Counts the blocks at the start of the chain that are recorded, up to the first that is not. */
export const countCachedBlocks = (known: KnownPrefixes, backendId: string, chain: readonly bigint[]): number => {
	const blocks = known.byBackend.get(backendId);
	if (blocks === undefined) {
		return 0;
	}

	let count = 0;
	while (count < chain.length && blocks.has(chain[count]!)) {
		count++;
	}

	return count;
};

/** Returns the ids of the backend servers that are known to hold the block, or undefined if there are none. */
export const listHolders = (known: KnownPrefixes, hash: bigint): ReadonlySet<string> | undefined => known.holders.get(hash);
