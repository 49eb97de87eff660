/** What this daemon believes each engine's prefix cache to hold, bounded, the oldest forgotten first. */

export type KnownPrefixes = {
	readonly byBackend: Map<string, Map<bigint, true>>;
	/** The same the other way round: who holds a block. */
	readonly holders: Map<bigint, Set<string>>;
	/** Most blocks remembered for one engine. */
	readonly mostBlocks: number;
};

export const makeKnownPrefixes = (mostBlocks: number): KnownPrefixes => ({byBackend: new Map(), holders: new Map(), mostBlocks});

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

/** The engine has read these blocks or says that it stores them. */
export const notePrefix = (known: KnownPrefixes, backendId: string, chain: readonly bigint[]): void => {
	let blocks = known.byBackend.get(backendId);
	if (blocks === undefined) {
		blocks = new Map();
		known.byBackend.set(backendId, blocks);
	}

	for (const hash of chain) {
		blocks.delete(hash);
		blocks.set(hash, true);
		addHolder(known, hash, backendId);
	}

	for (const hash of blocks.keys()) {
		if (blocks.size <= known.mostBlocks) {
			break;
		}

		blocks.delete(hash);
		removeHolder(known, hash, backendId);
	}
};

/** The engine says that it evicted these blocks. */
export const dropPrefix = (known: KnownPrefixes, backendId: string, hashes: readonly bigint[]): void => {
	const blocks = known.byBackend.get(backendId);
	for (const hash of hashes) {
		blocks?.delete(hash);
		removeHolder(known, hash, backendId);
	}
};

export const forgetBackend = (known: KnownPrefixes, backendId: string): void => {
	for (const hash of known.byBackend.get(backendId)?.keys() ?? []) {
		removeHolder(known, hash, backendId);
	}

	known.byBackend.delete(backendId);
};

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

/** Engines that hold the block, as far as known. */
export const listHolders = (known: KnownPrefixes, hash: bigint): ReadonlySet<string> | undefined => known.holders.get(hash);
