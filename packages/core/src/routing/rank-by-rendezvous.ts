/** Rendezvous hashing: daemons that know the same members make the same choice without exchanging messages. */
import createXxhash from 'xxhash-wasm';

const {h32, h64} = await createXxhash();

/** 32-bit hash of a text. */
export const hashText = (text: string): number => h32(text);

/** 64-bit hash of a text. Hash chains of prompts use it because a collision would match a wrong prefix. */
export const hashText64 = (text: string, seed = 0n): bigint => h64(text, seed);

/** Sorts the members by their weight for the key, highest first. The first member owns the key. */
export const rankByRendezvous = (key: string, members: readonly string[]): string[] => members
	.map(member => ({member, weight: h32(`${key}\n${member}`)}))
	.toSorted((left, right) => right.weight - left.weight || (left.member < right.member ? -1 : 1))
	.map(ranked => ranked.member);

/** Odd constants for multiplicative hashing. */
const firstMultiplier = 0x9E_37_79_B1;
const secondMultiplier = 0x85_EB_CA_77;

/**
 * Computes the weight of a member for a key from their hashes, as a signed 32-bit number. It is cheap enough to run for
 * every request. The weights differ from those of `rankByRendezvous` and `pickByRendezvous`, which hash the texts.
 */
export const weighMember = (keyHash: number, memberHash: number): number => {
	const mixed = Math.imul(memberHash + keyHash, firstMultiplier);
	return Math.imul(mixed, mixed + secondMultiplier);
};

/** Returns the member that owns the key, the first of `rankByRendezvous`, or undefined if there are no members. */
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
