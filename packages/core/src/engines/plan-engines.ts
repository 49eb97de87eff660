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
	/** Before any load is known what runs at the full price need not be kept until others run. */
	readonly isLoadKnown: boolean;
	readonly now: number;
};

/**
 * Zones, cheapest first, that keep a backend server at the full price: they answer when waves have
 * taken all reclaimable ones and none are to be had. With one in each of three zones calm days
 * were worth 0.62 to 0.64 in place of 0.66; with one in all the worst day on which zones offer none
 * fell from 0.59 to 0.53, with none of them to 0.43.
 */
const baseZones = 2;

/**
 * Reclaimable ones that are ordered beyond what the load needs, as a share. A wave takes one zone's,
 * a third of them, and another one may follow before any are to be had again; at 1.3 the backlog of
 * two waves lasted 15 s over 87 daemons.
 */
const reclaimableCover = 1.6;

type Counts = Map<string, number>;

type Filling = {
	/** In the order in which zones of one level are filled. */
	readonly zones: readonly ZoneFleet[];
	readonly count: number;
	/** What zones have already. */
	readonly start?: Counts;
	readonly most: (zone: ZoneFleet) => number;
};

/** Gives `count` to the zones one by one, each time to the one that has fewest, so that a wave takes as few as possible. */
const fillLevels = ({zones, count, start, most}: Filling): Counts => {
	const given: Counts = new Map(start);
	const getGiven = (zone: ZoneFleet): number => given.get(zone.availabilityZone) ?? 0;
	for (let left = count; left > 0; left--) {
		const open = zones.filter(zone => getGiven(zone) < most(zone));
		const [first] = open.toSorted((left, right) => getGiven(left) - getGiven(right));
		if (first === undefined) {
			return given;
		}

		given.set(first.availabilityZone, getGiven(first) + 1);
	}

	return given;
};

const sum = (zones: readonly ZoneFleet[], count: (zone: ZoneFleet) => number): number => zones.reduce((total, zone) => total + count(zone), 0);

const getPrice = (bounds: FleetBounds, zone: ZoneFleet): number => bounds.zonePrices[zone.availabilityZone] ?? 1;

/**
 * Gives first to zones whose backend servers run, then to those with fewest: an order that moves
 * one to another zone ends it at once, and the other starts seconds later or not at all.
 */
const keepAndFill = (zones: readonly ZoneFleet[], count: number, options: {running: (zone: ZoneFleet) => number; most: (zone: ZoneFleet) => number}): Counts => {
	const most = (zone: ZoneFleet): number => Math.max(0, options.most(zone));
	const kept = fillLevels({zones, count, most: zone => Math.min(options.running(zone), most(zone))});
	const left = count - sum(zones, zone => kept.get(zone.availabilityZone) ?? 0);
	return fillLevels({
		zones, count: left, start: kept, most,
	});
};

type Share = {
	readonly zones: readonly ZoneFleet[];
	/** Backend servers that are needed beyond the base. */
	readonly beyondBase: number;
	/** Full-price ones that the zone keeps whatever runs beside them. */
	readonly getBase: (zone: ZoneFleet) => number;
	/** Most that a zone may have. */
	readonly most: number;
};

/** Reclaimable ones to order. Where none are to be had, those that run are kept: a smaller order would end them. */
const planReclaimable = ({zones, beyondBase, getBase, most}: Share, now: number): Counts => {
	const getRoom = (zone: ZoneFleet): number => most - getBase(zone);
	const open = zones.filter(zone => now >= zone.refusedUntil);
	const closed = zones.filter(zone => now < zone.refusedUntil);
	const kept = new Map(closed.map(zone => [zone.availabilityZone, Math.min(zone.reclaimable, getRoom(zone))]));
	const wanted = Math.ceil(beyondBase * reclaimableCover) - sum(closed, zone => kept.get(zone.availabilityZone) ?? 0);
	const asked = keepAndFill(open, wanted, {running: zone => zone.reclaimable + zone.starting, most: getRoom});
	return new Map([...kept, ...asked]);
};

/**
 * Full-price ones to order beyond the base: what reclaimable ones that run or start leave open. Those
 * that run are let go only when reclaimable ones run in their place: when each new try for
 * reclaimable ones sent them away, and was refused, a day with five waves was worth 0.54 in place
 * of 0.66.
 */
const planFull = ({zones, beyondBase, getBase, most}: Share, reclaimable: Counts, isLoadKnown: boolean): Counts => {
	const coming = sum(zones, zone => Math.min(reclaimable.get(zone.availabilityZone) ?? 0, zone.reclaimable + zone.starting));
	const runs = sum(zones, zone => Math.min(reclaimable.get(zone.availabilityZone) ?? 0, zone.reclaimable));
	const getExtra = (zone: ZoneFleet): number => Math.max(0, zone.full - getBase(zone));
	const kept = isLoadKnown ? Math.min(sum(zones, getExtra), beyondBase - runs) : 0;
	return keepAndFill(zones, Math.max(kept, beyondBase - coming), {running: getExtra, most: zone => most - getBase(zone) - zone.reclaimable});
};

export const planEngines = (input: PlanInput): BackendOrder[] => {
	const {bounds, service, now} = input;
	const zones = input.zones.toSorted((left, right) => getPrice(bounds, left) - getPrice(bounds, right));
	const base = new Set(zones.slice(0, baseZones));
	const getBase = (zone: ZoneFleet): number => base.has(zone) ? 1 : 0;
	const needed = Math.max(Math.ceil(input.needed), zones.length);
	const share: Share = {
		zones, beyondBase: needed - base.size, getBase, most: bounds.most,
	};
	const isOffered = bounds.reclaimablePrice !== undefined;
	const reclaimable: Counts = isOffered ? planReclaimable(share, now) : new Map<string, number>();
	const extra = planFull(share, reclaimable, input.isLoadKnown);
	return zones.flatMap((zone): BackendOrder[] => {
		const {availabilityZone} = zone;
		const cheap = reclaimable.get(availabilityZone) ?? 0;
		const full = Math.min(bounds.most, Math.max(getBase(zone) + (extra.get(availabilityZone) ?? 0), bounds.least - cheap));
		const order = {service, availabilityZone};
		return [
			{...order, isReclaimable: false, count: full},
			...(isOffered ? [{...order, isReclaimable: true, count: Math.min(cheap, bounds.most - full)}] : []),
		];
	});
};
