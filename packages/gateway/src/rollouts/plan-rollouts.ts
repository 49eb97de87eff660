/** Plans the rollouts of all services at the lease holder. */
import {type Lease} from '@shallotpass/core/lease/lease.js';
import {planRollout, type RolloutObservation} from '@shallotpass/core/rollouts/plan-rollout.js';
import {emptyHistory, recordHistory, type ResultsHistory} from '@shallotpass/core/rollouts/results-history.js';
import {type Rollout, type RolloutBounds} from '@shallotpass/core/rollouts/types.js';
import {countSent} from '@shallotpass/core/rollouts/record-result.js';
import {isEnded} from '@shallotpass/core/rollouts/is-ended.js';
import {isLimitedToOwnZone} from '../calls/backend-view.js';
import {type GatewayState, peerExpiryMs} from '../gateway-state.js';
import {sumResults} from './report-rollouts.js';
import {getRolloutBounds, setRollout} from './rollout-state.js';

/** Time after the first read of the directory in which the reports of all daemons arrive. Before, this daemon plans nothing. */
const settleMs = 1500;

/** Whether calls may run that no recent report contains. */
const mayMissCalls = (gateway: GatewayState): boolean => {
	const since = gateway.clocks.steady() - peerExpiryMs;
	const hasSilentDaemon = [...gateway.peers.values()].some(({receivedAt, silentDaemons}) => receivedAt < since || silentDaemons > 0);
	// Daemons that send only to backend servers of their own zone get only the loads of that zone in reports.
	return hasSilentDaemon || isLimitedToOwnZone(gateway.registry, gateway.settings.instance.availabilityZone);
};

/** Counts the calls that run at other versions, at least one if some may run that no daemon reports. */
export const countRunningOld = (gateway: GatewayState, {service, toVersion}: Rollout): number => {
	const old = [...gateway.registry.byId.values()].filter(({entry}) => entry.service === service && entry.softwareVersion !== toVersion);
	const running = old.reduce((sum, state) => sum + state.running + state.othersRunning, 0);
	return old.length > 0 && mayMissCalls(gateway) ? Math.max(1, running) : running;
};

/** Returns the longest time limit of the routes that lead to the service. */
const findLongestCallMs = ({configuration}: GatewayState, service: string): number | undefined => {
	const limits = (configuration?.configuration.routes ?? []).filter(({services}) => services.some(target => target.service === service)).map(({limitMs}) => limitMs);
	return limits.length === 0 ? undefined : Math.max(...limits);
};

const makeObservation = (gateway: GatewayState, rollout: Rollout): Omit<RolloutObservation, 'history'> => {
	const {service, toVersion, withheldVersions} = rollout;
	const ready = (gateway.registry.byService.get(service) ?? []).map(({entry}) => entry.softwareVersion ?? '');
	const results = sumResults(gateway, rollout);
	const longestCallMs = findLongestCallMs(gateway, service);
	return {
		results,
		serviceCalls: countSent(results),
		readyNew: ready.filter(version => version === toVersion).length,
		readyOld: ready.filter(version => version !== toVersion && !withheldVersions.includes(version)).length,
		runningOld: countRunningOld(gateway, rollout),
		canWrite: true,
		...(longestCallMs !== undefined && {longestCallMs}),
	};
};

const isSettled = ({directoryReadAt, clocks}: GatewayState): boolean => directoryReadAt !== undefined && clocks.steady() >= directoryReadAt + settleMs;

/** Whether the next state exposes no more calls than the current one, so that it need not be in the store first. */
const mayTakeEffectAtOnce = (current: Rollout, next: Rollout): boolean =>
	next.revision === current.revision || next.stage === 'rolled_back' || (next.stage === current.stage && next.share <= current.share);

export type RolloutPlanner = {
	/** Returns the next states of all rollouts for the lease record, undefined if there are none. Those that don't increase the exposure are in effect at once, the others once it is written. */
	readonly planRollouts: () => Lease['rollouts'];
};

export const makeRolloutPlanner = (gateway: GatewayState): RolloutPlanner => {
	const histories = new Map<string, ResultsHistory>();

	const planNext = (rollout: Rollout, bounds: RolloutBounds): Rollout => {
		const now = gateway.clocks.trueTime();
		if (isEnded(rollout) || !isSettled(gateway)) {
			return {...rollout, confirmedAt: now};
		}

		const observation = makeObservation(gateway, rollout);
		const history = recordHistory(histories.get(rollout.service) ?? emptyHistory, observation.results, now);
		histories.set(rollout.service, history);
		return planRollout(rollout, {...observation, history}, bounds, now);
	};

	return {
		planRollouts() {
			const bounds = getRolloutBounds(gateway.settings);
			if (bounds === undefined || gateway.rollouts.byService.size === 0) {
				return undefined;
			}

			return Object.fromEntries([...gateway.rollouts.byService].map(([service, rollout]) => {
				const next = planNext(rollout, bounds);
				if (mayTakeEffectAtOnce(rollout, next)) {
					setRollout(gateway, next, 'plan');
				}

				return [service, next];
			}));
		},
	};
};

/** Whether both have the same states, apart from when they were confirmed. */
export const hasSameRollouts = (left: Lease['rollouts'] = {}, right: Lease['rollouts'] = {}): boolean => {
	const services = new Set([...Object.keys(left), ...Object.keys(right)]);
	return [...services].every(service => left[service]?.offset === right[service]?.offset && left[service]?.revision === right[service]?.revision && left[service]?.stage === right[service]?.stage);
};
