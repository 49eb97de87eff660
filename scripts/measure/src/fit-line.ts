/** Fits a line to measured points by least squares. */

export type Point = {readonly x: number; readonly y: number};

export type Line = {
	/** Increase of y per unit of x. */
	readonly slope: number;
	readonly intercept: number;
	/** Coefficient of determination: the share of the variance that the line explains; 1 is a perfect fit. */
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
	const sumOfSquaresX = sum(points.map(point => (point.x - meanX) ** 2));
	const sumOfSquaresY = sum(points.map(point => (point.y - meanY) ** 2));
	const sumOfProducts = sum(points.map(point => (point.x - meanX) * (point.y - meanY)));
	const slope = sumOfProducts / sumOfSquaresX;
	return {
		slope,
		intercept: meanY - (slope * meanX),
		r2: sumOfSquaresY === 0 ? 1 : (sumOfProducts ** 2) / (sumOfSquaresX * sumOfSquaresY),
	};
};
