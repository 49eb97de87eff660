/**
 * Smooths the demand that the fleet is sized for. The smoothed demand follows a rise at once and a fall slowly. A rise
 * is extrapolated over the time that an instance takes to start.
 */

export type SmoothedDemand = {
	/** Smoothed demand in slots. */
	readonly level: number;
	/** Smoothed rate of change, in slots per millisecond. */
	readonly slope: number;
	/** Time of the last update, in milliseconds. */
	readonly at: number;
};

export type SmoothingOptions = {
	/** Time constant of the exponential decay after a fall, in milliseconds. */
	readonly fallMs: number;
	/** Time constant over which the slope is averaged, in milliseconds. */
	readonly slopeMs: number;
};

/** Updates the smoothed demand with the number of slots that are needed now. */
export const smoothDemand = (previous: SmoothedDemand | undefined, neededSlots: number, now: number, options: SmoothingOptions): SmoothedDemand => {
	if (previous === undefined || now <= previous.at) {
		return {level: neededSlots, slope: previous?.slope ?? 0, at: now};
	}

	const elapsedMs = now - previous.at;
	const decayed = previous.level + ((neededSlots - previous.level) * (1 - Math.exp(-elapsedMs / options.fallMs)));
	const level = Math.max(neededSlots, decayed);
	const slopeWeight = 1 - Math.exp(-elapsedMs / options.slopeMs);
	return {level, slope: previous.slope + ((((level - previous.level) / elapsedMs) - previous.slope) * slopeWeight), at: now};
};

/** Forecasts the slots that will be needed when an instance that is ordered now is ready, after `startupMs`. A fall is not extrapolated. */
export const forecastDemand = ({level, slope}: SmoothedDemand, startupMs: number): number => level + Math.max(0, slope * startupMs);
