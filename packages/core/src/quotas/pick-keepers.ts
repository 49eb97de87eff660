/** Selects the daemons that keep the limits of client accounts. All daemons select the same ones without coordination, but for moments in which they know different members. */
import {type GossipMember, needsRelays, rankByBandwidth} from '../gossip/pick-relays.js';
import {leadWeight} from './keeper-state.js';

export type Keepers = {
	/** Keepers that grant most. */
	readonly leads: readonly GossipMember[];
	/** Other keepers: all daemons, or beyond the number that report directly to each other a standby in each zone. */
	readonly others: readonly GossipMember[];
};

/** Leads of all zones together, at least. One of them may end. */
const minLeads = 3;

/** Picks from the members that have not gone. Those that are merely silent keep their places, so that two groups that do not hear each other do not both replace the other's keepers. */
export const pickKeepers = (members: readonly GossipMember[]): Keepers => {
	const zones = [...new Set(members.map(({availabilityZone}) => availabilityZone))];
	const leadsPerZone = Math.ceil(minLeads / Math.max(1, zones.length));
	const areAllKeepers = !needsRelays(members.length);
	const leads: GossipMember[] = [];
	const others: GossipMember[] = [];
	for (const zone of zones) {
		const ranked = rankByBandwidth(`limits ${zone}`, members.filter(({availabilityZone}) => availabilityZone === zone));
		leads.push(...ranked.slice(0, leadsPerZone));
		others.push(...ranked.slice(leadsPerZone, areAllKeepers ? undefined : leadsPerZone + 1));
	}

	return {leads, others};
};

/** Picks the leads from the keepers that are heard: a keeper of a zone whose lead is silent takes its place. */
export const pickActiveLeads = ({leads, others}: Keepers, isActive: (address: string) => boolean): GossipMember[] => {
	const all = [...leads, ...others];
	const zones = [...new Set(all.map(({availabilityZone}) => availabilityZone))];
	return zones.flatMap(zone => {
		const inZone = all.filter(({availabilityZone, address}) => availabilityZone === zone && isActive(address));
		return inZone.slice(0, leads.filter(({availabilityZone}) => availabilityZone === zone).length);
	});
};

/** Computes the part of the limit that belongs to keepers which were never heard. */
export const computeUnheardShare = ({leads, others}: Keepers, wasHeard: (address: string) => boolean): number => {
	const countUnheard = (keepers: readonly GossipMember[]): number => keepers.filter(({address}) => !wasHeard(address)).length;
	const unheard = (countUnheard(leads) * leadWeight) + countUnheard(others);
	return unheard / Math.max(1, (leads.length * leadWeight) + others.length);
};

export type KeeperOrder = {
	/** The daemon that asks. */
	readonly self: GossipMember;
	/** Number that spreads the daemons over the keepers of other zones. */
	readonly spread: number;
};

/** Lists the other keepers in the order in which a daemon asks them: those of its zone first, leads before others. */
export const listKeepersToAsk = ({leads, others}: Keepers, {self, spread}: KeeperOrder): GossipMember[] => {
	const isOther = ({address}: GossipMember): boolean => address !== self.address;
	const isNear = ({availabilityZone}: GossipMember): boolean => availabilityZone === self.availabilityZone;
	const farLeads = leads.filter(keeper => !isNear(keeper));
	const start = spread % Math.max(1, farLeads.length);
	return [
		...leads.filter(keeper => isNear(keeper)),
		...farLeads.slice(start),
		...farLeads.slice(0, start),
		...others.filter(keeper => isNear(keeper)),
	].filter(keeper => isOther(keeper));
};
