/** Smooths the demand that the fleet is sized for. It follows a rise at once and a fall slowly, and is forecast over the time that a start takes. */

export type SmoothedDemand = {
	/** Smoothed demand in places. */
	readonly level: number;
	/** Smoothed rate of change, in places per millisecond. */
	readonly slope: number;
	readonly at: number;
};

export type SmoothingOptions = {
	/** Time constant of the exponential decay after a fall, in milliseconds. */
	readonly fallMs: number;
	/** Time constant over which the slope is averaged, in milliseconds. */
	readonly slopeMs: number;
};

/** Updates the smoothed demand with the places that are needed now. */
export const smoothDemand = (previous: SmoothedDemand | undefined, places: number, now: number, options: SmoothingOptions): SmoothedDemand => {
	if (previous === undefined || now <= previous.at) {
		return {level: places, slope: previous?.slope ?? 0, at: now};
	}

	const elapsedMs = now - previous.at;
	const decayed = previous.level + ((places - previous.level) * (1 - Math.exp(-elapsedMs / options.fallMs)));
	const level = Math.max(places, decayed);
	const weight = 1 - Math.exp(-elapsedMs / options.slopeMs);
	return {level, slope: previous.slope + ((((level - previous.level) / elapsedMs) - previous.slope) * weight), at: now};
};

/** Returns the places that will be needed when an instance that is ordered now is ready. */
export const forecastDemand = ({level, slope}: SmoothedDemand, startMs: number): number => level + Math.max(0, slope * startMs);
