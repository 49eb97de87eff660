/** Checks that callers of daemons that reached no backend server were served about as often as those of the others. */
import {type CompletedCall, type Cut, type History} from './history.js';

/** Time after the beginning of a cut from which its daemons' callers must be served. Equal to `stableMs` of the daemons' settings. */
const stableMs = 3000;

/** Share of the others' rate below which callers were served too seldom, and the failures that are allowed all the same, as the users' rules state them. */
const minRateShare = 2 / 3;
const allowedFailures = 10;
const allowedFailureShare = 1 / 50;

const isServed = ({end}: CompletedCall): boolean => end?.kind === 'answered' && end.status === 200 && end.isWhole;

type IsDisturbed = (daemon: string, at: number) => boolean;

/** Whether some undisturbed daemon has had no cut for the whole time before. Calls cannot be served through others while there is none. */
const hasDaemonWithPaths = ({calls, cuts}: History, at: number, isDisturbed: IsDisturbed): boolean => {
	const daemons = new Set(calls.map(({daemon}) => daemon));
	const cutLately = new Set(cuts.filter(({from, until}) => from <= at && until > at - stableMs).flatMap(cut => cut.daemons));
	return [...daemons].some(daemon => !cutLately.has(daemon) && !isDisturbed(daemon, at));
};

const findCutViolation = (history: History, cut: Cut, isDisturbed: IsDisturbed): string | undefined => {
	const inTime = history.calls.filter(({sentAt, daemon}) =>
		sentAt >= cut.from + stableMs && sentAt < cut.until && !isDisturbed(daemon, sentAt) && hasDaemonWithPaths(history, sentAt, isDisturbed));
	const cutCalls = inTime.filter(({daemon}) => cut.daemons.includes(daemon));
	const otherCalls = inTime.filter(({daemon, sentAt}) => !history.cuts.some(({daemons, from, until}) => daemons.includes(daemon) && sentAt >= from && sentAt < until));
	const served = cutCalls.filter(call => isServed(call)).length;
	const servedByOthers = otherCalls.filter(call => isServed(call)).length;
	const failed = cutCalls.length - served;
	const isTooSeldom = served * otherCalls.length < servedByOthers * cutCalls.length * minRateShare;
	return isTooSeldom && failed > allowedFailures + (cutCalls.length * allowedFailureShare)
		? `${cut.daemons.join(', ')} reached no backend server: ${served} of ${cutCalls.length} calls served there, ${servedByOthers} of ${otherCalls.length} at the others`
		: undefined;
};

export const findCutViolations = (history: History, isDisturbed: IsDisturbed): string[] => history.cuts
	.map(cut => findCutViolation(history, cut, isDisturbed))
	.filter(violation => violation !== undefined);
