/** What a run came to, in the users' measures. */
import {errorAnswers} from '@shallotpass/common/error-kinds.js';
import {round} from '../latencies.js';
import {listEngines, type Deployment, type ClassTarget} from './deployment.js';
import {type ChatResult} from './entry-daemon.js';
import {type RunPlan} from './run-deployment.js';

export type ClassSummary = {
	readonly class: string;
	readonly asked: number;
	readonly withinTarget: number;
	readonly refused: number;
};

export type RunSummary = {
	readonly creditsPerThousand: number;
	/** Part of all chat requests whose whole answer kept its targets. */
	readonly withinTarget: number;
	readonly classes: readonly ClassSummary[];
	readonly recomputedShare: number;
	readonly refused: number;
	/** Refused as not run, and yet seen by an engine. */
	readonly untrueRefusals: number;
	readonly unanswered: number;
	readonly attemptsPerRequest: number;
	/** Jain's index of the work that accounts got over the work a max-min fair division gives them. */
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
	readonly hasSeen: (requestId: string) => boolean;
};

const millisecondsPerHour = 3_600_000;

export const isWithin = ({arrival, firstTokenAt, endedAt, tokens, refusedAs}: ChatResult, target: ClassTarget): boolean => {
	if (refusedAs !== undefined || firstTokenAt === undefined) {
		return false;
	}

	const betweenMs = tokens > 1 ? (endedAt - firstTokenAt) / (tokens - 1) : 0;
	return firstTokenAt - arrival.at <= (target.firstTokenMs ?? Number.POSITIVE_INFINITY)
		&& betweenMs <= (target.betweenTokensMs ?? Number.POSITIVE_INFINITY)
		&& endedAt - arrival.at <= target.wholeWithinMs;
};

type Demand = {readonly account: string; readonly share: number; readonly asked: number; readonly got: number};

/** Divides the total by shares so that nobody gets more than it asked for and what is left goes to the others. */
export const divideFairly = (demands: ReadonlyArray<Pick<Demand, 'account' | 'share' | 'asked'>>, total: number): ReadonlyMap<string, number> => {
	const parts = new Map<string, number>();
	let open = [...demands];
	let left = total;
	while (open.length > 0) {
		const shares = open.reduce((sum, demand) => sum + demand.share, 0);
		const level = left / shares;
		const content = open.filter(demand => demand.asked <= level * demand.share);
		if (content.length === 0) {
			for (const {account, share} of open) {
				parts.set(account, level * share);
			}

			return parts;
		}

		for (const {account, asked} of content) {
			parts.set(account, asked);
			left -= asked;
		}

		open = open.filter(demand => !content.includes(demand));
	}

	return parts;
};

/** Jain, Chiu, Hawe 1984: 1 when all are treated alike, 1/n when one gets everything. */
export const computeJain = (values: readonly number[]): number => {
	const sum = values.reduce((total, value) => total + value, 0);
	const squares = values.reduce((total, value) => total + (value ** 2), 0);
	return squares === 0 ? 1 : (sum ** 2) / (values.length * squares);
};

const getWork = ({arrival}: ChatResult): number => arrival.promptTokens + arrival.answerTokens;

const computeFairness = (deployment: Deployment, results: readonly ChatResult[]): number => {
	const demands = deployment.account.map(({name, share}): Demand => {
		const own = results.filter(result => result.arrival.account === name);
		return {
			account: name,
			share,
			asked: own.reduce((sum, result) => sum + getWork(result), 0),
			got: own.filter(result => result.refusedAs === undefined).reduce((sum, result) => sum + getWork(result), 0),
		};
	});
	const fair = divideFairly(demands, demands.reduce((sum, demand) => sum + demand.got, 0));
	return computeJain(demands.map(({account, got}) => got / Math.max(1, fair.get(account)!)));
};

const isToldNotRun = ({refusedAs}: ChatResult): boolean => refusedAs !== undefined && errorAnswers[refusedAs].executed === 'no';

const getP95 = (values: readonly number[]): number => values.toSorted((left, right) => left - right)[Math.floor(values.length * 0.95)] ?? 0;

const countCredits = ({deployment, warmUpMs, untilMs, isReclaimed}: RunPlan, replacedAfterMs: number): number => {
	const engines = listEngines(deployment);
	const zone = deployment.engine.at(-1)!.availabilityZone;
	const hours = (untilMs - warmUpMs) / millisecondsPerHour;
	let credits = 0;
	for (const engine of engines) {
		const missing = isReclaimed && engine.availabilityZone === zone ? replacedAfterMs / millisecondsPerHour : 0;
		credits += engine.machine.price * (hours - missing);
	}

	return credits;
};

/** Reclaimed engines are not paid for while they are away. */
const awayMs = 41_500;

export const summarizeRun = ({plan, results, plainMs, plainRefused, unanswered, promptTokens, recomputedTokens, hasSeen}: RunRecord): RunSummary => {
	const {deployment, warmUpMs} = plan;
	const counted = results.filter(result => result.arrival.at >= warmUpMs);
	const classes = deployment.class.map((target): ClassSummary => {
		const own = counted.filter(result => result.arrival.class === target.name);
		return {
			class: target.name,
			asked: own.length,
			withinTarget: round(own.filter(result => isWithin(result, target)).length / Math.max(1, own.length), 4),
			refused: own.filter(result => result.refusedAs !== undefined).length,
		};
	});
	const within = counted.filter(result => isWithin(result, deployment.class.find(item => item.name === result.arrival.class)!)).length;
	const refused = counted.filter(result => result.refusedAs !== undefined);
	return {
		creditsPerThousand: round(countCredits(plan, awayMs) / Math.max(1, within) * 1000, 4),
		withinTarget: round(within / Math.max(1, counted.length), 4),
		classes,
		recomputedShare: round(recomputedTokens / Math.max(1, promptTokens), 4),
		refused: refused.length,
		untrueRefusals: refused.filter(result => isToldNotRun(result) && hasSeen(result.arrival.id)).length,
		unanswered,
		attemptsPerRequest: round(counted.reduce((sum, result) => sum + result.attempts, 0) / Math.max(1, counted.length - refused.filter(result => result.attempts === 0).length), 4),
		fairness: round(computeFairness(deployment, counted), 4),
		plainP95Ms: round(getP95(plainMs), 2),
		plainRefused,
	};
};
