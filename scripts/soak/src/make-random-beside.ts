/** Random numbers for a part of a run's plan that must not change the other parts. */
import {makeRandom} from '@shallotpass/core/testing/make-random.js';

/** Neighbouring seeds begin with the same numbers, so these are left out. */
const skippedDraws = 16;

/** `offset`: tells the part of the plan from others. */
export const makeRandomBeside = (seed: number, offset: number): (() => number) => {
	const random = makeRandom(seed + offset);
	for (let draw = 0; draw < skippedDraws; draw++) {
		random();
	}

	return random;
};
