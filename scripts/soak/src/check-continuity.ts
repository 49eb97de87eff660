/** Checks that streams go on at the software version that began them, and that they do go on when their callers take them up. */
import {
	computeBegunShare, listBrokenOrders, listFalseEnds, listMixedStreams, summarizeTakeUps, type TakenUpStream,
} from '@shallotpass/platform/stand-ins/stream-callers.js';
import {eventsPerStream} from './format-events.js';
import {type History, type Span} from './history.js';

/** As in the rule: fewer streams that are taken up say nothing. */
const minTakenUp = 12;

/** Smallest share of streams that go on, of the share of new ones that begin: by the rule with unplanned faults, and by the own aim without. */
const minShareAfterFaults = 0.5;
const minShareWithPlannedWork = 0.95;

/** Streams of the end of the recovery are counted with those of the fault-free period. */
const countedBeforeCalmMs = 3000;

/** A daemon that was not disturbed for this long is ready and in rotation. Equal to `stableMs` of the daemons' settings. */
const stableMs = 3000;

/** Whether some daemon must have been in rotation while the caller of the stream found none. */
const isDaemonOwed = ({calls, disturbances}: History, {from, until}: Span): boolean => [...new Set(calls.map(({daemon}) => daemon))].some(daemon => {
	const own = disturbances.filter(span => span.daemon === undefined || span.daemon === daemon);
	return [from, ...own.map(span => span.until + stableMs)].some(at =>
		at >= from && at <= until && own.every(span => span.until + stableMs <= at || span.from > at));
});

const describe = ({id, versions, attempts, eventIds}: TakenUpStream): string => `${id} (versions ${versions.join(' ')}; attempts ${attempts.join(' ')}; events ${eventIds.join(' ')})`;

/** Only versions that two engines have are owed. */
const findLosses = (history: History, streams: readonly TakenUpStream[]): string[] => {
	const judged = streams.filter(({foundNone}) => foundNone === undefined || isDaemonOwed(history, foundNone));
	const minShare = history.hasOnlyPlannedWork ? minShareWithPlannedWork : minShareAfterFaults;
	return [...summarizeTakeUps(judged)]
		.filter(([version, {takenUp}]) => takenUp >= minTakenUp && history.lastingVersions.includes(version))
		.filter(([, {goesOn}]) => goesOn < minShare * computeBegunShare(judged))
		.map(([version, {takenUp, goesOn}]) => `only ${goesOn.toFixed(2)} of ${takenUp} streams of the version ${version} went on when their callers took them up`);
};

export const findContinuityViolations = (history: History): string[] => {
	const {streams, calmFrom, hasOnlyPlannedWork} = history;
	const counted = hasOnlyPlannedWork ? streams : streams.filter(({startedAt}) => startedAt >= calmFrom - countedBeforeCalmMs);
	return [
		...listMixedStreams(streams).map(stream => `a stream holds events of several software versions: ${describe(stream)}`),
		...listBrokenOrders(streams).map(stream => `a stream has gaps or repeats: ${describe(stream)}`),
		...listFalseEnds(streams, eventsPerStream).map(stream => `a stream looked whole before its end: ${describe(stream)}`),
		...findLosses(history, counted),
	];
};
