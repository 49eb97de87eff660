/** Configuration for serving calls, independent of the wire format. Durations have the values that the operator set. */
import {type Repeatability} from './types.js';

export type WeightedService = {
	readonly service: string;
	readonly weight: number;
};

export type Route = {
	readonly name: string;
	readonly host: string;
	readonly pathPrefix: string;
	readonly repeatability: Repeatability;
	/** Maximum time that a caller waits for its answer, in milliseconds. */
	readonly limitMs: number;
	/** Target time for an answer, in milliseconds; later answers no longer count in full. */
	readonly targetMs: number;
	readonly rank: number;
	/** Maximum number of attempts that may run a call. */
	readonly attempts: number;
	readonly allowsAnonymous: boolean;
	readonly services: readonly WeightedService[];
};

/** Number of backend servers of a service that may be ordered, per availability zone, with their boot time and prices. */
export type FleetBounds = {
	readonly least: number;
	readonly most: number;
	readonly bootMs: number;
	/** Price of a reclaimable backend server as a fraction of the full price; undefined if none are offered. */
	readonly reclaimablePrice: number | undefined;
	/** Price per second of a backend server, by availability zone. */
	readonly zonePrices: Readonly<Record<string, number>>;
};

/** Capacity of a model engine: slots for concurrent calls (`places`) and tokens in its cache. */
export type EngineCapacity = {
	readonly places: number;
	readonly cacheTokens: number;
};

export type Service = {
	readonly name: string;
	/** Maximum number of connections to one backend server, over all daemons. */
	readonly maxConnections: number;
	readonly engine: EngineCapacity | undefined;
	/** Whether the KV cache of a running call can be transferred to another backend server. */
	readonly canMoveRuns: boolean;
	readonly fleet: FleetBounds | undefined;
};

export type AccountLimit = {
	/** Cost units per second; 0 or less means no limit. */
	readonly perSecond: number;
	/** Cost units that may be spent at once in addition. */
	readonly burst: number;
	/** Cost of a call that does not state its tokens. */
	readonly plainCost: number;
	readonly countsTokens: boolean;
};

export type Account = {
	readonly name: string;
	readonly keys: readonly string[];
	readonly rank: number | undefined;
	readonly limit: AccountLimit | undefined;
};

export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headersWithinMs: number;
	readonly idleMs: number;
};

export type ServingConfiguration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	readonly accounts: readonly Account[];
	readonly limits: CallerLimits;
};
