/** What fleet duty sees of the work: offers from the configuration, places in use from the engines' load reports. */
import {type CloudInstance} from '@shallotpass/common/cloud-service.js';
import {type Clock} from '@shallotpass/common/clock.js';
import {forecastDemand, smoothDemand, type SmoothedDemand} from '@shallotpass/core/fleet/smooth-demand.js';
import {type Offer} from '@shallotpass/core/fleet/types.js';
import {type BackendView} from '@shallotpass/core/routing/types.js';
import {type FleetDemand} from '@shallotpass/tasks/fleet-duty.js';
import {type ActiveConfigurations} from '@shallotpass/tasks/active-configurations.js';

type ObserveOptions = {
	readonly clock: Clock;
	readonly getInForce: () => ActiveConfigurations;
	readonly listEngines: () => readonly BackendView[];
	/** Requests that wait for an engine in the whole region, estimated from those that wait here. */
	readonly countWaiting: () => number;
};

const smoothing = {fallMs: 3_600_000, slopeMs: 240_000};

/** From an order to an engine that has its model loaded; a start that takes longer finds the rise not covered for the difference. */
const startMs = 240_000;

export const listOffers = (inForce: ActiveConfigurations): Offer[] => [...inForce.teams.values()]
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

const countPlaces = (engine: BackendView, offers: readonly Offer[]): number =>
	offers.find(offer => offer.machineClass === engine.machineClass)?.places ?? engine.limit;

export const makeObserveFleet = ({clock, getInForce, listEngines, countWaiting}: ObserveOptions) => {
	let smoothed: SmoothedDemand | undefined;
	return (instances: readonly CloudInstance[]): FleetDemand => {
		const started = new Set(instances.map(instance => instance.id));
		const offers = listOffers(getInForce());
		let fixedPlaces = 0;
		let used = countWaiting();
		for (const engine of listEngines()) {
			used += (engine.report?.running ?? engine.running) + (engine.report?.queued ?? 0);
			fixedPlaces += started.has(engine.id) || engine.isLeaving ? 0 : countPlaces(engine, offers);
		}

		smoothed = smoothDemand(smoothed, used, clock.now(), smoothing);
		return {offers, fixedPlaces, demandPlaces: forecastDemand(smoothed, startMs)};
	};
};
