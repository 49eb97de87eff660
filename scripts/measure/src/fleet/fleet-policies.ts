/** Fleet sizing policies by name. All but the last are baselines for comparison. */
import {makeFleetPlanner} from '@shallotpass/core/fleet/plan-fleet.js';
import {
	makeOfferKey, type FleetPlan, type FleetView, type Offer, type FleetPlanner,
} from '@shallotpass/core/fleet/types.js';
import {type SmoothingOptions} from '@shallotpass/core/fleet/smooth-demand.js';
import {listEngines, type Deployment} from '../routing/deployment.js';

export type FleetPolicy = {
	readonly name: string;
	readonly isBaseline: boolean;
	/** Options for smoothing the demand before it is forecast. Without them, the planner gets the measured demand. */
	readonly smoothing: SmoothingOptions | undefined;
	readonly makePlanner: (deployment: Deployment) => FleetPlanner;
};

/** Makes a planner that keeps the engines of the deployment running and replaces missing ones. */
const makeFixedPlanner = (isReclaimable: boolean) => (deployment: Deployment): FleetPlanner => (view): FleetPlan => {
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

/** An instance is started above this utilization of the places. */
const scaleUpUtilization = 0.7;

/** An instance is ended below this utilization of the places. */
const scaleDownUtilization = 0.4;

const computePlacePrice = ({creditsPerHour, places}: Offer): number => creditsPerHour / places;

/** Starts or ends one instance at a time by utilization thresholds, as the autoscalers of cloud providers do. */
const scaleByUtilization = (view: FleetView): FleetPlan => {
	const current = [...view.instances.filter(instance => !instance.isLeaving), ...view.openOrders];
	const places = current.reduce((sum, item) => sum + (view.offers.find(offer => makeOfferKey(offer) === makeOfferKey(item))?.places ?? 0), 0);
	const utilization = places === 0 ? 1 : view.demandSlots / places;
	const refused = new Set(view.refusals.filter(refusal => refusal.until > view.now).map(refusal => refusal.offer));
	const cheapest = view.offers
		.filter(offer => offer.isReclaimable && !refused.has(makeOfferKey(offer)))
		.toSorted((one, other) => computePlacePrice(one) - computePlacePrice(other))[0];
	if (utilization > scaleUpUtilization && view.openOrders.length === 0) {
		return {starts: cheapest === undefined ? [] : [cheapest], ends: []};
	}

	const newest = view.instances.toSorted((one, other) => other.startedAt - one.startedAt)[0];
	return {starts: [], ends: utilization < scaleDownUtilization && view.instances.length > 1 && newest !== undefined ? [newest] : []};
};

export const fleetPolicies: readonly FleetPolicy[] = [
	{
		name: 'fixed on demand', isBaseline: true, smoothing: undefined, makePlanner: makeFixedPlanner(false),
	},
	{
		name: 'fixed reclaimable', isBaseline: true, smoothing: undefined, makePlanner: makeFixedPlanner(true),
	},
	{
		name: 'by use', isBaseline: true, smoothing: undefined, makePlanner: () => scaleByUtilization,
	},
	{
		name: 'planned',
		isBaseline: false,
		smoothing: {fallMs: 60_000, slopeMs: 4000},
		makePlanner: () => makeFleetPlanner({
			headroom: 1.3, peakReserve: 6, minSlots: 30, minRuntimeMs: 60_000,
		}),
	},
];

export const findFleetPolicy = (name: string): FleetPolicy => {
	const found = fleetPolicies.find(policy => policy.name === name);
	if (found === undefined) {
		throw new Error(`fleet policy "${name}" does not exist`);
	}

	return found;
};
