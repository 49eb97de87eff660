/** One measured slope: what grows, with what, and by how much. */
import {fitLine, type Line, type Point} from '../fit-line.js';

export type Slope = {
	readonly name: string;
	/** What x counts. */
	readonly with: string;
	/** Unit of y. */
	readonly unit: string;
	readonly points: readonly Point[];
	readonly line: Line;
	/** Largest difference between repeated measurements of a point, as a share of their median. */
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

const pickMedian = (values: readonly number[]): number => values.toSorted((left, right) => left - right)[Math.floor(values.length / 2)]!;

/** Measures each size some times and takes the median; sizes in turn, so that drift strikes all. */
export const measureSlope = async (options: MeasureOptions): Promise<Slope> => {
	const samples = new Map<number, number[]>(options.sizes.map(size => [size, []]));
	for (let repeat = 0; repeat < options.repeats; repeat++) {
		for (const size of options.sizes) {
			samples.get(size)!.push(await options.measure(size)); // eslint-disable-line no-await-in-loop -- one after the other
		}
	}

	const points = [...samples].map(([x, values]) => ({x, y: pickMedian(values)}));
	const spreads = [...samples.values()].map(values => (Math.max(...values) - Math.min(...values)) / Math.max(1e-9, Math.abs(pickMedian(values))));
	return {
		name: options.name,
		with: options.with,
		unit: options.unit,
		points,
		line: fitLine(points),
		spread: pickMedian(spreads),
	};
};

const shownDigits = 4;

const show = (value: number): string => Number(value.toPrecision(shownDigits)).toString();

/** The table that the capacity page holds. */
export const formatSlopes = (slopes: readonly Slope[]): string => [
	'| what | grows with | unit | points (size: value) | slope | intercept | r² | spread |',
	'| --- | --- | --- | --- | --- | --- | --- | --- |',
	...slopes.map(slope => [
		'',
		slope.name,
		slope.with,
		slope.unit,
		slope.points.map(point => `${point.x}: ${show(point.y)}`).join(', '),
		show(slope.line.slope),
		show(slope.line.intercept),
		show(slope.line.r2),
		`${Math.round(slope.spread * 100)}%`,
		'',
	].join(' | ').trim()),
].join('\n');

/** Microseconds of one call, over so many. */
export const timeCalls = (count: number, act: (index: number) => void): number => {
	for (let index = 0; index < Math.min(count, 200); index++) {
		act(index);
	}

	const startedAt = performance.now();
	for (let index = 0; index < count; index++) {
		act(index);
	}

	return ((performance.now() - startedAt) * 1000) / count;
};
