/** Plans the faults of a run and their start times, which are determined by the seed. */
import {makeRandom} from '@shallotpass/core/testing/make-random.js';
import {type LinkFailure} from './daemon-links.js';
import {makeRandomBeside} from './make-random-beside.js';
import {type LeaseKey, planLeaseFaults} from './plan-lease-faults.js';

/** Modes of a relay that disrupt its connections, and `slow`, which adds latency. */
export type LinkFault = 'cut' | 'silent' | 'forgetful' | 'reset' | 'one_way' | 'slow';

/** Failure modes of a backend server stand-in. */
export type BackendFault = 'close_after_read' | 'refuse' | 'break_stream' | 'fail' | 'mute' | 'other_id' | EndlessFault;

/** Bytes that are no answer and do not end. */
export type EndlessFault = 'endless_body' | 'endless_comments' | 'endless_error' | 'endless_refusal';

/** Notice that an engine gives when it announces that it is leaving. */
export type Notice = {
	/** Time until its end. */
	readonly leavesMs: number;
	/** Whether the other engines have room for its runs. */
	readonly hasRoom: boolean;
	/** What becomes of the answers to orders that stop its runs. Undefined if they arrive. */
	readonly lostOrders?: LostOrders;
};

/** Behaviors of an engine that stops a run and whose answer does not arrive. */
export type LostOrders = 'loses_answer' | 'resets' | 'says_nothing';

/** What the engines do that do not pause in streams. `full`: none takes a stream that has run elsewhere. `silent`: they pause too. */
export type OtherEngines = 'sound' | 'full' | 'silent' | 'leaving' | 'absent';

export type Fault =
	/** Stops the process temporarily with SIGSTOP, like the suspension of an instance. */
	| {readonly kind: 'pause'; readonly daemon: number; readonly forMs: number}
	/** Kills the process with SIGKILL and restarts it. */
	| {readonly kind: 'kill'; readonly daemon: number; readonly forMs: number}
	/** Stops the process with SIGTERM and restarts it. `sparesLast`: not if faults affect all other daemons, so that callers find one. */
	| {readonly kind: 'stop'; readonly daemon: number; readonly forMs: number; readonly sparesLast?: boolean}
	/** Restarts the process and stops it with SIGTERM while it starts, once for each of these times after its start. */
	| {readonly kind: 'stop_starting'; readonly daemon: number; readonly afterMs: readonly number[]}
	/** Changes the settings file. `isTold` states whether a SIGHUP follows. */
	| {readonly kind: 'reload'; readonly daemon: number; readonly isTold: boolean}
	/** Truncates the settings file temporarily. */
	| {readonly kind: 'spoil_settings'; readonly daemon: number; readonly forMs: number}
	/** Shifts the system clock of the daemon temporarily. */
	| {readonly kind: 'step_clock'; readonly daemon: number; readonly stepMs: number; readonly forMs: number}
	/** Disrupts the connections between one daemon, or all daemons if undefined, and the store. */
	| {readonly kind: 'store'; readonly daemon: number | undefined; readonly how: LinkFault; readonly forMs: number}
	/** Disrupts the connections between all daemons and the cloud. */
	| {readonly kind: 'cloud'; readonly how: LinkFault; readonly forMs: number}
	/** Disrupts the connections to a backend server. */
	| {readonly kind: 'link'; readonly backend: number; readonly how: LinkFault; readonly forMs: number}
	/** Makes a backend server fail in the given way temporarily. */
	| {readonly kind: 'misbehave'; readonly backend: number; readonly how: BackendFault; readonly forMs: number}
	/** Removes a backend server from the store for a while. `isTold` states whether it first announces that it is leaving. */
	| {readonly kind: 'leave'; readonly backend: number; readonly isTold: boolean; readonly forMs: number; readonly notice?: Notice}
	/** Makes a backend server state that it takes this many calls a second from all daemons together. */
	| {readonly kind: 'limit'; readonly backend: number; readonly perSecond: number; readonly forMs: number}
	/** Makes the backend servers of a service state that they fall over when they turn more calls away in a second. */
	| {readonly kind: 'brittle'; readonly service: 'app' | 'llm'; readonly rejections: number; readonly forMs: number}
	/** Makes the links of some daemons to all backend servers fail. */
	| {readonly kind: 'cut_off'; readonly daemons: readonly number[]; readonly how: LinkFailure; readonly forMs: number}
	/** Loses datagrams that some daemons send to others, or if split all between them and the rest. */
	| {readonly kind: 'lose_datagrams'; readonly daemons: readonly number[]; readonly lossShare: number; readonly isSplit: boolean; readonly forMs: number}
	/** Lets some daemons, at times all, hear nothing of any other one, nor the others of them. */
	| {readonly kind: 'separate'; readonly daemons: readonly number[]; readonly forMs: number}
	/** Restarts the process with a clock that is wrong from its start on, over further restarts, and to the end of the run if `lastsMs` is undefined. */
	| {readonly kind: 'start_with_wrong_clock'; readonly daemon: number | 'holder'; readonly signal: 'SIGTERM' | 'SIGKILL'; readonly forMs: number; readonly errorMs: number; readonly lastsMs: number | undefined}
	/** Ends the daemon that calls the cloud, whichever it is, and restarts it. */
	| {readonly kind: 'end_holder'; readonly signal: 'SIGTERM' | 'SIGKILL'; readonly forMs: number}
	/** Puts a value that cannot be read in place of records of the lease. */
	| {readonly kind: 'spoil_lease'; readonly keys: readonly LeaseKey[]; readonly value: string}
	/** Lets engines send nothing for a while in the middle of streams of keeping callers, and go on. */
	| {readonly kind: 'pause_streams'; readonly engines: readonly number[]; readonly others: OtherEngines; readonly forMs: number}
	/** Writes a new configuration version that contains or lacks the second key. */
	| {readonly kind: 'configure'; readonly hasSecondKey: boolean};

export type PlannedFault = {
	/** Start of the fault in milliseconds after the beginning of the run. */
	readonly at: number;
	readonly fault: Fault;
};

export type FaultOptions = {
	readonly seed: number;
	readonly daemons: number;
	readonly backends: number;
	/** Length of the period in which faults start. */
	readonly forMs: number;
	readonly hasOnlyPlannedWork: boolean;
};

/** Seeded random choices from which faults are made. */
type RandomChoices = {
	readonly pickIndex: (length: number) => number;
	readonly pickElement: <Value>(values: readonly Value[]) => Value;
	readonly pickMs: (min: number, max: number) => number;
	readonly pickBoolean: () => boolean;
};

const linkFaults: readonly LinkFault[] = ['cut', 'silent', 'forgetful', 'reset', 'one_way', 'slow'];
const backendFaults: readonly BackendFault[] = ['close_after_read', 'refuse', 'break_stream', 'fail', 'mute', 'other_id'];

const plannedWork: ReadonlyArray<(choices: RandomChoices, options: FaultOptions) => Fault> = [
	({pickIndex, pickMs}, {daemons}) => ({kind: 'stop', daemon: pickIndex(daemons), forMs: pickMs(0, 1500)}),
	({pickIndex, pickBoolean}, {daemons}) => ({kind: 'reload', daemon: pickIndex(daemons), isTold: pickBoolean()}),
	({pickIndex, pickBoolean, pickMs}, {backends}) => ({
		kind: 'leave', backend: pickIndex(backends), isTold: pickBoolean(), forMs: pickMs(2500, 4000),
	}),
	({pickBoolean}) => ({kind: 'configure', hasSecondKey: pickBoolean()}),
];

const unplannedFaults: ReadonlyArray<(choices: RandomChoices, options: FaultOptions) => Fault> = [
	({pickIndex, pickMs}, {daemons}) => ({kind: 'pause', daemon: pickIndex(daemons), forMs: pickMs(300, 4500)}),
	({pickIndex, pickMs}, {daemons}) => ({kind: 'kill', daemon: pickIndex(daemons), forMs: pickMs(0, 2500)}),
	({pickIndex, pickMs}, {daemons}) => ({kind: 'spoil_settings', daemon: pickIndex(daemons), forMs: pickMs(500, 3000)}),
	({pickIndex, pickElement, pickMs}, {daemons}) => ({
		kind: 'step_clock', daemon: pickIndex(daemons), stepMs: pickElement([-3_600_000, -4000, -700, 700, 4000, 3_600_000]), forMs: pickMs(1000, 4000),
	}),
	({pickIndex, pickElement, pickBoolean, pickMs}, {daemons}) => ({
		kind: 'store', daemon: pickBoolean() ? undefined : pickIndex(daemons), how: pickElement(linkFaults), forMs: pickMs(300, 5000),
	}),
	({pickElement, pickMs}) => ({kind: 'cloud', how: pickElement(linkFaults), forMs: pickMs(300, 4000)}),
	({pickIndex, pickElement, pickMs}, {backends}) => ({
		kind: 'link', backend: pickIndex(backends), how: pickElement(linkFaults), forMs: pickMs(200, 4000),
	}),
	({pickIndex, pickElement, pickMs}, {backends}) => ({
		kind: 'misbehave', backend: pickIndex(backends), how: pickElement(backendFaults), forMs: pickMs(200, 3000),
	}),
];

/** Mean time between the starts of two faults, short enough for faults to overlap. */
const meanIntervalMs = 500;

/** Maximum number of faults of the same kind that start in quick succession. */
const maxSeriesLength = 3;

/** Shortest and longest notice, both longer than the drain time. The longest is longer than a call may last. */
const minNoticeMs = 3000;
const maxNoticeMs = 5500;

/** Added to the seed, so that notices have random numbers of their own and the plans of known seeds stay as they are. */
const noticeSeedOffset = 1_000_000;

const addNotices = (planned: readonly PlannedFault[], seed: number): PlannedFault[] => {
	const random = makeRandom(seed + noticeSeedOffset);
	return planned.map(({at, fault}) => {
		if (fault.kind !== 'leave' || !fault.isTold || random() < 0.3) {
			return {at, fault};
		}

		const notice = {leavesMs: Math.round(minNoticeMs + (random() * (maxNoticeMs - minNoticeMs))), hasRoom: random() < 0.5};
		return {at, fault: {...fault, notice}};
	});
};

/** Added to the seed, as for notices. */
const lostOrderSeedOffset = 12_000_000;

const lostOrders: readonly LostOrders[] = ['loses_answer', 'resets', 'says_nothing'];
const lostOrderShare = 0.4;

/** Lets the answers to orders of some engines that leave with notice be lost. */
const addLostOrders = (planned: readonly PlannedFault[], seed: number): PlannedFault[] => {
	const random = makeRandomBeside(seed, lostOrderSeedOffset);
	return planned.map(({at, fault}) => fault.kind === 'leave' && fault.notice !== undefined && random() < lostOrderShare
		? {at, fault: {...fault, notice: {...fault.notice, lostOrders: lostOrders[Math.floor(random() * lostOrders.length)]!}}}
		: {at, fault});
};

/** Added to the seed, as for notices. */
const limitSeedOffset = 2_000_000;

const statedLimits = [0, 0.2, 0.5, 1, 2, 4];
const maxLimits = 3;
const minLimitMs = 3000;
const maxLimitMs = 9000;

/** Plans the limits that backend servers state beside the faults. */
const planLimits = ({seed, backends, forMs}: FaultOptions): PlannedFault[] => {
	const random = makeRandom(seed + limitSeedOffset);
	return Array.from({length: Math.floor(random() * (maxLimits + 1))}, () => ({
		at: Math.round(random() * forMs),
		fault: {
			kind: 'limit',
			backend: Math.floor(random() * backends),
			perSecond: statedLimits[Math.floor(random() * statedLimits.length)]!,
			forMs: Math.round(minLimitMs + (random() * (maxLimitMs - minLimitMs))),
		},
	}));
};

/** Added to the seed, as for notices. */
const cutSeedOffset = 3_000_000;

const cutFailures: readonly LinkFailure[] = ['silent', 'reset', 'refused'];
const maxCuts = 2;
const minCutMs = 3500;
const maxCutMs = 9000;

/** Plans the cuts of some daemons, at times of all, from all backend servers beside the other faults. */
const planCuts = ({seed, daemons, forMs}: FaultOptions): PlannedFault[] => {
	const random = makeRandom(seed + cutSeedOffset);
	return Array.from({length: Math.floor(random() * (maxCuts + 1))}, () => {
		const count = 1 + Math.floor(random() * daemons);
		const first = Math.floor(random() * daemons);
		return {
			at: Math.round(random() * forMs),
			fault: {
				kind: 'cut_off',
				daemons: Array.from({length: count}, (_value, index) => (first + index) % daemons),
				how: cutFailures[Math.floor(random() * cutFailures.length)]!,
				forMs: Math.round(minCutMs + (random() * (maxCutMs - minCutMs))),
			},
		};
	});
};

/** Added to the seed, as for notices. */
const brittleSeedOffset = 4_000_000;

const brittleShare = 0.5;
const minBrittleMs = 2000;
const maxBrittleMs = 6000;

/** Plans that the backend servers of a service are brittle, in some of the runs. */
const planBrittleness = ({seed, forMs}: FaultOptions): PlannedFault[] => {
	const random = makeRandomBeside(seed, brittleSeedOffset);
	if (random() > brittleShare) {
		return [];
	}

	return [{
		at: Math.round(random() * forMs),
		fault: {
			kind: 'brittle', service: random() < 0.5 ? 'app' : 'llm', rejections: Math.floor(random() * 3), forMs: Math.round(minBrittleMs + (random() * (maxBrittleMs - minBrittleMs))),
		},
	}];
};

/** Added to the seed, as for notices. */
const datagramSeedOffset = 5_000_000;

const maxDatagramFaults = 2;
const minDatagramFaultMs = 1000;
const maxDatagramFaultMs = 7000;
const maxLossShare = 0.6;

/** Plans that datagrams between daemons are lost. */
const planDatagramFaults = ({seed, daemons, forMs}: FaultOptions): PlannedFault[] => {
	const random = makeRandom(seed + datagramSeedOffset);
	return Array.from({length: Math.floor(random() * (maxDatagramFaults + 1))}, () => {
		const count = 1 + Math.floor(random() * Math.max(1, daemons - 1));
		const first = Math.floor(random() * daemons);
		return {
			at: Math.round(random() * forMs),
			fault: {
				kind: 'lose_datagrams',
				daemons: Array.from({length: count}, (_value, index) => (first + index) % daemons),
				lossShare: random() * maxLossShare,
				isSplit: random() < 0.5,
				forMs: Math.round(minDatagramFaultMs + (random() * (maxDatagramFaultMs - minDatagramFaultMs))),
			},
		};
	});
};

/** Added to the seed, as for notices. */
const endlessSeedOffset = 6_000_000;

const endlessFaults: readonly EndlessFault[] = ['endless_body', 'endless_comments', 'endless_error', 'endless_refusal'];
const maxEndlessFaults = 2;
const minEndlessMs = 1000;
const maxEndlessMs = 6000;

/** Plans that backend servers answer with bytes that do not end. */
const planEndlessAnswers = ({seed, backends, forMs}: FaultOptions): PlannedFault[] => {
	const random = makeRandomBeside(seed, endlessSeedOffset);
	return Array.from({length: Math.floor(random() * (maxEndlessFaults + 1))}, () => ({
		at: Math.round(random() * forMs),
		fault: {
			kind: 'misbehave', backend: Math.floor(random() * backends), how: endlessFaults[Math.floor(random() * endlessFaults.length)]!, forMs: Math.round(minEndlessMs + (random() * (maxEndlessMs - minEndlessMs))),
		},
	}));
};

/** Added to the seed, as for notices. */
const killSeedOffset = 7_000_000;

const killSeriesShare = 0.5;
const maxKillSeries = 3;
const minKillIntervalMs = 1500;
const maxKillIntervalMs = 4000;

/** Plans that all daemons are killed at once, again and again, in some of the runs. */
const planKillSeries = ({seed, daemons, forMs}: FaultOptions): PlannedFault[] => {
	const random = makeRandomBeside(seed, killSeedOffset);
	if (random() > killSeriesShare) {
		return [];
	}

	const rounds = 2 + Math.floor(random() * (maxKillSeries - 1));
	const intervalMs = minKillIntervalMs + (random() * (maxKillIntervalMs - minKillIntervalMs));
	const firstAt = random() * forMs / 2;
	return Array.from({length: rounds * daemons}, (_value, index) => ({
		at: Math.round(firstAt + (Math.floor(index / daemons) * intervalMs)),
		fault: {kind: 'kill', daemon: index % daemons, forMs: Math.round(random() * 300)},
	}));
};

/** Added to the seed, as for notices. */
const startingStopSeedOffset = 8_000_000;

const maxStartingStops = 4;
const maxStopsInSeries = 3;
const maxStartingMs = 500;

/** Plans that daemons are stopped while they start, at times several in a row. */
const planStartingStops = ({seed, daemons, forMs}: FaultOptions): PlannedFault[] => {
	const random = makeRandomBeside(seed, startingStopSeedOffset);
	return Array.from({length: Math.floor(random() * (maxStartingStops + 1))}, () => ({
		at: Math.round(random() * forMs),
		fault: {
			kind: 'stop_starting',
			daemon: Math.floor(random() * daemons),
			afterMs: Array.from({length: 1 + Math.floor(random() * maxStopsInSeries)}, () => Math.round(random() * maxStartingMs)),
		},
	}));
};

/** Added to the seed, as for notices. */
const streamPauseSeedOffset = 9_000_000;

const streamPauseShare = 0.6;
const otherEngines: readonly OtherEngines[] = ['sound', 'full', 'full', 'silent', 'leaving', 'absent'];
const minStreamPausesMs = 4000;
const maxStreamPausesMs = 7500;
const engineCount = 3;
const maxStopDelayMs = 3000;

/** Plans spells in which engines pause in streams, one after the other, each with the stop of a daemon and other planned work, in some of the runs. */
const planStreamPauses = ({seed, daemons, forMs}: FaultOptions): PlannedFault[] => {
	const random = makeRandomBeside(seed, streamPauseSeedOffset);
	if (random() > streamPauseShare) {
		return [];
	}

	const planned: PlannedFault[] = [];
	for (let at = Math.round(random() * 2000); at < forMs;) {
		const pausesMs = Math.round(minStreamPausesMs + (random() * (maxStreamPausesMs - minStreamPausesMs)));
		const first = Math.floor(random() * engineCount);
		const count = 1 + Math.floor(random() * engineCount);
		planned.push({
			at,
			fault: {
				kind: 'pause_streams', engines: Array.from({length: count}, (_value, index) => (first + index) % engineCount), others: otherEngines[Math.floor(random() * otherEngines.length)]!, forMs: pausesMs,
			},
		});
		const daemon = Math.floor(random() * daemons);
		const stopAt = at + Math.round(random() * maxStopDelayMs);
		planned.push({
			at: stopAt, fault: {
				kind: 'stop', daemon, forMs: Math.round(random() * 1500), sparesLast: true,
			},
		});
		if (random() < 0.4) {
			planned.push({at: stopAt + Math.round(random() * 2000), fault: {kind: 'reload', daemon, isTold: true}});
		}

		if (random() < 0.3) {
			planned.push({at: stopAt + Math.round(random() * 2000), fault: {kind: 'configure', hasSecondKey: random() < 0.5}});
		}

		at += pausesMs + Math.round(random() * 1500);
	}

	return planned;
};

/** Whether engines pause in streams, for which there are callers then. */
export const hasStreamPauses = (planned: readonly PlannedFault[]): boolean => planned.some(({fault}) => fault.kind === 'pause_streams');

/** Draws the limit that a backend server states after the last fault, when no daemon is excused any more. */
export const planLimitAfterFaults = ({seed, backends}: Pick<FaultOptions, 'seed' | 'backends'>, forMs: number): Fault => {
	const random = makeRandom(seed + limitSeedOffset + 1);
	return {
		kind: 'limit', backend: Math.floor(random() * backends), perSecond: statedLimits[Math.floor(random() * statedLimits.length)]!, forMs,
	};
};

export const planFaults = (options: FaultOptions): PlannedFault[] => {
	const random = makeRandom(options.seed);
	const pickIndex = (length: number): number => Math.floor(random() * length);
	const choices: RandomChoices = {
		pickIndex,
		pickElement: values => values[pickIndex(values.length)]!,
		pickMs: (min, max) => Math.round(min + (random() * (max - min))),
		pickBoolean: () => random() < 0.5,
	};
	const faultMakers = options.hasOnlyPlannedWork ? plannedWork : [...plannedWork, ...unplannedFaults, ...unplannedFaults];
	const planned: PlannedFault[] = [];
	const count = Math.ceil(options.forMs / meanIntervalMs);
	while (planned.length < count) {
		const makeFault = choices.pickElement(faultMakers);
		const at = choices.pickMs(0, options.forMs);
		const seriesLength = random() < 0.3 ? 2 + pickIndex(maxSeriesLength - 1) : 1;
		for (let index = 0; index < seriesLength; index++) {
			planned.push({at: at + (index * choices.pickMs(50, 700)), fault: makeFault(choices, options)});
		}
	}

	const limits = options.hasOnlyPlannedWork ? [] : [...planLimits(options), ...planCuts(options), ...planBrittleness(options), ...planDatagramFaults(options), ...planEndlessAnswers(options), ...planKillSeries(options), ...planLeaseFaults(options)];
	const noticed = addNotices(planned.toSorted((left, right) => left.at - right.at), options.seed);
	return [...(options.hasOnlyPlannedWork ? noticed : addLostOrders(noticed, options.seed)), ...limits, ...planStartingStops(options), ...planStreamPauses(options)];
};
