/** Which daemons of a zone add up the news of the others. All daemons pick the same ones without a message. */
import {rankByRendezvous} from '../routing/rank-by-rendezvous.js';

export type Member = {
	readonly id: string;
	/** Address for news and questions. */
	readonly address: string;
	readonly availabilityZone: string;
	/** Bandwidth of its link, in Mbit/s. */
	readonly linkMbps: number;
};

/** Up to so many daemons tell everybody and each reads the store; at 16 the calls to the store cost a seventh of a calm day's worth. */
const mostDirectDaemons = 12;

/** One that works, and one that takes over without a word when the first is silent. */
const relaysPerZone = 2;

export const needsRelays = (members: number): boolean => members > mostDirectDaemons;

/** The relays of a zone, the first one first; `isAvoided` tells those that were silent. */
export const pickRelays = (members: Iterable<Member>, zone: string, isAvoided: (address: string) => boolean): Member[] => {
	const candidates = new Map<string, Member>();
	for (const member of members) {
		if (member.availabilityZone === zone && !isAvoided(member.address)) {
			candidates.set(member.address, member);
		}
	}

	const widest = Math.max(...[...candidates.values()].map(member => member.linkMbps));
	// A relay sends the sums of all zones to each daemon of its own: 30 of them fill a link of 10 Mbit/s
	// in a burst, and the news of a whole zone are lost just then.
	const isWide = (address: string): boolean => candidates.get(address)!.linkMbps === widest;
	const ranked = rankByRendezvous(zone, [...candidates.keys()]);
	return [...ranked.filter(address => isWide(address)), ...ranked.filter(address => !isWide(address))]
		.slice(0, relaysPerZone)
		.map(address => candidates.get(address)!);
};
