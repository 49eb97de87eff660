/**
 * Plans how many backend servers of a service to order, by availability zone, reclaimable or on-demand.
 *
 * Reclaimable servers cost a fifth of the full price or less, but a mass reclaim takes all of a zone at once with a notice
 * of 2 s, and new ones are unavailable there for many seconds afterwards. The plan spreads reclaimable servers evenly over
 * the zones and orders enough that the needed number survives the mass reclaims, as long as that costs less than the full price.
 * The rest is ordered on-demand, and released only when reclaimable servers that run have replaced it. Zones are kept equal
 * in size because a zone that is disconnected by a network partition has to serve its own callers.
 */
import {getOwn} from '@shallotpass/common/records.js';
import {type FleetBounds} from '../calls/serving-configuration.js';
import {type BackendOrder} from '../lease/lease.js';

export type ZoneFleet = {
	readonly availabilityZone: string;
	/** On-demand backend servers, at the full price, that run and are not leaving. */
	readonly onDemand: number;
	/** Reclaimable backend servers that run and are not leaving. */
	readonly reclaimable: number;
	/** Reclaimable backend servers that were ordered and may still be starting. */
	readonly starting: number;
	/** Until when the zone is treated as having no reclaimable capacity after a refusal, on the steady clock. */
	readonly refusedUntil: number;
};

export type PlanInput = {
	readonly service: string;
	readonly bounds: FleetBounds;
	readonly zones: readonly ZoneFleet[];
	/** Number of backend servers of mean speed that the load needs. */
	readonly needed: number;
	/** Number that is assumed to be sufficient while the load is unknown. It has a reserve of reclaimable servers for the first mass reclaim, and starts no on-demand servers. */
	readonly assumed: number;
	readonly now: number;
};

/** Maximum number of mass reclaims to plan for: a second one may follow before reclaimable servers are available again. */
const maxMassReclaims = 2;

/** Returns for how many of the covered mass reclaims on-demand backend servers are started while no reclaimable servers are available. */
export type CountOnDemandMassReclaims = (massReclaims: number, zones: number) => number;

/** Covers the next mass reclaim only. On-demand servers against the one after it are started when the next one is announced, and run in time unless both come within a boot time. */
export const countOnDemandMassReclaims: CountOnDemandMassReclaims = massReclaims => Math.min(massReclaims, 1);

/** Reclaimable servers for each assumed one. The first mass reclaim may come before the load is known, and takes half of them where there are two zones. */
const assumedReserveFactor = 2;

type Counts = Map<string, number>;

type FillOptions = {
	/** Zones in the order that breaks ties. */
	readonly zones: readonly ZoneFleet[];
	readonly count: number;
	/** Numbers that are already assigned to zones. */
	readonly start?: Counts;
	/** Backend servers of the other kind in a zone, which are counted when the zones are compared. */
	readonly getOthers: (zone: ZoneFleet) => number;
	/** Maximum count for a zone. */
	readonly getMaximum: (zone: ZoneFleet) => number;
};

/** Assigns `count` backend servers one by one, each to the zone that has the fewest. */
const fillEvenly = ({zones, count, start, getOthers, getMaximum}: FillOptions): Counts => {
	const assigned: Counts = new Map(start);
	const getAssigned = (zone: ZoneFleet): number => assigned.get(zone.availabilityZone) ?? 0;
	for (let left = count; left > 0; left--) {
		const unfilledZones = zones.filter(zone => getAssigned(zone) < getMaximum(zone));
		const [smallest] = unfilledZones.toSorted((left, right) => getAssigned(left) + getOthers(left) - getAssigned(right) - getOthers(right));
		if (smallest === undefined) {
			return assigned;
		}

		assigned.set(smallest.availabilityZone, getAssigned(smallest) + 1);
	}

	return assigned;
};

const sumOverZones = (zones: readonly ZoneFleet[], count: (zone: ZoneFleet) => number): number => zones.reduce((total, zone) => total + count(zone), 0);

const getPrice = (bounds: FleetBounds, zone: ZoneFleet): number => getOwn(bounds.zonePrices, zone.availabilityZone) ?? 1;

type KeepOptions = {
	readonly getRunning: (zone: ZoneFleet) => number;
	readonly getOthers: (zone: ZoneFleet) => number;
	readonly getMaximum: (zone: ZoneFleet) => number;
};

/**
 * Assigns backend servers first to zones where they run, then to the zones with the fewest. An order that moves one to
 * another zone would end it at once, while its replacement starts seconds later or not at all.
 */
const keepRunningAndFill = (zones: readonly ZoneFleet[], count: number, {getRunning, getOthers, getMaximum}: KeepOptions): Counts => {
	const getLimit = (zone: ZoneFleet): number => Math.max(0, getMaximum(zone));
	const kept = fillEvenly({
		zones, count, getOthers, getMaximum: zone => Math.min(getRunning(zone), getLimit(zone)),
	});
	const left = count - sumOverZones(zones, zone => kept.get(zone.availabilityZone) ?? 0);
	return fillEvenly({
		zones, count: left, start: kept, getOthers, getMaximum: getLimit,
	});
};

type PlanContext = {
	readonly zones: readonly ZoneFleet[];
	readonly needed: number;
	/** Maximum number of backend servers in a zone. */
	readonly maxPerZone: number;
	/** Number of mass reclaims that the needed backend servers must survive. */
	readonly massReclaims: number;
	/** Number of mass reclaims for which on-demand backend servers are ordered. */
	readonly onDemandMassReclaims: number;
	/** See `PlanInput`. */
	readonly assumed: number;
};

/** Counts the reclaimable servers that are left when each mass reclaim takes all of the zone that has the most. */
const countLeftAfterMassReclaims = (zones: readonly ZoneFleet[], count: (zone: ZoneFleet) => number, massReclaims: number): number => {
	const counts = zones.map(zone => count(zone)).toSorted((left, right) => right - left);
	let left = 0;
	for (const running of counts.slice(massReclaims)) {
		left += running;
	}

	return left;
};

/** Counts the mass reclaims that evenly spread reclaimable servers can cover at a cost below the full price. */
const countCoveredMassReclaims = (price: number, zones: number): number => {
	let massReclaims = 0;
	while (massReclaims < Math.min(maxMassReclaims, zones - 1) && price * zones / (zones - massReclaims - 1) < 1) {
		massReclaims++;
	}

	return massReclaims;
};

/** Counts the reclaimable servers to order so that `needed` are left after the given number of mass reclaims. */
const countForMassReclaims = (needed: number, massReclaims: number, zones: number): number => Math.ceil(needed * zones / (zones - massReclaims));

/** Plans the reclaimable servers. Zones without available capacity keep those that run, because a smaller order would end them. */
const planReclaimable = ({zones, needed, assumed, maxPerZone, massReclaims}: PlanContext, now: number): Counts => {
	const availableZones = zones.filter(zone => now >= zone.refusedUntil);
	const refusedZones = zones.filter(zone => now < zone.refusedUntil);
	const kept = new Map(refusedZones.map(zone => [zone.availabilityZone, Math.min(zone.reclaimable, maxPerZone)]));
	const reserveFactor = massReclaims > 0 ? assumedReserveFactor : 1;
	const total = Math.max(countForMassReclaims(needed, massReclaims, zones.length), assumed * reserveFactor);
	const remaining = total - sumOverZones(refusedZones, zone => kept.get(zone.availabilityZone) ?? 0);
	const requested = keepRunningAndFill(availableZones, remaining, {getRunning: zone => zone.reclaimable + zone.starting, getOthers: () => 0, getMaximum: () => maxPerZone});
	return new Map([...kept, ...requested]);
};

/**
 * Plans the on-demand servers: the number that is missing after the next mass reclaims have taken reclaimable servers that run or
 * start. On-demand servers that run are released only when reclaimable servers that run replace them, because another order
 * for reclaimable servers may be refused.
 */
const planOnDemand = ({zones, needed, assumed, maxPerZone, onDemandMassReclaims}: PlanContext, reclaimable: Counts): Counts => {
	const getPlanned = (zone: ZoneFleet): number => reclaimable.get(zone.availabilityZone) ?? 0;
	const getRunningOrStarting = (zone: ZoneFleet): number => Math.min(getPlanned(zone), zone.reclaimable + zone.starting);
	const getRunning = (zone: ZoneFleet): number => Math.min(getPlanned(zone), zone.reclaimable);
	const getOnDemand = (zone: ZoneFleet): number => zone.onDemand;
	const neededNow = Math.max(needed - countLeftAfterMassReclaims(zones, getRunning, onDemandMassReclaims), assumed - sumOverZones(zones, getRunningOrStarting));
	const kept = Math.min(sumOverZones(zones, getOnDemand), neededNow);
	const missing = needed - countLeftAfterMassReclaims(zones, getRunningOrStarting, onDemandMassReclaims);
	return keepRunningAndFill(zones, Math.max(kept, missing), {getRunning: getOnDemand, getOthers: zone => zone.reclaimable, getMaximum: zone => maxPerZone - zone.reclaimable});
};

/** Plans the orders of a service, at most `bounds.most` per zone. Cheaper zones are preferred where zones are otherwise equal. */
export const planBackends = (input: PlanInput, countMassReclaims: CountOnDemandMassReclaims = countOnDemandMassReclaims): BackendOrder[] => {
	const {bounds, service, now} = input;
	const zones = input.zones.toSorted((left, right) => getPrice(bounds, left) - getPrice(bounds, right));
	const massReclaims = countCoveredMassReclaims(bounds.reclaimablePrice ?? 1, zones.length);
	const context: PlanContext = {
		zones, needed: input.needed, assumed: Math.max(1, input.assumed), maxPerZone: bounds.most, massReclaims, onDemandMassReclaims: countMassReclaims(massReclaims, zones.length),
	};
	const isOffered = bounds.reclaimablePrice !== undefined;
	const reclaimable: Counts = isOffered ? planReclaimable(context, now) : new Map<string, number>();
	const onDemand = planOnDemand(context, reclaimable);
	return zones.flatMap((zone): BackendOrder[] => {
		const {availabilityZone} = zone;
		const reclaimableCount = reclaimable.get(availabilityZone) ?? 0;
		const onDemandCount = Math.min(bounds.most, Math.max(onDemand.get(availabilityZone) ?? 0, bounds.least - reclaimableCount));
		const order = {service, availabilityZone};
		return [
			{...order, isReclaimable: false, count: onDemandCount},
			...(isOffered ? [{...order, isReclaimable: true, count: Math.min(reclaimableCount, bounds.most - onDemandCount)}] : []),
		];
	});
};
