/**
 * Clocks for a daemon whose instance may be suspended and whose time of day may jump.
 *
 * `steady` is the steady clock. It never goes back and orders events within this process, but stops while the instance is suspended.
 * The time of day continues during a suspension, but may jump. Neither clock alone can distinguish a
 * suspension from a jump, so each disagreement between them is counted, and a lease holder treats every disagreement as an expired lease.
 * `trueTime` is used for windows that all daemons share. It is the time of day at the start, advanced by the
 * steady clock and corrected to the median of all daemons.
 */
import {performance} from 'node:perf_hooks';

export type Clocks = {
	readonly steady: () => number;
	readonly trueTime: () => number;
	/** Returns how often the two clocks were found to disagree. The count grows after each suspension and each jump. */
	readonly countDisagreements: () => number;
	/** Corrects true time by the offsets of other daemons: their true time minus this daemon's steady clock. */
	readonly applyPeerOffsets: (offsets: readonly number[]) => void;
};

/** Larger differences count as a disagreement. Clocks of one instance drift by less than 1 ms a minute, and a busy processor may delay one of the two reads. */
const disagreementMs = 150;

/** Smaller differences from the median are not corrected. The reports of other daemons are up to 100 ms old on a busy daemon. */
const minCorrectionMs = 150;

const getMedian = (values: readonly number[]): number => {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.floor((sorted.length - 1) / 2)]!;
};

export type ClockSources = {
	readonly steady: () => number;
	readonly timeOfDay: () => number;
};

const systemSources: ClockSources = {steady: () => performance.now(), timeOfDay: () => Date.now()};

export const makeClocks = ({steady, timeOfDay}: ClockSources = systemSources): Clocks => {
	let trueOffset = timeOfDay() - steady();
	let lastOffset = trueOffset;
	let disagreements = 0;
	return {
		steady,
		trueTime: () => steady() + trueOffset,
		countDisagreements() {
			const offset = timeOfDay() - steady();
			if (Math.abs(offset - lastOffset) > disagreementMs) {
				disagreements++;
			}

			lastOffset = offset;
			return disagreements;
		},
		applyPeerOffsets(offsets) {
			if (offsets.length === 0) {
				return;
			}

			const median = getMedian([...offsets, trueOffset]);
			if (Math.abs(median - trueOffset) > minCorrectionMs) {
				trueOffset = median;
			}
		},
	};
};
