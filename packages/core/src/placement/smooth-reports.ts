/**
 * Weighs pending prompt tokens in reports by their age. A prompt is prefilled within some hundred milliseconds, so an old report
 * says little about one engine, but still how much work all engines have. If old reports counted in full, all daemons would
 * avoid and choose the same engines in turns.
 */

export type ReportedEngine = {
	/** Pending prompt tokens by rank, as reported by other daemons. */
	readonly pendingTokens: readonly number[];
	readonly tokensPerMs: number;
};

/** Weight of reports of other daemons that arrive through relays, up to 0.9 s old. Direct ones are at most 0.3 s old and count in full. */
export const relayedReportWeight = 0.4;

/** Returns the pending tokens of each engine, moved towards the mean of all. `weight`: part of the difference from the mean that remains. */
export const smoothReportedTokens = (engines: readonly ReportedEngine[], weight: number): number[][] => {
	const tokensPerMs = engines.reduce((sum, engine) => sum + engine.tokensPerMs, 0);
	const sums: number[] = [];
	for (const {pendingTokens} of engines) {
		for (const [rank, tokens] of pendingTokens.entries()) {
			sums[rank] = (sums[rank] ?? 0) + tokens;
		}
	}

	return engines.map(engine => engine.pendingTokens.map((tokens, rank) => (tokens * weight) + (sums[rank]! * engine.tokensPerMs / tokensPerMs * (1 - weight))));
};
