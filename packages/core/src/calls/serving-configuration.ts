/** The configuration that calls are served by, in the product's own terms. Durations stand here as the operator wrote them. */
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
	/** Longest time that a caller is kept waiting, in milliseconds. */
	readonly limitMs: number;
	/** Time within which an answer counts in full, in milliseconds. */
	readonly targetMs: number;
	readonly rank: number;
	readonly attempts: number;
	readonly allowsAnonymous: boolean;
	readonly services: readonly WeightedService[];
};

/** How many backend servers of a service may be ordered, for each availability zone. */
export type FleetBounds = {
	readonly least: number;
	readonly most: number;
	readonly bootMs: number;
	/** Price of a reclaimable backend server as a share of the full price; undefined where none are offered. */
	readonly reclaimablePrice: number | undefined;
	/** Price of a second of a backend server by availability zone. */
	readonly zonePrices: Readonly<Record<string, number>>;
};

/** What a model engine of a service can hold. */
export type EngineTraits = {
	readonly places: number;
	readonly cacheTokens: number;
};

export type Service = {
	readonly name: string;
	readonly maxConnections: number;
	readonly engine: EngineTraits | undefined;
	/** Whether a run's memory can be taken to another backend server. */
	readonly canMoveRuns: boolean;
	readonly fleet: FleetBounds | undefined;
};

export type AccountLimit = {
	/** Cost units a second and a burst of them; 0 or less means no limit. */
	readonly perSecond: number;
	readonly burst: number;
	/** Cost of a call that states no tokens. */
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
