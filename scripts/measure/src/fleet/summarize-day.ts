/** Cost and quality of service of a simulated day. */
import {type CloudInstance} from '@shallotpass/common/cloud-service.js';
import {makeOfferKey} from '@shallotpass/core/fleet/types.js';
import {round} from '../latencies.js';
import {isWithinTarget} from '../routing/summarize-run.js';
import {type ChatResult} from '../routing/simulated-daemon.js';
import {type DaySimulation, hourMs, listOffers} from './day-simulation.js';

export type DaySummary = {
	readonly policy: string;
	/** Credits spent for each thousand requests within their latency target. */
	readonly creditsPerThousand: number;
	readonly credits: number;
	readonly withinTarget: number;
	readonly classes: ReadonlyArray<{readonly class: string; readonly withinTarget: number}>;
	readonly asked: number;
	readonly refused: number;
	/** Requests without a response when the simulation ended. */
	readonly unanswered: number;
	readonly instances: number;
	/** Instances that were paid for but received no request. */
	readonly neverUsed: number;
	readonly startCalls: number;
};

/** Computes the credits spent on all instances until now. */
export const computeCredits = ({plan, cloud, clock}: DaySimulation): number => {
	const offers = listOffers(plan.deployment);
	let credits = 0;
	for (const instance of cloud.instances) {
		const price = offers.find(offer => makeOfferKey(offer) === makeOfferKey(instance as CloudInstance))!.creditsPerHour;
		credits += price * ((instance.endedAt ?? clock.now()) - instance.startedAt) / hourMs;
	}

	return credits;
};

export const summarizeDay = (day: DaySimulation, results: readonly ChatResult[], unanswered: number, credits: number): DaySummary => {
	const {plan, cloud, usedInstances} = day;
	const countWithinTarget = (list: readonly ChatResult[]): number => list.filter(result => isWithinTarget(result, plan.deployment.class.find(item => item.name === result.arrival.class)!)).length;
	const withinCount = countWithinTarget(results);
	return {
		policy: plan.policy,
		creditsPerThousand: round(credits / Math.max(1, withinCount) * 1000, 3),
		credits: round(credits, 2),
		withinTarget: round(withinCount / Math.max(1, results.length), 4),
		classes: plan.deployment.class.map(({name}) => {
			const classResults = results.filter(result => result.arrival.class === name);
			return {class: name, withinTarget: round(countWithinTarget(classResults) / Math.max(1, classResults.length), 4)};
		}),
		asked: results.length + unanswered,
		refused: results.filter(result => result.errorKind !== undefined).length,
		unanswered,
		instances: cloud.instances.length,
		neverUsed: cloud.instances.filter(instance => !usedInstances.has(instance.id)).length,
		startCalls: cloud.countStartCalls(),
	};
};
