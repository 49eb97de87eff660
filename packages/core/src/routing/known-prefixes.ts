/** What this daemon believes each engine's prefix cache to hold, bounded, the oldest forgotten first. */

export type KnownPrefixes = {
	readonly byBackend: Map<string, Map<bigint, true>>;
	/** Most blocks remembered for one engine. */
	readonly mostBlocks: number;
};

export const makeKnownPrefixes = (mostBlocks: number): KnownPrefixes => ({byBackend: new Map(), mostBlocks});

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
	}

	for (const hash of blocks.keys()) {
		if (blocks.size <= known.mostBlocks) {
			break;
		}

		blocks.delete(hash);
	}
};

/** The engine says that it evicted these blocks. */
export const dropPrefix = (known: KnownPrefixes, backendId: string, hashes: readonly bigint[]): void => {
	const blocks = known.byBackend.get(backendId);
	for (const hash of hashes) {
		blocks?.delete(hash);
	}
};

export const forgetBackend = (known: KnownPrefixes, backendId: string): void => {
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
