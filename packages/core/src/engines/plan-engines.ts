/**
 * How many backend servers of a service to order, by availability zone and kind.
 *
 * The load is the time that the model engines spend on it: prompts to read and answers to write.
 * Reclaimable ones cost a fifth or less of the full price, but a zone's are taken all at once at
 * 2 s of notice, and none may be had for many seconds afterwards; so each zone keeps at least one
 * at the full price, and the rest is spread over the zones where reclaimable ones are to be had.
 */
import {type FleetBounds} from '../calls/serving-configuration.js';
import {type BackendOrder} from '../duties/fold-lease.js';

export type ZoneFleet = {
	readonly availabilityZone: string;
	/** Ready backend servers at the full price, and reclaimable ones. */
	readonly full: number;
	readonly reclaimable: number;
	/** Until when the cloud is believed to have no reclaimable ones here, on the steady clock. */
	readonly refusedUntil: number;
};

export type PlanInput = {
	readonly service: string;
	readonly bounds: FleetBounds;
	readonly zones: readonly ZoneFleet[];
	/** Backend servers of mean speed that the load needs. */
	readonly needed: number;
	readonly now: number;
};

/** Full-price backend servers that each zone keeps, for a zone that is cut off and for a wave that reclaims all others. */
const fullPerZone = 1;

const clamp = (value: number, least: number, most: number): number => Math.min(most, Math.max(least, value));

const listCheapestFirst = (input: PlanInput): ZoneFleet[] => input.zones.toSorted((left, right) =>
	(input.bounds.zonePrices[left.availabilityZone] ?? 1) - (input.bounds.zonePrices[right.availabilityZone] ?? 1));

/** Spreads `count` over the zones one by one, so that a wave takes as few as possible. */
const spreadEvenly = (zones: readonly ZoneFleet[], count: number, most: (zone: ZoneFleet) => number): Map<string, number> => {
	const given = new Map(zones.map(zone => [zone.availabilityZone, 0]));
	let left = count;
	let hasRoom = true;
	while (left > 0 && hasRoom) {
		hasRoom = false;
		for (const zone of zones) {
			const has = given.get(zone.availabilityZone) ?? 0;
			if (left > 0 && has < most(zone)) {
				given.set(zone.availabilityZone, has + 1);
				left--;
				hasRoom = true;
			}
		}
	}

	return given;
};

export const planEngines = (input: PlanInput): BackendOrder[] => {
	const {bounds, zones, service} = input;
	const base = Math.max(fullPerZone, Math.min(bounds.least, 1));
	const cheapest = listCheapestFirst(input);
	const offersReclaimable = bounds.reclaimablePrice !== undefined;
	const open = offersReclaimable ? cheapest.filter(zone => input.now >= zone.refusedUntil) : [];
	const beyondBase = Math.max(0, Math.ceil(input.needed) - (base * zones.length));
	// One zone's reclaimable ones may go at once; what is left must still carry the load.
	const cover = open.length > 1 ? Math.ceil(beyondBase * open.length / (open.length - 1)) : beyondBase;
	const reclaimable = spreadEvenly(open, cover, () => bounds.most - base);
	const had = zones.reduce((sum, zone) => sum + Math.min(zone.reclaimable, open.includes(zone) ? bounds.most : zone.reclaimable), 0);
	const missing = Math.max(0, beyondBase - (open.length > 0 ? Math.max(had, open.length > 1 ? beyondBase : cover) : had));
	const extra = spreadEvenly(cheapest, missing, zone => bounds.most - base - (reclaimable.get(zone.availabilityZone) ?? 0));
	return zones.flatMap(({availabilityZone}): BackendOrder[] => {
		const cheap = reclaimable.get(availabilityZone) ?? 0;
		const full = clamp(base + (extra.get(availabilityZone) ?? 0), Math.max(0, bounds.least - cheap), bounds.most);
		const order = {service, availabilityZone};
		return [
			{...order, isReclaimable: false, count: full},
			...(offersReclaimable ? [{...order, isReclaimable: true, count: Math.min(cheap, bounds.most - full)}] : []),
		];
	});
};
