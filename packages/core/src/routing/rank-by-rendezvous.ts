/** Rendezvous hashing: daemons that know the same members make the same choice without exchanging messages. */
import createXxhash from 'xxhash-wasm';

const {h32, h64} = await createXxhash();

/** 32-bit hash of a text. */
export const hashText = (text: string): number => h32(text);

/** 64-bit hash of a text, for hash chains, in which a collision would match a wrong prefix. */
export const hashText64 = (text: string, seed = 0n): bigint => h64(text, seed);

/** Sorts the members by their weight for the key; the owner of the key is first. */
export const rankByRendezvous = (key: string, members: readonly string[]): string[] => members
	.map(member => ({member, weight: h32(`${key}\n${member}`)}))
	.toSorted((left, right) => right.weight - left.weight || (left.member < right.member ? -1 : 1))
	.map(ranked => ranked.member);

/** Odd constants for multiplicative hashing. */
const firstMultiplier = 0x9E_37_79_B1;
const secondMultiplier = 0x85_EB_CA_77;

/** Computes the weight of a member for a key from their hashes, as a signed 32-bit number. Cheap enough to run for every request. */
export const weighMember = (keyHash: number, idHash: number): number => {
	const mixed = Math.imul(idHash + keyHash, firstMultiplier);
	return Math.imul(mixed, mixed + secondMultiplier);
};

/** Returns the member that owns the key, or undefined if there are no members. */
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
