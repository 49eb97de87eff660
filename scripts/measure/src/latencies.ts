import {build, type Histogram} from 'hdr-histogram-js';

/** Histogram of latencies with a resolution of one microsecond; all values are in milliseconds. */
export type Latencies = {
	readonly record: (milliseconds: number) => void;
	readonly get: (percentile: number) => number;
	readonly count: () => number;
};

const microsecondsPerMs = 1000;

export const makeLatencies = (): Latencies => {
	const histogram: Histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3});
	return {
		record(milliseconds) {
			histogram.recordValue(Math.max(1, Math.round(milliseconds * microsecondsPerMs)));
		},
		get: percentile => histogram.getValueAtPercentile(percentile) / microsecondsPerMs,
		count: () => histogram.totalCount,
	};
};

export type Quantiles = {readonly p50: number; readonly p95: number; readonly p99: number};

export const getQuantiles = (latencies: Latencies): Quantiles => ({
	p50: latencies.get(50),
	p95: latencies.get(95),
	p99: latencies.get(99),
});

export const round = (value: number, digits = 3): number => Number(value.toFixed(digits));
