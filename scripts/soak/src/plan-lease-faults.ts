/** Plans what a successor of the lease holder cannot know: clocks that are wrong when a process starts, records that cannot be read, and daemons that hear nothing of each other. */
import {makeRandomBeside} from './make-random-beside.js';
import {type Fault, type FaultOptions, type PlannedFault} from './plan-faults.js';

/** Keys of the records that a holder of the lease writes. */
export type LeaseKey = 'lease' | 'reported_windows';

/** Added to the seed, so that these faults have random numbers of their own and the plans of known seeds stay as they are. */
const leaseSeedOffset = 10_000_000;
const windowSeedOffset = 11_000_000;

const leaseFaultShare = 0.6;
const maxEpisodes = 2;
const maxWrongClocks = 3;
const maxHolderEnds = 3;

/** Episodes begin in the second half of the other faults, beside which the lease is seldom held for long, and up to this long after them. */
const episodesAfterFaultsMs = 8000;
const minEpisodeMs = 8000;
const maxEpisodeMs = 14_000;

const minClockErrorMs = 2000;
const maxNearClockErrorMs = 20_000;
const maxClockErrorMs = 3_600_000;
const minWrongClockMs = 4000;
const maxDownMs = 1500;

/** A holder that is back within this time takes its lease again. */
const maxWrongClockDownMs = 300;

/** Lengths of a usage window. Two of the shortest have passed by the time at which a lease is taken over, the longest has not. */
const usageWindowsMs = [1000, 1000, 3000, 5000];

/** Draws each order of magnitude alike. Most errors are so small that their windows come within the run. */
const drawClockErrorMs = (random: () => number): number => {
	const maxMs = random() < 0.7 ? maxNearClockErrorMs : maxClockErrorMs;
	const errorMs = Math.round(minClockErrorMs * ((maxMs / minClockErrorMs) ** random()));
	return random() < 0.5 ? errorMs : -errorMs;
};

const drawSignal = (random: () => number): 'SIGTERM' | 'SIGKILL' => random() < 0.5 ? 'SIGTERM' : 'SIGKILL';

const drawWrongClock = (random: () => number, {daemons}: FaultOptions): Fault => ({
	kind: 'start_with_wrong_clock',
	daemon: random() < 0.7 ? 'holder' : Math.floor(random() * daemons),
	signal: random() < 0.25 ? 'SIGTERM' : 'SIGKILL',
	forMs: Math.round(random() * maxWrongClockDownMs),
	errorMs: drawClockErrorMs(random),
	lastsMs: random() < 0.4 ? undefined : Math.round(minWrongClockMs + (random() * maxEpisodeMs)),
});

const drawSeparation = (random: () => number, {daemons}: FaultOptions, forMs: number): Fault => {
	const first = Math.floor(random() * daemons);
	const count = random() < 0.8 ? daemons : 1 + Math.floor(random() * daemons);
	return {kind: 'separate', daemons: Array.from({length: count}, (_value, index) => (first + index) % daemons), forMs};
};

const drawHolderEnd = (random: () => number): Fault => ({kind: 'end_holder', signal: drawSignal(random), forMs: Math.round(random() * maxDownMs)});

const spoiledKeys: ReadonlyArray<readonly LeaseKey[]> = [['lease'], ['lease'], ['reported_windows'], ['lease', 'reported_windows']];
const spoiledValues = ['{"holder": \u0000', '[1]', '{"holder":7}'];

const drawSpoiledRecord = (random: () => number): Fault => ({
	kind: 'spoil_lease',
	keys: spoiledKeys[Math.floor(random() * spoiledKeys.length)]!,
	value: spoiledValues[Math.floor(random() * spoiledValues.length)]!,
});

/** Draws daemons that hear nothing of each other, and what changes the holder and misleads its successor meanwhile. */
const drawEpisode = (random: () => number, options: FaultOptions): PlannedFault[] => {
	const at = Math.round((options.forMs / 2) + (random() * ((options.forMs / 2) + episodesAfterFaultsMs)));
	const lastsMs = Math.round(minEpisodeMs + (random() * (maxEpisodeMs - minEpisodeMs)));
	const drawFaults = (count: number, [from, until]: readonly [number, number], draw: () => Fault): PlannedFault[] =>
		Array.from({length: count}, () => ({at: at + Math.round((from + (random() * (until - from))) * lastsMs), fault: draw()}));
	const drawCount = (max: number): number => Math.floor(random() * (max + 1));
	return [
		...(random() < 0.8 ? [{at, fault: drawSeparation(random, options, lastsMs)}] : []),
		...drawFaults(1 + drawCount(maxWrongClocks - 1), [0, 0.5], () => drawWrongClock(random, options)),
		...drawFaults(1 + drawCount(maxHolderEnds - 1), [0.4, 1], () => drawHolderEnd(random)),
		...drawFaults(drawCount(1), [0.2, 1], () => drawSpoiledRecord(random)),
	];
};

/** Plans these faults in some of the runs. */
export const planLeaseFaults = (options: FaultOptions): PlannedFault[] => {
	const random = makeRandomBeside(options.seed, leaseSeedOffset);
	if (random() > leaseFaultShare) {
		return [];
	}

	return Array.from({length: 1 + Math.floor(random() * maxEpisodes)}, () => drawEpisode(random, options)).flat();
};

/** Draws the length of a usage window of the run. */
export const drawUsageWindowMs = ({seed, hasOnlyPlannedWork}: Pick<FaultOptions, 'seed' | 'hasOnlyPlannedWork'>): number =>
	hasOnlyPlannedWork ? usageWindowsMs[0]! : usageWindowsMs[Math.floor(makeRandomBeside(seed, windowSeedOffset)() * usageWindowsMs.length)]!;
