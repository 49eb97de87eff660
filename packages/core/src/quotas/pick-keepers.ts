/** Selects the daemons that keep the limits of client accounts. All daemons select the same ones without coordination, but for moments in which they know different members. */
import {type GossipMember, needsRelays, rankByBandwidth} from '../gossip/pick-relays.js';

export type Keepers = {
	/** Keepers that grant most. */
	readonly leads: readonly GossipMember[];
	/** Other keepers: all daemons, or beyond the number that report directly to each other a standby in each zone. */
	readonly others: readonly GossipMember[];
};

/** Leads of all zones together, at least. One of them may end. */
const minLeads = 3;

export const pickKeepers = (members: readonly GossipMember[], isAlive: (address: string) => boolean): Keepers => {
	const zones = [...new Set(members.map(({availabilityZone}) => availabilityZone))];
	const leadsPerZone = Math.ceil(minLeads / Math.max(1, zones.length));
	const areAllKeepers = !needsRelays(members.length);
	const leads: GossipMember[] = [];
	const others: GossipMember[] = [];
	for (const zone of zones) {
		const alive = members.filter(({availabilityZone, address}) => availabilityZone === zone && isAlive(address));
		const ranked = alive.length === 0 ? [] : rankByBandwidth(`limits ${zone}`, alive);
		leads.push(...ranked.slice(0, leadsPerZone));
		others.push(...ranked.slice(leadsPerZone, areAllKeepers ? undefined : leadsPerZone + 1));
	}

	return {leads, others};
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
