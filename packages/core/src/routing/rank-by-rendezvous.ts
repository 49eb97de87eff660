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

/** Odd constants of multiplicative hashing. */
const firstMultiplier = 0x9E_37_79_B1;
const secondMultiplier = 0x85_EB_CA_77;

/** Weight of a member for a key, both hashed already, for choices made at each request; a signed 32-bit number. */
export const weighMember = (keyHash: number, idHash: number): number => {
	const mixed = Math.imul(idHash + keyHash, firstMultiplier);
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
