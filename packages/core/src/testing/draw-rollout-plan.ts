/** Draws the roll-outs that are simulated: fleets of the target deployments, bad versions of all kinds, and faults. */
import {makeRandom} from './make-random.js';
import {type RolloutFault, type RolloutPlan} from './rollout-simulation.js';
import {type Badness} from './simulated-backends.js';

type Fleet = {
	/** Servers of each version, and calls per second. With hundreds of daemons it is a part of their traffic, which takes too long to simulate. */
	readonly servers: number;
	readonly perSecond: number;
};

const fleets = new Map<number, Fleet>([
	[1, {servers: 6, perSecond: 60}],
	[27, {servers: 42, perSecond: 330}],
	[68, {servers: 50, perSecond: 452}],
	[870, {servers: 200, perSecond: 1500}],
]);

export const simulatedDaemonCounts = [...fleets.keys()];

const badnessKinds = ['start', 'late', 'load', 'route', 'gradual'] as const;

export const badEffects = {
	'failures of 0.05': {failures: 0.05, slow: 0, slowdown: 1},
	'failures of 0.3': {failures: 0.3, slow: 0, slowdown: 1},
	'failures of 1': {failures: 1, slow: 0, slowdown: 1},
	'answers 4 times as slow': {failures: 0, slow: 1, slowdown: 4},
	'answers twice as slow': {failures: 0, slow: 1, slowdown: 2},
	'0.4 of the answers 4 times as slow': {failures: 0, slow: 0.4, slowdown: 4},
} as const satisfies Record<string, Omit<Badness, 'kind' | 'from'>>;

export type BadEffect = keyof typeof badEffects;

const faultKinds = ['crash', 'reclaim', 'burst', 'partition', 'holder_killed', 'daemons_killed', 'store_outage'] as const;

const maxFaults = 3;
const faultMs = 3000;
const faultSpreadMs = 7000;

/** First numbers of neighbouring seeds are alike. */
const skippedNumbers = 20;

const pickOne = <Item>(items: readonly Item[], random: () => number): Item => items[Math.floor(random() * items.length)]!;

const drawFaults = (durationMs: number, random: () => number): RolloutFault[] => Array.from({length: Math.floor(random() * (maxFaults + 1))}, () => ({
	kind: pickOne(faultKinds, random), at: random() * durationMs, forMs: faultMs + (random() * faultSpreadMs),
}));

/** Draws a roll-out of a good version, or of one with the effect if it is given. */
export const drawRolloutPlan = (daemons: number, seed: number, effect: BadEffect | undefined): RolloutPlan => {
	const random = makeRandom(seed + (daemons * 100_000));
	for (let count = 0; count < skippedNumbers; count++) {
		random();
	}

	const {servers, perSecond} = fleets.get(daemons)!;
	const durationMs = pickOne([40_000, 60_000, 80_000], random);
	const kind = pickOne(badnessKinds, random);
	const from = 8000 + (random() * ((durationMs / 2) - 12_000));
	return {
		daemons,
		servers,
		routes: [
			{
				name: 'long', perSecond: perSecond * 0.15, tokens: 5000, streamMs: 1500,
			},
			{
				name: 'short', perSecond: perSecond * 0.85, tokens: 1500, streamMs: 200,
			},
		],
		durationMs,
		bounds: {exposureShare: 0.1, exposureSlack: 50, rollbackMs: 5000},
		badness: effect === undefined ? undefined : {kind, from, ...badEffects[effect]},
		faults: drawFaults(durationMs, random),
		lossShare: 0.1,
		random,
	};
};
