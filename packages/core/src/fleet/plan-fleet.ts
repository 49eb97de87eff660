/** Plans how many instances of each offer to run: enough slots for the expected load, at the lowest price, spread over zones. */
import {
	makeOfferKey, type FleetInstance, type FleetPlan, type FleetView, type Offer, type OfferName, type FleetPlanner,
} from './types.js';

export type PlanOptions = {
	/** Factor by which the planned slots exceed the needed ones. */
	readonly headroom: number;
	/**
	 * Reserve for random peaks, multiplied by the square root of the needed slots: the load of a small fleet varies
	 * more in proportion than that of a large one.
	 */
	readonly peakReserve: number;
	/** Minimum number of slots, independent of the demand. */
	readonly minSlots: number;
	/** Minimum runtime of an instance before it is ended, in milliseconds, because its start was billed. */
	readonly minRuntimeMs: number;
};

/** Instances are ended only above this multiple of the target. Without it a fleet at its target would alternate between starting and ending instances. */
const surplusFactor = 1.15;

/** Price surcharge for a zone that holds all slots. Other zones are surcharged in proportion to their share, so that most slots survive the failure of a zone. */
const concentrationSurcharge = 0.4;

/** Price surcharge for reclaimable offers: the mean cost of slots that are missing while a replacement starts. */
const reclaimSurcharge = 0.1;

/** An on-demand instance is replaced by a reclaimable one that costs less than this fraction of it. */
const maxSwapPriceRatio = 0.8;

/** Capacity that is running or ordered, with its price. */
type PlannedCapacity = OfferName & {readonly places: number; readonly creditsPerHour: number};

const findOffer = (offers: readonly Offer[], name: OfferName): Offer | undefined => {
	const key = makeOfferKey(name);
	return offers.find(offer => makeOfferKey(offer) === key);
};

const makePlannedCapacity = (offers: readonly Offer[], name: OfferName): PlannedCapacity => {
	const offer = findOffer(offers, name);
	return {...name, places: offer?.places ?? 0, creditsPerHour: offer?.creditsPerHour ?? 0};
};

const sumSlots = (items: ReadonlyArray<{readonly places: number}>): number => {
	let sum = 0;
	for (const {places} of items) {
		sum += places;
	}

	return sum;
};

/** Computes the price of one slot, with the surcharges for zone concentration and for reclaimable offers. */
const computeWeightedPrice = (offer: PlannedCapacity, capacity: readonly PlannedCapacity[]): number => {
	const totalSlots = sumSlots(capacity);
	const zoneSlots = sumSlots(capacity.filter(item => item.availabilityZone === offer.availabilityZone));
	const zoneShare = totalSlots === 0 ? 0 : zoneSlots / totalSlots;
	return offer.creditsPerHour / offer.places * (1 + (zoneShare * concentrationSurcharge) + (offer.isReclaimable ? reclaimSurcharge : 0));
};

/** Picks the offer with the lowest price per slot that is still missing. */
const pickOffer = (offers: readonly Offer[], capacity: readonly PlannedCapacity[], missing: number): Offer | undefined => {
	let best: Offer | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const offer of offers) {
		// Slots beyond the missing ones have no use but are billed.
		const cost = computeWeightedPrice(offer, capacity) * offer.places / Math.min(offer.places, missing);
		if (cost < bestCost) {
			best = offer;
			bestCost = cost;
		}
	}

	return best;
};

const chooseStarts = (openOffers: readonly Offer[], capacity: PlannedCapacity[], missing: number): Offer[] => {
	const starts: Offer[] = [];
	let remaining = missing;
	while (remaining > 0) {
		const offer = pickOffer(openOffers, capacity, remaining);
		if (offer === undefined) {
			return starts;
		}

		starts.push(offer);
		capacity.push(offer);
		remaining -= offer.places;
	}

	return starts;
};

/** Chooses a reclaimable offer to start as the replacement of a more expensive on-demand instance. */
const chooseReplacement = (view: FleetView, openOffers: readonly Offer[], capacity: readonly PlannedCapacity[]): Offer[] => {
	const onDemand = view.instances.map(instance => makePlannedCapacity(view.offers, instance)).find(item => !item.isReclaimable && item.places > 0);
	if (onDemand === undefined || view.openOrders.length > 0) {
		return [];
	}

	const replacement = pickOffer(openOffers.filter(offer => offer.isReclaimable), capacity, onDemand.places);
	return replacement !== undefined && computeWeightedPrice(replacement, capacity) < computeWeightedPrice(onDemand, capacity) * maxSwapPriceRatio ? [replacement] : [];
};

const chooseEnds = (view: FleetView, options: PlanOptions, surplus: number): FleetInstance[] => {
	const ends: FleetInstance[] = [];
	let remainingSurplus = surplus;
	const byPrice = view.instances
		.filter(instance => !instance.isLeaving && view.now - instance.startedAt >= options.minRuntimeMs)
		.map(instance => ({instance, ...makePlannedCapacity(view.offers, instance)}))
		.filter(({places}) => places > 0)
		.toSorted((one, other) => (other.creditsPerHour / other.places) - (one.creditsPerHour / one.places));
	for (const {instance, places} of byPrice) {
		if (places <= remainingSurplus) {
			ends.push(instance);
			remainingSurplus -= places;
		}
	}

	return ends;
};

/** Makes a planner that starts instances below the target, ends some above it, and otherwise replaces on-demand instances. */
export const makeFleetPlanner = (options: PlanOptions): FleetPlanner => (view): FleetPlan => {
	const targetSlots = Math.max(options.minSlots, (view.demandSlots * options.headroom) + (options.peakReserve * Math.sqrt(view.demandSlots)));
	const capacity = [...view.instances.filter(instance => !instance.isLeaving), ...view.openOrders].map(item => makePlannedCapacity(view.offers, item));
	const currentSlots = view.fixedSlots + sumSlots(capacity);
	const refused = new Set(view.refusals.filter(refusal => refusal.until > view.now).map(refusal => refusal.offer));
	const openOffers = view.offers.filter(offer => offer.places > 0 && !refused.has(makeOfferKey(offer)));
	if (currentSlots < targetSlots) {
		return {starts: chooseStarts(openOffers, capacity, targetSlots - currentSlots), ends: []};
	}

	const ends = chooseEnds(view, options, currentSlots - (targetSlots * surplusFactor));
	return {starts: ends.length > 0 ? [] : chooseReplacement(view, openOffers, capacity), ends};
};
