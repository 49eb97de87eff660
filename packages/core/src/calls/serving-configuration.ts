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
	/** Target time for an answer, in milliseconds. A later answer is still delivered but does not count in full. */
	readonly targetMs: number;
	/** Longest pause between events of a stream that counts as in time, in milliseconds. 0 if the operator states none. */
	readonly pauseMs: number;
	/** Priority of the calls; 0 is the most urgent. */
	readonly rank: number;
	/** Maximum number of attempts that may have executed a call. Attempts that certainly did not execute it are not counted. */
	readonly attempts: number;
	readonly allowsAnonymous: boolean;
	readonly services: readonly WeightedService[];
};

/** Limits for ordering backend servers of a service, with their boot time and prices. */
export type FleetBounds = {
	/** Minimum number of backend servers per availability zone. */
	readonly least: number;
	/** Maximum number of backend servers per availability zone. */
	readonly most: number;
	readonly bootMs: number;
	/** Price of a reclaimable backend server as a fraction of the full price; undefined if none are offered. */
	readonly reclaimablePrice?: number | undefined;
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
	readonly engine?: EngineCapacity | undefined;
	/** Whether the KV cache of a running call can be transferred to another backend server. */
	readonly canMoveRuns: boolean;
	readonly fleet?: FleetBounds | undefined;
};

export type AccountLimit = {
	/** Cost units per second; 0 or less means no limit. */
	readonly perSecond: number;
	/** Cost units that may be spent at once, in addition to `perSecond`. */
	readonly burst: number;
	/** Cost of a call that does not state its tokens, if `countsTokens` is true. */
	readonly plainCost: number;
	/** Whether a call costs its number of tokens; otherwise each call costs 1. */
	readonly countsTokens: boolean;
};

export type Account = {
	readonly name: string;
	readonly keys: readonly string[];
	readonly rank?: number | undefined;
	readonly limit?: AccountLimit | undefined;
};

/** Limits for the connections and requests of callers. */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	/** Maximum time in which a caller sends the headers of a request. */
	readonly headersWithinMs: number;
	/** Time for which an idle connection stays open. */
	readonly idleMs: number;
};

export type ServingConfiguration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	readonly accounts: readonly Account[];
	readonly limits: CallerLimits;
};
