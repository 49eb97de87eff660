/** Seeded random numbers for tests and measurements. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Makes a function that returns uniformly distributed numbers in [0, 1). */
export const makeRandom = (seed: number): (() => number) => {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
};
