/** The demand that the fleet is sized for: up at once, down slowly, and ahead of a rise by the time a start takes. */

export type SmoothedDemand = {
	/** Places. */
	readonly level: number;
	/** Places a millisecond; what the demand has been changing by. */
	readonly slope: number;
	readonly at: number;
};

export type SmoothingOptions = {
	/** Time in which what is gone from the demand is forgotten by all but a third, in milliseconds. */
	readonly fallMs: number;
	/** Time over which the slope is taken, in milliseconds. */
	readonly slopeMs: number;
};

export const smoothDemand = (before: SmoothedDemand | undefined, places: number, now: number, options: SmoothingOptions): SmoothedDemand => {
	if (before === undefined || now <= before.at) {
		return {level: places, slope: before?.slope ?? 0, at: now};
	}

	const passedMs = now - before.at;
	const fallen = before.level + ((places - before.level) * (1 - Math.exp(-passedMs / options.fallMs)));
	const level = Math.max(places, fallen);
	const weight = 1 - Math.exp(-passedMs / options.slopeMs);
	return {level, slope: before.slope + ((((level - before.level) / passedMs) - before.slope) * weight), at: now};
};

/** Places that will be needed when an instance that is ordered now serves. */
export const foreseeDemand = ({level, slope}: SmoothedDemand, startMs: number): number => level + Math.max(0, slope * startMs);
