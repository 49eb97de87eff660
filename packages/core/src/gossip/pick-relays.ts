/** Selects the daemons of a zone that sum the reports of the others. All daemons select the same ones without coordination. */
import {rankByRendezvous} from '../routing/rank-by-rendezvous.js';
import {type GossipMember} from './gossip-member.js';

export type {GossipMember} from './gossip-member.js';

/** Up to this number, daemons send their reports directly to all others. */
const maxDirectDaemons = 12;

/** An active relay and a standby that takes over without coordination when the first is silent. */
const relaysPerZone = 2;

export const needsRelays = (members: number): boolean => members > maxDirectDaemons;

/**
 * Ranks members as relays or readers for the others, in the same order on every daemon. Members with less than the
 * highest bandwidth come last: sending the sums of all zones to 30 daemons saturates a link of 10 Mbit/s and
 * loses messages.
 */
export const rankByBandwidth = (key: string, members: Iterable<GossipMember>): GossipMember[] => {
	const byAddress = new Map([...members].map(member => [member.address, member]));
	const highestMbps = Math.max(...[...byAddress.values()].map(member => member.linkMbps));
	const hasHighestBandwidth = (address: string): boolean => byAddress.get(address)!.linkMbps === highestMbps;
	const ranked = rankByRendezvous(key, [...byAddress.keys()]);
	return [...ranked.filter(address => hasHighestBandwidth(address)), ...ranked.filter(address => !hasHighestBandwidth(address))]
		.map(address => byAddress.get(address)!);
};

/** Returns the relays of a zone, the active one first. `isExcluded` matches daemons that were silent. */
export const pickRelays = (members: Iterable<GossipMember>, zone: string, isExcluded: (address: string) => boolean): GossipMember[] => {
	const candidates = [...members].filter(member => member.availabilityZone === zone && !isExcluded(member.address));
	return rankByBandwidth(zone, candidates).slice(0, relaysPerZone);
};
