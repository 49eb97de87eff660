/** Input and output of fleet planning. Capacity is counted in slots (`places`): calls that run concurrently within their latency targets. */
import {type LogOffset} from '@shallotpass/common/types.js';

/** A type of instance that the cloud offers. */
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
	/** Token of the order that it was started for. */
	readonly token: string;
	readonly startedAt: number;
	/** Whether the cloud has announced that it will reclaim the instance. */
	readonly isLeaving: boolean;
};

/** An order to start one instance. The token makes the start idempotent: the cloud starts one instance per token. */
export type FleetOrder = OfferName & {
	readonly token: string;
	readonly orderedAt: number;
	/** Whether its instance is no longer wanted, or was refused. */
	readonly isClosed: boolean;
};

export type FleetLease = {
	readonly holder: string;
	/** End of the lease by the log's clock, in milliseconds since the epoch. */
	readonly until: number;
	/** Fencing token that goes with every order: the offset of the record with which the holder took the lease. */
	readonly fencing: LogOffset;
};

/** State that results from applying the records of the fleet stream. */
export type FleetState = {
	/** Leases by availability zone. */
	readonly leases: ReadonlyMap<string, FleetLease>;
	/** Orders by token. */
	readonly orders: ReadonlyMap<string, FleetOrder>;
	/** Last refusal by offer. */
	readonly refusals: ReadonlyMap<string, Refusal>;
	/** Offset of the next record to apply. */
	readonly next: LogOffset;
};

/** A recent refusal by the cloud to start an instance of an offer. */
export type Refusal = {
	readonly offer: string;
	/** Consecutive refusals. */
	readonly times: number;
	/** The offer is not requested again before this time. */
	readonly until: number;
};

export type FleetView = {
	readonly now: number;
	readonly offers: readonly Offer[];
	readonly instances: readonly FleetInstance[];
	/** Orders whose instance has not appeared yet. */
	readonly openOrders: readonly FleetOrder[];
	/** Slots of backend servers that were not started by an order. */
	readonly fixedSlots: number;
	/** Slots that the expected load needs. */
	readonly demandSlots: number;
	readonly refusals: readonly Refusal[];
};

export type FleetPlan = {
	readonly starts: readonly Offer[];
	/** Instances to end. */
	readonly ends: readonly FleetInstance[];
};

/** A planning policy. The measurements compare this project's policy with baseline policies of the same type. */
export type FleetPlanner = (view: FleetView) => FleetPlan;

export const makeOfferKey = ({availabilityZone, machineClass, isReclaimable}: OfferName): string =>
	`${availabilityZone} ${machineClass} ${isReclaimable ? 'reclaimable' : 'on demand'}`;
