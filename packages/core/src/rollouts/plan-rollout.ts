/** Plans a rollout: how much of the traffic the new version gets, and when it is completed or rolled back. */
import {
	type Evidence, isBad, isBadAtStageEnd, isSuspect, judgeVersion,
} from './judge-version.js';
import {isEnded} from './is-ended.js';
import {countTrialServers} from './pick-version.js';
import {countExposure} from './record-result.js';
import {emptyHistory, type ResultsHistory} from './results-history.js';
import {type Rollout, type RolloutBounds, type RolloutResults} from './types.js';

/** What the lease holder knows of a service from all daemons. */
export type RolloutObservation = {
	/** Results since the order, summed over the daemons. */
	readonly results: RolloutResults;
	/** Earlier sums of the results, which show what became bad late. See `results-history.ts`. */
	readonly history?: ResultsHistory;
	/** Requests of the service since the order, summed over the daemons. */
	readonly serviceCalls: number;
	/** Ready backend servers of the new version, and of the old ones. */
	readonly readyNew: number;
	readonly readyOld: number;
	/** Calls that still run at the old version. */
	readonly runningOld: number;
	/** Whether the state can be written to the store. Otherwise exposure doesn't increase. */
	readonly canWrite: boolean;
	/** Longest time that calls of the service may take, in milliseconds. A shift begins so long before the deadline. */
	readonly longestCallMs?: number;
};

/** Time that the write of the last stage may take before the deadline, in milliseconds. */
const writeMarginMs = 1500;

/** Assumed where the longest time of calls is not known. */
const defaultLongestCallMs = 15_000;

/**
 * Time from the first calls of a shift until a fault ends it: answers, two rounds of gossip through relays, and 1 s in which failures
 * of 0.05 are found at 330 calls per second. With 1.5 s, such versions got more calls than the exposure allows.
 */
const reactionMs = 2500;

/** Smallest share with which a shift may begin. It begins with a part of the calls if the exposure left does not cover all of them. */
const minShiftShare = 0.25;

/** Time after which a shift that began with a part of the calls gets all of them. */
const partialShiftMs = 3000;

/** Least time of a shift, in which a fault that only the whole load brings about is found. */
const minShiftMs = 4000;

/** Part of the mean call rate so far that is expected until the deadline. Exposure is a share of the requests that really arrive. */
const expectedRatePart = 0.5;

type StageChange = Pick<Rollout, 'stage' | 'share'> & {readonly reason?: string};

const withStage = (rollout: Rollout, change: StageChange, now: number): Rollout => {
	if (rollout.stage === change.stage && rollout.share === change.share) {
		return rollout;
	}

	return {
		...rollout, ...change, revision: rollout.revision + 1, stageAt: rollout.stage === change.stage ? rollout.stageAt : now,
	};
};

/** Mean requests of the service in a millisecond since the order. */
const computeRequestRate = ({orderedAt}: Rollout, {serviceCalls}: RolloutObservation, now: number): number => serviceCalls / Math.max(1, now - orderedAt);

/** Exposure that is left, in requests. */
const computeExposureLeft = (rollout: Rollout, observation: RolloutObservation, bounds: RolloutBounds, now: number): number => {
	const perMs = computeRequestRate(rollout, observation, now);
	const requests = observation.serviceCalls + (expectedRatePart * perMs * Math.max(0, rollout.deadline - now));
	return (bounds.exposureShare * requests) + bounds.exposureSlack - countExposure(observation.results);
};

/** Largest share with which a shift may begin, so that a fault is found and stopped before the exposure is used up. */
const computeShiftShare = (rollout: Rollout, observation: RolloutObservation, bounds: RolloutBounds, now: number): number => {
	const perMs = computeRequestRate(rollout, observation, now);
	return Math.min(1, computeExposureLeft(rollout, observation, bounds, now) / Math.max(1, perMs * reactionMs));
};

/** Share of a trial, at most half of the bound, with which each new server in use gets as many calls as an old one. */
const computeTrialShare = ({readyNew, readyOld}: RolloutObservation, bounds: RolloutBounds): number => {
	const largest = bounds.exposureShare / 2;
	const servers = Math.min(readyNew, Math.floor(readyOld * largest / (1 - largest)));
	if (readyNew === 0) {
		return 0;
	}

	return servers === 0 ? largest : servers / (servers + readyOld);
};

/** Returns why the rollout must be rolled back at its deadline, undefined if it may be completed. */
const findDeadlineFailure = ({stage}: Rollout, {results, readyNew}: RolloutObservation): string | undefined => {
	if (readyNew === 0) {
		return 'no_backend_ready';
	}

	if (!hasAnswered(results)) {
		return 'no_answer';
	}

	return stage === 'trial' ? 'not_shifted' : undefined;
};

const hasAnswered = ({routes}: RolloutResults): boolean => Object.values(routes).some(({new: {answers, failures}}) => answers > failures);

/** Time before the deadline at which the shift begins, so that the calls at the old version end in time. */
const computeShiftMs = ({orderedAt, deadline}: Rollout, {longestCallMs = defaultLongestCallMs}: RolloutObservation): number =>
	Math.min(longestCallMs + (2 * writeMarginMs), (deadline - orderedAt) / 2);

type Planning = {
	readonly observation: RolloutObservation;
	readonly bounds: RolloutBounds;
	readonly evidence: Evidence;
	readonly now: number;
};

const planTrial = (rollout: Rollout, {observation, bounds, evidence, now}: Planning): Rollout => {
	const {results, readyNew, readyOld} = observation;
	const shiftMs = computeShiftMs(rollout, observation);
	// The shift of a suspect version is put off by half of the shift's time, as calls seldom take as long as they may.
	const isLastMoment = now >= rollout.deadline - (shiftMs / 2);
	if (isLastMoment && isBadAtStageEnd(evidence)) {
		return withStage(rollout, {stage: 'rolled_back', share: 0, reason: evidence.reason}, now);
	}

	const isDue = now >= rollout.deadline - shiftMs && (isLastMoment || !isSuspect(evidence));
	if (isDue && readyNew > 0 && hasAnswered(results)) {
		const share = computeShiftShare(rollout, observation, bounds, now);
		if (share >= minShiftShare) {
			return withStage(rollout, {stage: 'shift', share}, now);
		}
	}

	// If the request names the only version that there is, there is nothing to compare it with.
	const wasOldUsed = Object.values(results.routes).some(({old: {sent}}) => sent > 0);
	if (readyOld === 0 && readyNew > 0 && !wasOldUsed && now >= rollout.orderedAt + reactionMs) {
		return withStage(rollout, {stage: 'shift', share: 1}, now);
	}

	// A trial that has used up its exposure goes on without calls. One without old servers keeps its share.
	const isExposureSpent = computeExposureLeft(rollout, observation, bounds, now) <= 0;
	const share = readyOld === 0 ? rollout.share : computeTrialShare(observation, bounds);
	return withStage(rollout, {stage: 'trial', share: isExposureSpent ? 0 : share}, now);
};

const planShift = (rollout: Rollout, {observation: {runningOld, readyNew}, evidence, now}: Planning): Rollout => {
	// A suspect version is watched until the deadline. With few calls, failures of 0.05 take longer than the calls at the old version.
	const isFinished = runningOld === 0 && rollout.share === 1 && readyNew > 0 && !isSuspect(evidence) && now >= rollout.stageAt + minShiftMs;
	const isLastMoment = now >= rollout.deadline - writeMarginMs;
	if (isLastMoment && isBadAtStageEnd(evidence)) {
		return withStage(rollout, {stage: 'rolled_back', share: 0, reason: evidence.reason}, now);
	}

	if (isFinished || isLastMoment) {
		return withStage(rollout, {stage: 'completed', share: 1}, now);
	}

	return rollout.share < 1 && now >= rollout.stageAt + partialShiftMs ? withStage(rollout, {stage: 'shift', share: 1}, now) : rollout;
};

/** Counts the new servers that get calls at a time. */
const countServersInUse = ({stage, share}: Rollout, {readyNew, readyOld}: RolloutObservation): number =>
	stage === 'trial' ? countTrialServers(share, readyOld) : Math.max(1, readyNew);

/**
 * Plans the next state of a rollout. `now` is in true time. Without the store it only decreases the exposure. A state that
 * increases the exposure is in effect once it is written.
 */
export const planRollout = (rollout: Rollout, observation: RolloutObservation, bounds: RolloutBounds, now: number): Rollout => {
	const {canWrite, results, history = emptyHistory} = observation;
	// A shift goes on without the store, as calls that return to the old version would be cut at the deadline.
	const confirmed = canWrite || rollout.stage === 'shift' ? {...rollout, confirmedAt: now} : rollout;
	if (isEnded(rollout)) {
		return confirmed;
	}

	const evidence = judgeVersion({results, history, serversInUse: countServersInUse(rollout, observation)}, now);
	if (isBad(evidence)) {
		return withStage(confirmed, {stage: 'rolled_back', share: 0, reason: evidence.reason}, now);
	}

	const deadlineFailure = now >= rollout.deadline - writeMarginMs ? findDeadlineFailure(rollout, observation) : undefined;
	if (deadlineFailure !== undefined) {
		return withStage(confirmed, {stage: 'rolled_back', share: 0, reason: deadlineFailure}, now);
	}

	if (!canWrite) {
		return confirmed;
	}

	const planning: Planning = {
		observation, bounds, evidence, now,
	};
	return rollout.stage === 'shift' ? planShift(confirmed, planning) : planTrial(confirmed, planning);
};
