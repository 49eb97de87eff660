/** What routing knows of a backend server and of a call. */

export type LearnedSpeed = {
	/** Smoothed time from sending to the first token, with nothing waiting, in milliseconds. */
	readonly firstTokenMs: number;
	/** Smoothed time of one call's token, in milliseconds. */
	readonly tokenMs: number;
	/** Smoothed time to read one prompt token that is not cached, in milliseconds. */
	readonly prefillTokenMs: number;
	/** About the shortest time between tokens that it was seen to reach, in milliseconds: its own pace without load. */
	readonly leastTokenMs?: number;
	readonly samples: number;
};

export type LoadReport = {
	readonly running: number;
	readonly queued: number;
	/** Prompt tokens that its cache holds; absent where the engine does not say. */
	readonly cachedTokens?: number;
	/** When the engine measured it, milliseconds since the epoch. */
	readonly at: number;
};

export type BackendView = {
	readonly id: string;
	/** 32-bit hash of the id; made once, because every choice needs it. */
	readonly idHash: number;
	readonly address: string;
	readonly availabilityZone: string;
	readonly machineClass: string;
	readonly services: readonly string[];
	readonly checksFencing: boolean;
	readonly isLeaving: boolean;
	/** Nothing new before this moment, after failures to connect. */
	readonly avoidUntil: number;
	/** Calls of this daemon that run there. */
	readonly running: number;
	/** Calls of this daemon sent since the report was measured. */
	readonly sentSinceReport: number;
	/** Prompt tokens of this daemon's calls that it has not read yet, as far as known. */
	readonly pendingTokens: number;
	/** Of the calls of this daemon that run there, those with a latency target. */
	readonly urgent: number;
	/** The most prompt tokens that its cache was seen to hold; what its memory is good for. */
	readonly cacheTokens: number;
	/** Calls that this daemon lets run there at once. */
	readonly limit: number;
	readonly report?: LoadReport;
	readonly speed: LearnedSpeed;
	/** Credits an hour. */
	readonly price: number;
};

/** What 95 in 100 answers of a class are to keep, in milliseconds. */
export type LatencyTarget = {
	readonly firstTokenMs: number;
	readonly betweenTokensMs: number | undefined;
};

export type RoutedCall = {
	readonly service: string;
	readonly promptTokens: number;
	/** Hashes of the prompt's blocks, each over all before it; empty for plain services. */
	readonly chain: readonly bigint[];
	readonly expectedTokens: number;
	readonly now: number;
	/** The caller's availability zone: this daemon's. */
	readonly availabilityZone: string;
	/** Targets of the call's class; a call without any is patient. */
	readonly target: LatencyTarget | undefined;
	/** Backend servers that were tried for this call. */
	readonly excluded: ReadonlySet<string>;
};

/** How many leading blocks of the chain the backend server holds in its cache, as far as known. */
export type CountCachedBlocks = (backendId: string, chain: readonly bigint[]) => number;

export type RoutingContext = {
	readonly call: RoutedCall;
	readonly backends: readonly BackendView[];
	readonly findBackend: (id: string) => BackendView | undefined;
	readonly countCachedBlocks: CountCachedBlocks;
	/** Backend servers that hold the block, as far as known. */
	readonly listHolders: (hash: bigint) => ReadonlySet<string> | undefined;
	readonly random: () => number;
};

/** A way of choosing; undefined when no candidate can take the call. */
export type RoutingPolicy = (context: RoutingContext) => BackendView | undefined;
