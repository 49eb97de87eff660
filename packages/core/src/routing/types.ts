/** Backend server and call as seen by routing. */

export type SpeedEstimate = {
	/** Smoothed time from sending to the first token without queued calls, in milliseconds. */
	readonly firstTokenMs: number;
	/** Smoothed time between tokens of one call, in milliseconds. */
	readonly tokenMs: number;
	/** Smoothed prefill time per prompt token that is not cached, in milliseconds. */
	readonly prefillTokenMs: number;
	/** Approximate minimum of the measured time between tokens, in milliseconds: the engine's speed without load. */
	readonly leastTokenMs?: number;
	readonly samples: number;
};

export type LoadReport = {
	readonly running: number;
	readonly queued: number;
	/** Prompt tokens in the cache; absent if the engine does not report them. */
	readonly cachedTokens?: number;
	/** Time of measurement on the engine, in milliseconds since the epoch. */
	readonly at: number;
};

export type BackendView = {
	readonly id: string;
	/** 32-bit hash of the id, computed once because every choice needs it. */
	readonly idHash: number;
	readonly address: string;
	readonly availabilityZone: string;
	readonly machineClass: string;
	readonly services: readonly string[];
	readonly checksFencing: boolean;
	readonly isLeaving: boolean;
	/** Avoided until this time after failures to connect, in milliseconds since the epoch. */
	readonly avoidUntil: number;
	/** Running calls of this daemon. */
	readonly running: number;
	/** Calls that this daemon has sent since the report was measured. */
	readonly sentSinceReport: number;
	/** Estimated prompt tokens of this daemon's calls that are not prefilled yet. */
	readonly pendingTokens: number;
	/** Running calls of this daemon that have a latency target. */
	readonly urgentCalls: number;
	/** Highest reported number of prompt tokens in the cache, used as its capacity. */
	readonly cacheTokens: number;
	/** Maximum number of concurrent calls of this daemon. */
	readonly limit: number;
	readonly report?: LoadReport;
	readonly speed: SpeedEstimate;
	/** Credits per hour. */
	readonly price: number;
};

/** Latencies that 95% of the answers of a class must not exceed, in milliseconds. */
export type LatencyTarget = {
	readonly firstTokenMs: number;
	readonly betweenTokensMs: number | undefined;
};

export type RoutedCall = {
	readonly service: string;
	readonly promptTokens: number;
	/** Hash chain of the prompt's blocks, in which each hash includes all blocks before it; empty for services without prompts. */
	readonly prefixHashes: readonly bigint[];
	readonly expectedTokens: number;
	readonly now: number;
	/** Availability zone of this daemon, which is also the caller's. */
	readonly availabilityZone: string;
	/** Latency target of the call's class; undefined if the class has none. */
	readonly target: LatencyTarget | undefined;
	/** Ids of the backend servers to which this call was sent. */
	readonly excluded: ReadonlySet<string>;
};

/** Returns the number of leading blocks of the chain that the backend server is known to have cached. */
export type CountCachedBlocks = (backendId: string, chain: readonly bigint[]) => number;

export type RoutingContext = {
	readonly call: RoutedCall;
	readonly backends: readonly BackendView[];
	readonly findBackend: (id: string) => BackendView | undefined;
	readonly countCachedBlocks: CountCachedBlocks;
	/** Returns the backend servers that are known to hold the block. */
	readonly listHolders: (hash: bigint) => ReadonlySet<string> | undefined;
	readonly random: () => number;
};

/** Chooses a backend server, or returns undefined if no candidate can take the call. */
export type RoutingPolicy = (context: RoutingContext) => BackendView | undefined;
