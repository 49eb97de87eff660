/** Counts the calls and results of the old and the new version of a service. All counts add up over daemons, so that relays can sum them. */
import {getOwn, mergeRecords} from '@shallotpass/common/records.js';
import {hashText} from '../routing/rank-by-rendezvous.js';
import {addDuration} from './duration-sums.js';
import {type RolloutResults, type RouteResults, type VersionResults} from './types.js';

/**
 * What the end of a response says of its version. `answer`: complete. `failure`: a status of 500 or more, a broken or never-ending
 * response, or none from a backend server that is reached. `unknown`: lost network paths, full and leaving backend servers, and callers that disconnected.
 */
export type ResultOutcome = 'answer' | 'failure' | 'unknown';

export type RolloutResult = {
	readonly route: string;
	readonly isNew: boolean;
	readonly outcome: ResultOutcome;
	/** Prompt tokens that were not cached, 0 for plain calls. */
	readonly promptTokens: number;
	/** Time to the first event of a stream, or to the end of a plain response, in milliseconds. Undefined if there was none. */
	readonly tookMs: number | undefined;
	/** Where and when the call failed, so that calls that break together with their backend server don't all count. Each failure without it counts. */
	readonly failureSource?: FailureSource;
};

export type FailureSource = {
	readonly backendId: string;
	/** In true time in milliseconds. */
	readonly at: number;
};

const emptyVersionResults: VersionResults = {
	sent: 0, answers: 0, failures: 0, durations: [],
};

export const emptyRouteResults: RouteResults = {old: emptyVersionResults, new: emptyVersionResults};

export const emptyResults = (offset: number): RolloutResults => ({offset, routes: {}});

export const getRouteResults = ({routes}: RolloutResults, route: string): RouteResults => getOwn(routes, route) ?? emptyRouteResults;

const withVersion = (results: RolloutResults, route: string, isNew: boolean, change: (version: VersionResults) => VersionResults): RolloutResults => {
	const known = getRouteResults(results, route);
	return {...results, routes: {...results.routes, [route]: isNew ? {...known, new: change(known.new)} : {...known, old: change(known.old)}}};
};

/** Records a call that is sent and so may reach a backend server. */
export const recordSend = (results: RolloutResults, {route, isNew}: Pick<RolloutResult, 'route' | 'isNew'>): RolloutResults =>
	withVersion(results, route, isNew, version => ({...version, sent: version.sent + 1}));

/** Number of hash values that stand for backend ids in the names of cells, as they are shorter than ids. */
const serverHashCount = 256;

/** Names the second and the backend server of a failure. The seconds are counted modulo 1000, as a rollout takes minutes. */
const toCell = ({backendId, at}: FailureSource): string => `${Math.floor(at / 1000) % 1000}.${hashText(backendId) % serverHashCount}`;

const recordFailure = (version: VersionResults, source: FailureSource | undefined): VersionResults => {
	const failed = {...version, answers: version.answers + 1, failures: version.failures + 1};
	if (source === undefined) {
		return failed;
	}

	const cell = toCell(source);
	return {...failed, failureCells: {...version.failureCells, [cell]: (version.failureCells?.[cell] ?? 0) + 1}};
};

/** Records the end of a response. */
export const recordResult = (results: RolloutResults, {route, isNew, outcome, promptTokens, tookMs, failureSource}: RolloutResult): RolloutResults => {
	if (outcome === 'unknown') {
		return results;
	}

	const old = getRouteResults(results, route).old.durations;
	return withVersion(results, route, isNew, version => outcome === 'failure'
		? recordFailure(version, isNew ? failureSource : undefined)
		: {
			...version,
			answers: version.answers + 1,
			durations: tookMs === undefined ? version.durations : addDuration(version.durations, old, {promptTokens, tookMs}),
		});
};

/** Adds cells to others, or subtracts them. Empty ones are left out. */
export const addCells = (left: VersionResults['failureCells'], right: VersionResults['failureCells'], sign: 1 | -1): Pick<VersionResults, 'failureCells'> => {
	const sum = mergeRecords(left ?? {}, right ?? {}, (count, known = 0) => known + (sign * count));
	const cells = Object.entries(sum).filter(([, count]) => count > 0);
	return cells.length === 0 ? {} : {failureCells: Object.fromEntries(cells)};
};

const addVersions = (left: VersionResults, right: VersionResults, sign: 1 | -1): VersionResults => ({
	sent: Math.max(0, left.sent + (sign * right.sent)),
	answers: Math.max(0, left.answers + (sign * right.answers)),
	failures: Math.max(0, left.failures + (sign * right.failures)),
	durations: Array.from(
		{length: Math.max(left.durations.length, right.durations.length)},
		(_value, index) => Math.max(0, (left.durations[index] ?? 0) + (sign * (right.durations[index] ?? 0))),
	),
	...addCells(left.failureCells, right.failureCells, sign),
});

const addRoutes = (left: RolloutResults, right: RolloutResults, sign: 1 | -1): RolloutResults => ({
	...left,
	routes: mergeRecords(left.routes, right.routes, (versions, known = emptyRouteResults) => ({
		old: addVersions(known.old, versions.old, sign), new: addVersions(known.new, versions.new, sign),
	})),
});

/** Adds the results of two daemons. Those of an older request are dropped. */
export const mergeResults = (left: RolloutResults, right: RolloutResults): RolloutResults => {
	if (left.offset !== right.offset) {
		return left.offset > right.offset ? left : right;
	}

	return addRoutes(left, right, 1);
};

/** Counts the calls that were sent to either version, each time that they were sent. */
export const countSent = ({routes}: RolloutResults): number => Object.values(routes).reduce((sum, versions) => sum + versions.old.sent + versions.new.sent, 0);

/** Counts the calls that were sent to the new version. */
export const countExposure = ({routes}: RolloutResults): number => Object.values(routes).reduce((sum, {new: {sent}}) => sum + sent, 0);

/** Subtracts a daemon's own results, or those of an earlier moment, from a sum that contains them. */
export const subtractResults = (sum: RolloutResults, own: RolloutResults): RolloutResults => sum.offset === own.offset ? addRoutes(sum, own, -1) : sum;

type ResultsByService = Readonly<Record<string, RolloutResults>>;

/** Adds the results of two daemons, by service. */
export const mergeResultsByService = (left: ResultsByService, right: ResultsByService): Record<string, RolloutResults> =>
	mergeRecords(left, right, (results, known) => known === undefined ? results : mergeResults(known, results));

/** Subtracts a daemon's own results from a sum, by service. */
export const subtractResultsByService = (sum: ResultsByService, own: ResultsByService): Record<string, RolloutResults> =>
	Object.fromEntries(Object.entries(sum).map(([service, results]) => {
		const ownResults = getOwn(own, service);
		return [service, ownResults === undefined ? results : subtractResults(results, ownResults)];
	}));
