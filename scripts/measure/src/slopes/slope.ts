/** Measures how a cost grows with a size, and fits a line to it. */
import {fitLine, type Line, type Point} from '../fit-line.js';

export type Slope = {
	readonly name: string;
	/** Quantity on the x axis. */
	readonly with: string;
	/** Unit of the measured values (y). */
	readonly unit: string;
	readonly points: readonly Point[];
	readonly line: Line;
	/** Difference between the highest and lowest measurement of a point as a share of their median; the median over all points. */
	readonly spread: number;
};

type MeasureOptions = {
	readonly name: string;
	readonly with: string;
	readonly unit: string;
	readonly sizes: readonly number[];
	readonly repeats: number;
	readonly measure: (size: number) => Promise<number> | number;
};

const computeMedian = (values: readonly number[]): number => values.toSorted((left, right) => left - right)[Math.floor(values.length / 2)]!;

/** Measures each size several times and takes the medians. Each repetition covers all sizes, so that gradual changes of the machine's speed affect all of them. */
export const measureSlope = async (options: MeasureOptions): Promise<Slope> => {
	const samples = new Map<number, number[]>(options.sizes.map(size => [size, []]));
	for (let repeat = 0; repeat < options.repeats; repeat++) {
		for (const size of options.sizes) {
			samples.get(size)!.push(await options.measure(size)); // eslint-disable-line no-await-in-loop -- concurrent measurements would distort each other
		}
	}

	const points = [...samples].map(([x, values]) => ({x, y: computeMedian(values)}));
	const spreads = [...samples.values()].map(values => (Math.max(...values) - Math.min(...values)) / Math.max(1e-9, Math.abs(computeMedian(values))));
	return {
		name: options.name,
		with: options.with,
		unit: options.unit,
		points,
		line: fitLine(points),
		spread: computeMedian(spreads),
	};
};

const significantDigits = 4;

const formatNumber = (value: number): string => Number(value.toPrecision(significantDigits)).toString();

/** Formats the slopes as the Markdown table of the capacity page. */
export const formatSlopes = (slopes: readonly Slope[]): string => [
	'| what | grows with | unit | points (size: value) | slope | intercept | r² | spread |',
	'| --- | --- | --- | --- | --- | --- | --- | --- |',
	...slopes.map(slope => [
		'',
		slope.name,
		slope.with,
		slope.unit,
		slope.points.map(point => `${point.x}: ${formatNumber(point.y)}`).join(', '),
		formatNumber(slope.line.slope),
		formatNumber(slope.line.intercept),
		formatNumber(slope.line.r2),
		`${Math.round(slope.spread * 100)}%`,
		'',
	].join(' | ').trim()),
].join('\n');

/** Returns the mean duration of a call in microseconds, measured after up to 200 warm-up calls. */
export const timeCalls = (count: number, call: (index: number) => void): number => {
	for (let index = 0; index < Math.min(count, 200); index++) {
		call(index);
	}

	const startedAt = performance.now();
	for (let index = 0; index < count; index++) {
		call(index);
	}

	return ((performance.now() - startedAt) * 1000) / count;
};
