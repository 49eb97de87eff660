/** What fleet duty knows and decides. Capacity is counted in places: answers that run at once within their targets. */
import {type LogOffset} from '@shallotpass/common/types.js';

/** A kind of instance that the cloud has on offer. */
export type Offer = {
	readonly availabilityZone: string;
	readonly machineClass: string;
	readonly isReclaimable: boolean;
	readonly creditsPerHour: number;
	readonly places: number;
};

export type OfferName = Pick<Offer, 'availabilityZone' | 'machineClass' | 'isReclaimable'>;

/** An instance that was started for an order. */
export type FleetInstance = OfferName & {
	readonly id: string;
	/** Of the order that it was started for. */
	readonly token: string;
	readonly startedAt: number;
	/** Its reclaim was announced. */
	readonly isLeaving: boolean;
};

/** An order to start one instance; the cloud starts one for a token, however often it is asked. */
export type FleetOrder = OfferName & {
	readonly token: string;
	readonly orderedAt: number;
	/** Whether its instance is no longer wanted, or was refused. */
	readonly isClosed: boolean;
};

export type FleetLease = {
	readonly holder: string;
	/** By the log's own clock, milliseconds since the epoch. */
	readonly until: number;
	/** Offset of the record that the holder took the duty with; it goes with every order. */
	readonly fencing: LogOffset;
};

/** The fold of the fleet stream. */
export type FleetState = {
	readonly leases: ReadonlyMap<string, FleetLease>;
	readonly orders: ReadonlyMap<string, FleetOrder>;
	/** By offer. */
	readonly refusals: ReadonlyMap<string, Refusal>;
	/** Offset after the last record. */
	readonly next: LogOffset;
};

/** An offer that the cloud refused of late. */
export type Refusal = {
	readonly offer: string;
	readonly times: number;
	/** Nothing of the offer is asked for before. */
	readonly until: number;
};

export type FleetView = {
	readonly now: number;
	readonly offers: readonly Offer[];
	readonly instances: readonly FleetInstance[];
	/** Orders whose instance has not shown yet. */
	readonly openOrders: readonly FleetOrder[];
	/** Places of backend servers that no order started. */
	readonly fixedPlaces: number;
	/** Places that the work of the next while needs. */
	readonly demandPlaces: number;
	readonly refusals: readonly Refusal[];
};

export type FleetPlan = {
	readonly starts: readonly Offer[];
	/** Instances to end. */
	readonly ends: readonly FleetInstance[];
};

/** A way of deciding; the baselines of the measurements are others. */
export type PlanFleet = (view: FleetView) => FleetPlan;

export const makeOfferKey = ({availabilityZone, machineClass, isReclaimable}: OfferName): string =>
	`${availabilityZone} ${machineClass} ${isReclaimable ? 'reclaimable' : 'on demand'}`;
