/** Rendezvous hashing: daemons that see the same members agree without a message. */
import createXxhash from 'xxhash-wasm';

const {h32, h64} = await createXxhash();

/** 32-bit hash of a text. */
export const hashText = (text: string): number => h32(text);

/** 64-bit hash of a text, for chains where a collision would reuse a wrong prefix. */
export const hashTextWide = (text: string, seed = 0n): bigint => h64(text, seed);

/** The members, the one that owns the key first. */
export const rankByRendezvous = (key: string, members: readonly string[]): string[] => members
	.map(member => ({member, weight: h32(`${key}\n${member}`)}))
	.toSorted((left, right) => right.weight - left.weight || (left.member < right.member ? -1 : 1))
	.map(ranked => ranked.member);

const idHashes = new Map<string, number>();

/** Ids whose hash is kept; more than the engines of a region. */
const mostIdHashes = 20_000;

const getIdHash = (id: string): number => {
	const known = idHashes.get(id);
	if (known !== undefined) {
		return known;
	}

	if (idHashes.size >= mostIdHashes) {
		idHashes.clear();
	}

	const hash = h32(id);
	idHashes.set(id, hash);
	return hash;
};

/** Odd constants of multiplicative hashing. */
const firstMultiplier = 0x9E_37_79_B1;
const secondMultiplier = 0x85_EB_CA_77;

/** Weight of a member for a key that is a number already; hashes no text, for choices made at each request. */
export const weighMember = (keyHash: number, id: string): number => {
	const mixed = Math.imul(getIdHash(id) + keyHash, firstMultiplier);
	return Math.imul(mixed, mixed + secondMultiplier);
};

/** The member that owns the key; undefined when there are none. */
export const pickByRendezvous = (key: string, members: Iterable<string>): string | undefined => {
	let best: string | undefined;
	let bestWeight = -1;
	for (const member of members) {
		const weight = h32(`${key}\n${member}`);
		if (weight > bestWeight || (weight === bestWeight && best !== undefined && member < best)) {
			best = member;
			bestWeight = weight;
		}
	}

	return best;
};
