/** How many instances of which offer: enough places for the work to come, at the lowest price, spread over zones. */
import {
	makeOfferKey, type FleetInstance, type FleetPlan, type FleetView, type Offer, type OfferName, type PlanFleet,
} from './types.js';

export type PlanOptions = {
	/** Places kept over the places needed, as a factor. */
	readonly headroom: number;
	/** Places kept for chance, times the square root of the places needed: a small fleet needs a larger part to spare than a large one. */
	readonly chance: number;
	/** Places that stay whatever the demand. */
	readonly leastPlaces: number;
	/** Ends nothing that was started later than this long ago, in milliseconds: its start was paid for. */
	readonly leastStayMs: number;
};

/** Places over the goal before something is ended, as a factor; a fleet at its goal would start and end by turns. */
const surplusFactor = 1.15;

/** What an offer in a zone that has all places is dearer by in the choice, so that one zone's end leaves most. */
const spreadWeight = 0.4;

/** What a reclaim costs on the mean: places that are gone while another instance starts. */
const reclaimWeight = 0.1;

/** An on-demand instance gives way to a reclaimable one that costs at most this part of it. */
const swapBelow = 0.8;

type Standing = OfferName & {readonly places: number; readonly creditsPerHour: number};

const findOffer = (offers: readonly Offer[], name: OfferName): Offer | undefined => {
	const key = makeOfferKey(name);
	return offers.find(offer => makeOfferKey(offer) === key);
};

const makeStanding = (offers: readonly Offer[], name: OfferName): Standing => {
	const offer = findOffer(offers, name);
	return {...name, places: offer?.places ?? 0, creditsPerHour: offer?.creditsPerHour ?? 0};
};

const sumPlaces = (items: ReadonlyArray<{readonly places: number}>): number => {
	let sum = 0;
	for (const {places} of items) {
		sum += places;
	}

	return sum;
};

/** Price of one place, with what makes the offer worse than its price says. */
const weighPrice = (offer: Standing, standing: readonly Standing[]): number => {
	const all = sumPlaces(standing);
	const here = sumPlaces(standing.filter(item => item.availabilityZone === offer.availabilityZone));
	const spread = all === 0 ? 0 : here / all;
	return offer.creditsPerHour / offer.places * (1 + (spread * spreadWeight) + (offer.isReclaimable ? reclaimWeight : 0));
};

/** The cheapest a place; for the last few places, the cheapest that has them. */
const pickOffer = (offers: readonly Offer[], standing: readonly Standing[], missing: number): Offer | undefined => {
	let best: Offer | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const offer of offers) {
		// Places beyond the missing ones are paid for in vain.
		const cost = weighPrice(offer, standing) * offer.places / Math.min(offer.places, missing);
		if (cost < bestCost) {
			best = offer;
			bestCost = cost;
		}
	}

	return best;
};

const chooseStarts = (open: readonly Offer[], standing: Standing[], missing: number): Offer[] => {
	const starts: Offer[] = [];
	let left = missing;
	while (left > 0) {
		const offer = pickOffer(open, standing, left);
		if (offer === undefined) {
			return starts;
		}

		starts.push(offer);
		standing.push(offer);
		left -= offer.places;
	}

	return starts;
};

/** An order or instance of a reclaimable kind that would do the work of one on demand. */
const chooseSwap = (view: FleetView, open: readonly Offer[], standing: readonly Standing[]): Offer[] => {
	const dear = view.instances.map(instance => makeStanding(view.offers, instance)).find(item => !item.isReclaimable && item.places > 0);
	if (dear === undefined || view.openOrders.length > 0) {
		return [];
	}

	const cheap = pickOffer(open.filter(offer => offer.isReclaimable), standing, dear.places);
	return cheap !== undefined && weighPrice(cheap, standing) < weighPrice(dear, standing) * swapBelow ? [cheap] : [];
};

const chooseEnds = (view: FleetView, options: PlanOptions, surplus: number): FleetInstance[] => {
	const ends: FleetInstance[] = [];
	let left = surplus;
	const byPrice = view.instances
		.filter(instance => !instance.isLeaving && view.now - instance.startedAt >= options.leastStayMs)
		.map(instance => ({instance, ...makeStanding(view.offers, instance)}))
		.filter(({places}) => places > 0)
		.toSorted((one, other) => (other.creditsPerHour / other.places) - (one.creditsPerHour / one.places));
	for (const {instance, places} of byPrice) {
		if (places <= left) {
			ends.push(instance);
			left -= places;
		}
	}

	return ends;
};

export const makePlanFleet = (options: PlanOptions): PlanFleet => (view): FleetPlan => {
	const goal = Math.max(options.leastPlaces, (view.demandPlaces * options.headroom) + (options.chance * Math.sqrt(view.demandPlaces)));
	const standing = [...view.instances.filter(instance => !instance.isLeaving), ...view.openOrders].map(item => makeStanding(view.offers, item));
	const have = view.fixedPlaces + sumPlaces(standing);
	const refused = new Set(view.refusals.filter(refusal => refusal.until > view.now).map(refusal => refusal.offer));
	const open = view.offers.filter(offer => offer.places > 0 && !refused.has(makeOfferKey(offer)));
	if (have < goal) {
		return {starts: chooseStarts(open, standing, goal - have), ends: []};
	}

	const ends = chooseEnds(view, options, have - (goal * surplusFactor));
	return {starts: ends.length > 0 ? [] : chooseSwap(view, open, standing), ends};
};
