/**
 * How many backend servers of a service to order, by availability zone and kind.
 *
 * Reclaimable ones cost a fifth or less of the full price, but a zone's are taken all at once at
 * 2 s of notice, and none may be had for many seconds afterwards. So they are spread over the
 * zones that offer them, more of them than the load needs; what they cannot cover is ordered at
 * the full price, and let go only when reclaimable ones that run have taken its place.
 */
import {type FleetBounds} from '../calls/serving-configuration.js';
import {type BackendOrder} from '../duties/fold-lease.js';

export type ZoneFleet = {
	readonly availabilityZone: string;
	/** Backend servers at the full price that run and are not leaving. */
	readonly full: number;
	/** Reclaimable ones that run and are not leaving. */
	readonly reclaimable: number;
	/** Reclaimable ones that were ordered and may still be starting. */
	readonly starting: number;
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

/** Full-price backend servers that each zone keeps for callers of a zone that is cut off just after its reclaimable ones were taken. */
const fullPerZone = 1;

/**
 * Reclaimable ones that are ordered beyond what the load needs, as a share. A wave takes one zone's,
 * a third of them, and another one may follow before any are to be had again; at 1.3 the backlog of
 * two waves lasted 15 s over 87 daemons.
 */
const reclaimableCover = 1.6;

type Counts = Map<string, number>;

/** Spreads `count` over the zones one by one, so that a wave takes as few as possible. */
const spreadEvenly = (zones: readonly ZoneFleet[], count: number, most: (zone: ZoneFleet) => number): Counts => {
	const given: Counts = new Map(zones.map(zone => [zone.availabilityZone, 0]));
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

const sum = (zones: readonly ZoneFleet[], count: (zone: ZoneFleet) => number): number => zones.reduce((total, zone) => total + count(zone), 0);

const getPrice = (bounds: FleetBounds, zone: ZoneFleet): number => bounds.zonePrices[zone.availabilityZone] ?? 1;

export const planEngines = (input: PlanInput): BackendOrder[] => {
	const {bounds, zones, service, now} = input;
	const cheapest = zones.toSorted((left, right) => getPrice(bounds, left) - getPrice(bounds, right));
	const base = Math.max(fullPerZone, Math.min(1, bounds.least));
	const needed = Math.max(Math.ceil(input.needed), base * zones.length);
	const beyondBase = needed - (base * zones.length);
	const isOffered = bounds.reclaimablePrice !== undefined;
	const open = isOffered ? cheapest.filter(zone => now >= zone.refusedUntil) : [];
	const wanted = spreadEvenly(open, Math.ceil(beyondBase * reclaimableCover), () => bounds.most - base);
	// Where none are to be had, those that run are kept: a smaller order would end them.
	const getReclaimable = (zone: ZoneFleet): number => open.includes(zone) ? (wanted.get(zone.availabilityZone) ?? 0) : Math.min(zone.reclaimable, bounds.most - base);
	const present = sum(zones, zone => Math.min(getReclaimable(zone), zone.reclaimable + zone.starting));
	const extra = spreadEvenly(cheapest, Math.max(0, beyondBase - present), zone => bounds.most - base - getReclaimable(zone));
	return zones.flatMap((zone): BackendOrder[] => {
		const {availabilityZone} = zone;
		const full = Math.min(bounds.most, base + (extra.get(availabilityZone) ?? 0));
		const order = {service, availabilityZone};
		return [
			{...order, isReclaimable: false, count: full},
			...(isOffered ? [{...order, isReclaimable: true, count: Math.min(getReclaimable(zone), bounds.most - full)}] : []),
		];
	});
};
