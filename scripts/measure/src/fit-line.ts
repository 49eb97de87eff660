/** Least squares through measured points. */

export type Point = {readonly x: number; readonly y: number};

export type Line = {
	/** Growth of y for each unit of x. */
	readonly slope: number;
	readonly intercept: number;
	/** Share of the spread that the line explains; 1 is a perfect line. */
	readonly r2: number;
};

const sum = (values: readonly number[]): number => {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
};

export const fitLine = (points: readonly Point[]): Line => {
	const count = points.length;
	const meanX = sum(points.map(point => point.x)) / count;
	const meanY = sum(points.map(point => point.y)) / count;
	const spreadX = sum(points.map(point => (point.x - meanX) ** 2));
	const spreadY = sum(points.map(point => (point.y - meanY) ** 2));
	const shared = sum(points.map(point => (point.x - meanX) * (point.y - meanY)));
	const slope = shared / spreadX;
	return {
		slope,
		intercept: meanY - (slope * meanX),
		r2: spreadY === 0 ? 1 : (shared ** 2) / (spreadX * spreadY),
	};
};
