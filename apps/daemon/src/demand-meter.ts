/** Measures demand and capacity for fleet scaling, from the offers in the configuration and the load reports of the engines. */
import {type CloudInstance} from '@shallotpass/common/cloud-service.js';
import {type Clock} from '@shallotpass/common/clock.js';
import {forecastDemand, smoothDemand, type SmoothedDemand} from '@shallotpass/core/fleet/smooth-demand.js';
import {type Offer} from '@shallotpass/core/fleet/types.js';
import {type BackendView} from '@shallotpass/core/routing/types.js';
import {type FleetDemand} from '@shallotpass/tasks/fleet-scaler.js';
import {type ActiveConfigurations} from '@shallotpass/tasks/active-configurations.js';

type DemandMeterOptions = {
	readonly clock: Clock;
	readonly getActiveConfigurations: () => ActiveConfigurations;
	readonly listEngines: () => readonly BackendView[];
	/** Estimates how many requests wait for an engine in the whole region from those waiting in this daemon. */
	readonly countWaiting: () => number;
};

const smoothing = {fallMs: 3_600_000, slopeMs: 240_000};

/** Time from ordering an instance until its engine has loaded the model. If a start takes longer, a rise in demand is not covered for the difference. */
const engineStartMs = 240_000;

export const listOffers = (configurations: ActiveConfigurations): Offer[] => [...configurations.teams.values()]
	.flatMap(({configuration}) => configuration.price)
	.flatMap(({availabilityZone, machineClass, reclaimable, onDemand, places}) => places === undefined
		? []
		: [
			{
				availabilityZone, machineClass, places, isReclaimable: true, creditsPerHour: reclaimable,
			},
			{
				availabilityZone, machineClass, places, isReclaimable: false, creditsPerHour: onDemand,
			},
		]);

/** Returns the places that the engine's machine class offers, or the engine's limit if no offer has that class. */
const countSlots = (engine: BackendView, offers: readonly Offer[]): number =>
	offers.find(offer => offer.machineClass === engine.machineClass)?.places ?? engine.limit;

export const makeDemandMeter = ({clock, getActiveConfigurations, listEngines, countWaiting}: DemandMeterOptions) => {
	let smoothed: SmoothedDemand | undefined;
	return (instances: readonly CloudInstance[]): FleetDemand => {
		const startedIds = new Set(instances.map(instance => instance.id));
		const offers = listOffers(getActiveConfigurations());
		let fixedSlots = 0;
		let usedPlaces = countWaiting();
		for (const engine of listEngines()) {
			usedPlaces += (engine.report?.running ?? engine.running) + (engine.report?.queued ?? 0);
			fixedSlots += startedIds.has(engine.id) || engine.isLeaving ? 0 : countSlots(engine, offers);
		}

		smoothed = smoothDemand(smoothed, usedPlaces, clock.now(), smoothing);
		return {offers, fixedSlots, demandSlots: forecastDemand(smoothed, engineStartMs)};
	};
};
