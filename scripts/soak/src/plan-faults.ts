/** What is to go wrong in a run, and when: all of it follows from the seed. */
import {makeRandom} from '@shallotpass/core/testing/make-random.js';

export type LinkFault = 'cut' | 'silent' | 'forgetful' | 'reset' | 'one_way' | 'slow';

export type BackendFault = 'close_after_read' | 'refuse' | 'break_stream' | 'fail' | 'mute' | 'other_id';

export type Fault =
	/** The process stands still, as an instance that is suspended. */
	| {readonly kind: 'pause'; readonly daemon: number; readonly forMs: number}
	| {readonly kind: 'kill'; readonly daemon: number; readonly forMs: number}
	| {readonly kind: 'stop'; readonly daemon: number; readonly forMs: number}
	/** The settings file changes, with a signal or without a word. */
	| {readonly kind: 'reload'; readonly daemon: number; readonly isTold: boolean}
	/** The settings file is cut short for a while. */
	| {readonly kind: 'spoil_settings'; readonly daemon: number; readonly forMs: number}
	| {readonly kind: 'step_clock'; readonly daemon: number; readonly stepMs: number; readonly forMs: number}
	/** The path between one daemon, or all of them, and the store. */
	| {readonly kind: 'store'; readonly daemon: number | undefined; readonly how: LinkFault; readonly forMs: number}
	| {readonly kind: 'cloud'; readonly how: LinkFault; readonly forMs: number}
	| {readonly kind: 'link'; readonly backend: number; readonly how: LinkFault; readonly forMs: number}
	| {readonly kind: 'misbehave'; readonly backend: number; readonly how: BackendFault; readonly forMs: number}
	| {readonly kind: 'leave'; readonly backend: number; readonly isTold: boolean; readonly forMs: number}
	/** A new version; the second key comes and goes with it. */
	| {readonly kind: 'configure'; readonly hasSecondKey: boolean};

export type PlannedFault = {
	/** Milliseconds after the callers began. */
	readonly at: number;
	readonly fault: Fault;
};

export type FaultOptions = {
	readonly seed: number;
	readonly daemons: number;
	readonly backends: number;
	/** Time in which faults begin, in milliseconds. */
	readonly forMs: number;
	readonly hasOnlyPlannedWork: boolean;
};

type Draw = {
	readonly pickNumber: (below: number) => number;
	readonly pickOf: <Value>(values: readonly Value[]) => Value;
	readonly drawMs: (least: number, most: number) => number;
	readonly isTrue: () => boolean;
};

const linkFaults: readonly LinkFault[] = ['cut', 'silent', 'forgetful', 'reset', 'one_way', 'slow'];
const backendFaults: readonly BackendFault[] = ['close_after_read', 'refuse', 'break_stream', 'fail', 'mute', 'other_id'];

const plannedWork: ReadonlyArray<(draw: Draw, options: FaultOptions) => Fault> = [
	({pickNumber, drawMs}, {daemons}) => ({kind: 'stop', daemon: pickNumber(daemons), forMs: drawMs(0, 1500)}),
	({pickNumber, isTrue}, {daemons}) => ({kind: 'reload', daemon: pickNumber(daemons), isTold: isTrue()}),
	({pickNumber, isTrue, drawMs}, {backends}) => ({
		kind: 'leave', backend: pickNumber(backends), isTold: isTrue(), forMs: drawMs(2500, 4000),
	}),
	({isTrue}) => ({kind: 'configure', hasSecondKey: isTrue()}),
];

const unplanned: ReadonlyArray<(draw: Draw, options: FaultOptions) => Fault> = [
	({pickNumber, drawMs}, {daemons}) => ({kind: 'pause', daemon: pickNumber(daemons), forMs: drawMs(300, 4500)}),
	({pickNumber, drawMs}, {daemons}) => ({kind: 'kill', daemon: pickNumber(daemons), forMs: drawMs(0, 2500)}),
	({pickNumber, drawMs}, {daemons}) => ({kind: 'spoil_settings', daemon: pickNumber(daemons), forMs: drawMs(500, 3000)}),
	({pickNumber, pickOf, drawMs}, {daemons}) => ({
		kind: 'step_clock', daemon: pickNumber(daemons), stepMs: pickOf([-3_600_000, -4000, -700, 700, 4000, 3_600_000]), forMs: drawMs(1000, 4000),
	}),
	({pickNumber, pickOf, isTrue, drawMs}, {daemons}) => ({
		kind: 'store', daemon: isTrue() ? undefined : pickNumber(daemons), how: pickOf(linkFaults), forMs: drawMs(300, 5000),
	}),
	({pickOf, drawMs}) => ({kind: 'cloud', how: pickOf(linkFaults), forMs: drawMs(300, 4000)}),
	({pickNumber, pickOf, drawMs}, {backends}) => ({
		kind: 'link', backend: pickNumber(backends), how: pickOf(linkFaults), forMs: drawMs(200, 4000),
	}),
	({pickNumber, pickOf, drawMs}, {backends}) => ({
		kind: 'misbehave', backend: pickNumber(backends), how: pickOf(backendFaults), forMs: drawMs(200, 3000),
	}),
];

/** One fault begins in each such time in the mean, so that they overlap. */
const meanGapMs = 500;

/** Faults come in series of up to so many, one shortly after the other. */
const longestSeries = 3;

export const planFaults = (options: FaultOptions): PlannedFault[] => {
	const random = makeRandom(options.seed);
	const pickNumber = (below: number): number => Math.floor(random() * below);
	const draw: Draw = {
		pickNumber,
		pickOf: values => values[pickNumber(values.length)]!,
		drawMs: (least, most) => Math.round(least + (random() * (most - least))),
		isTrue: () => random() < 0.5,
	};
	const kinds = options.hasOnlyPlannedWork ? plannedWork : [...plannedWork, ...unplanned, ...unplanned];
	const planned: PlannedFault[] = [];
	const count = Math.ceil(options.forMs / meanGapMs);
	while (planned.length < count) {
		const make = draw.pickOf(kinds);
		const at = draw.drawMs(0, options.forMs);
		const series = random() < 0.3 ? 2 + pickNumber(longestSeries - 1) : 1;
		for (let index = 0; index < series; index++) {
			planned.push({at: at + (index * draw.drawMs(50, 700)), fault: make(draw, options)});
		}
	}

	return planned.toSorted((left, right) => left.at - right.at);
};
