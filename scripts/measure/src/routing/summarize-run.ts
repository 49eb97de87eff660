/** Summarizes a run: cost, latency targets, refusals and fairness. */
import {errorResponses} from '@shallotpass/common/error-kinds.js';
import {round} from '../latencies.js';
import {listEngines, type Deployment, type LatencyClass} from './deployment.js';
import {type ChatResult} from './simulated-daemon.js';
import {type RunPlan} from './run-deployment.js';

export type ClassSummary = {
	readonly class: string;
	readonly asked: number;
	readonly withinTarget: number;
	readonly refused: number;
};

export type RunSummary = {
	readonly creditsPerThousand: number;
	/** Share of all chat requests whose complete answer met its latency targets. */
	readonly withinTarget: number;
	readonly classes: readonly ClassSummary[];
	readonly recomputedShare: number;
	readonly refused: number;
	/** Number of requests that were refused as not executed although an engine received them. */
	readonly untrueRefusals: number;
	readonly unanswered: number;
	readonly attemptsPerRequest: number;
	/** Jain's fairness index of each account's served work relative to its max-min fair allocation. */
	readonly fairness: number;
	readonly plainP95Ms: number;
	readonly plainRefused: number;
};

type RunRecord = {
	readonly plan: RunPlan;
	readonly results: readonly ChatResult[];
	readonly plainMs: readonly number[];
	readonly plainRefused: number;
	readonly unanswered: number;
	readonly promptTokens: number;
	readonly recomputedTokens: number;
	readonly hasReceived: (requestId: string) => boolean;
};

const millisecondsPerHour = 3_600_000;

export const isWithinTarget = ({arrival, firstTokenAt, endedAt, tokens, errorKind}: ChatResult, target: LatencyClass): boolean => {
	if (errorKind !== undefined || firstTokenAt === undefined) {
		return false;
	}

	const betweenMs = tokens > 1 ? (endedAt - firstTokenAt) / (tokens - 1) : 0;
	return firstTokenAt - arrival.at <= (target.firstTokenMs ?? Number.POSITIVE_INFINITY)
		&& betweenMs <= (target.betweenTokensMs ?? Number.POSITIVE_INFINITY)
		&& endedAt - arrival.at <= target.wholeWithinMs;
};

type Demand = {readonly account: string; readonly share: number; readonly asked: number; readonly served: number};

/** Divides the total by weighted max-min fairness: no account gets more than it asked for, and the rest goes to the others by their shares. */
export const allocateMaxMinFair = (demands: ReadonlyArray<Pick<Demand, 'account' | 'share' | 'asked'>>, total: number): ReadonlyMap<string, number> => {
	const allocations = new Map<string, number>();
	let unsatisfied = [...demands];
	let remaining = total;
	while (unsatisfied.length > 0) {
		const shares = unsatisfied.reduce((sum, demand) => sum + demand.share, 0);
		const tokensPerShare = remaining / shares;
		const satisfied = unsatisfied.filter(demand => demand.asked <= tokensPerShare * demand.share);
		if (satisfied.length === 0) {
			for (const {account, share} of unsatisfied) {
				allocations.set(account, tokensPerShare * share);
			}

			return allocations;
		}

		for (const {account, asked} of satisfied) {
			allocations.set(account, asked);
			remaining -= asked;
		}

		unsatisfied = unsatisfied.filter(demand => !satisfied.includes(demand));
	}

	return allocations;
};

/** Computes Jain's fairness index (Jain, Chiu, Hawe 1984): 1 if all values are equal, 1/n if one account gets everything. */
export const computeJainIndex = (values: readonly number[]): number => {
	const sum = values.reduce((total, value) => total + value, 0);
	const squares = values.reduce((total, value) => total + (value ** 2), 0);
	return squares === 0 ? 1 : (sum ** 2) / (values.length * squares);
};

const getWork = ({arrival}: ChatResult): number => arrival.promptTokens + arrival.answerTokens;

const computeFairness = (deployment: Deployment, results: readonly ChatResult[]): number => {
	const demands = deployment.account.map(({name, share}): Demand => {
		const accountResults = results.filter(result => result.arrival.account === name);
		return {
			account: name,
			share,
			asked: accountResults.reduce((sum, result) => sum + getWork(result), 0),
			served: accountResults.filter(result => result.errorKind === undefined).reduce((sum, result) => sum + getWork(result), 0),
		};
	});
	const fair = allocateMaxMinFair(demands, demands.reduce((sum, demand) => sum + demand.served, 0));
	return computeJainIndex(demands.map(({account, served}) => served / Math.max(1, fair.get(account)!)));
};

const isReportedNotExecuted = ({errorKind}: ChatResult): boolean => errorKind !== undefined && errorResponses[errorKind].executed === 'no';

const getP95 = (values: readonly number[]): number => values.toSorted((left, right) => left - right)[Math.floor(values.length * 0.95)] ?? 0;

const countCredits = ({deployment, warmUpMs, untilMs, isReclaimed}: RunPlan, unpaidMs: number): number => {
	const engines = listEngines(deployment);
	const zone = deployment.engine.at(-1)!.availabilityZone;
	const hours = (untilMs - warmUpMs) / millisecondsPerHour;
	let credits = 0;
	for (const engine of engines) {
		const unpaidHours = isReclaimed && engine.availabilityZone === zone ? unpaidMs / millisecondsPerHour : 0;
		credits += engine.machine.price * (hours - unpaidHours);
	}

	return credits;
};

/** Time from the termination of reclaimed engines to their replacement, for which nothing is paid: `streamMoveMarginMs` + `replacementDelayMs` of run-deployment.ts. */
const replacementGapMs = 41_500;

export const summarizeRun = ({plan, results, plainMs, plainRefused, unanswered, promptTokens, recomputedTokens, hasReceived: hasSeen}: RunRecord): RunSummary => {
	const {deployment, warmUpMs} = plan;
	const measured = results.filter(result => result.arrival.at >= warmUpMs);
	const classes = deployment.class.map((target): ClassSummary => {
		const classResults = measured.filter(result => result.arrival.class === target.name);
		return {
			class: target.name,
			asked: classResults.length,
			withinTarget: round(classResults.filter(result => isWithinTarget(result, target)).length / Math.max(1, classResults.length), 4),
			refused: classResults.filter(result => result.errorKind !== undefined).length,
		};
	});
	const withinTargetCount = measured.filter(result => isWithinTarget(result, deployment.class.find(item => item.name === result.arrival.class)!)).length;
	const refused = measured.filter(result => result.errorKind !== undefined);
	return {
		creditsPerThousand: round(countCredits(plan, replacementGapMs) / Math.max(1, withinTargetCount) * 1000, 4),
		withinTarget: round(withinTargetCount / Math.max(1, measured.length), 4),
		classes,
		recomputedShare: round(recomputedTokens / Math.max(1, promptTokens), 4),
		refused: refused.length,
		untrueRefusals: refused.filter(result => isReportedNotExecuted(result) && hasSeen(result.arrival.id)).length,
		unanswered,
		attemptsPerRequest: round(measured.reduce((sum, result) => sum + result.attempts, 0) / Math.max(1, measured.length - refused.filter(result => result.attempts === 0).length), 4),
		fairness: round(computeFairness(deployment, measured), 4),
		plainP95Ms: round(getP95(plainMs), 2),
		plainRefused,
	};
};
