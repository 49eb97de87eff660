/** Ways of sizing the fleet, by name; all but the last are baselines. */
import {makeFleetPlanner} from '@shallotpass/core/fleet/plan-fleet.js';
import {
	makeOfferKey, type FleetPlan, type FleetView, type Offer, type FleetPlanner,
} from '@shallotpass/core/fleet/types.js';
import {type SmoothingOptions} from '@shallotpass/core/fleet/smooth-demand.js';
import {listEngines, type Deployment} from '../routing/deployment.js';

export type FleetPolicy = {
	readonly name: string;
	readonly isBaseline: boolean;
	/** How the demand is smoothed before it is foreseen; without, the plan sees it as it is. */
	readonly smoothing: SmoothingOptions | undefined;
	readonly make: (deployment: Deployment) => FleetPlanner;
};

/** The engines of the deployment, always; what is missing is started again. */
const makeFixed = (isReclaimable: boolean) => (deployment: Deployment): FleetPlanner => (view): FleetPlan => {
	const missing = new Map<string, number>();
	for (const {availabilityZone, machine} of listEngines(deployment)) {
		const key = makeOfferKey({availabilityZone, machineClass: machine.name, isReclaimable});
		missing.set(key, (missing.get(key) ?? 0) + 1);
	}

	for (const item of [...view.instances.filter(instance => !instance.isLeaving), ...view.openOrders]) {
		const key = makeOfferKey(item);
		missing.set(key, (missing.get(key) ?? 0) - 1);
	}

	const refused = new Set(view.refusals.filter(refusal => refusal.until > view.now).map(refusal => refusal.offer));
	const starts = view.offers.filter(offer => !refused.has(makeOfferKey(offer)))
		.flatMap(offer => Array.from({length: Math.max(0, missing.get(makeOfferKey(offer)) ?? 0)}, () => offer));
	return {starts, ends: []};
};

const growAbove = 0.7;
const shrinkBelow = 0.4;

const getPlacePrice = ({creditsPerHour, places}: Offer): number => creditsPerHour / places;

/** One more when the places in use pass a mark, one less below another: what clouds offer ready-made. */
const scaleByUse = (view: FleetView): FleetPlan => {
	const standing = [...view.instances.filter(instance => !instance.isLeaving), ...view.openOrders];
	const places = standing.reduce((sum, item) => sum + (view.offers.find(offer => makeOfferKey(offer) === makeOfferKey(item))?.places ?? 0), 0);
	const use = places === 0 ? 1 : view.demandPlaces / places;
	const refused = new Set(view.refusals.filter(refusal => refusal.until > view.now).map(refusal => refusal.offer));
	const cheapest = view.offers
		.filter(offer => offer.isReclaimable && !refused.has(makeOfferKey(offer)))
		.toSorted((one, other) => getPlacePrice(one) - getPlacePrice(other))[0];
	if (use > growAbove && view.openOrders.length === 0) {
		return {starts: cheapest === undefined ? [] : [cheapest], ends: []};
	}

	const last = view.instances.toSorted((one, other) => other.startedAt - one.startedAt)[0];
	return {starts: [], ends: use < shrinkBelow && view.instances.length > 1 && last !== undefined ? [last] : []};
};

export const fleetPolicies: readonly FleetPolicy[] = [
	{
		name: 'fixed on demand', isBaseline: true, smoothing: undefined, make: makeFixed(false),
	},
	{
		name: 'fixed reclaimable', isBaseline: true, smoothing: undefined, make: makeFixed(true),
	},
	{
		name: 'by use', isBaseline: true, smoothing: undefined, make: () => scaleByUse,
	},
	{
		name: 'planned',
		isBaseline: false,
		smoothing: {fallMs: 60_000, slopeMs: 4000},
		make: () => makeFleetPlanner({
			headroom: 1.3, peakReserve: 6, minPlaces: 30, minRuntimeMs: 60_000,
		}),
	},
];

export const findFleetPolicy = (name: string): FleetPolicy => {
	const found = fleetPolicies.find(policy => policy.name === name);
	if (found === undefined) {
		throw new Error(`no fleet policy is named ${name}`);
	}

	return found;
};
