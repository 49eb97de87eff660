/** What a daemon knows of the rollouts of services, and the results of its own calls during them. */
import {isEnded} from '@shallotpass/core/rollouts/is-ended.js';
import {emptyResults} from '@shallotpass/core/rollouts/record-result.js';
import {
	type Rollout, type RolloutBounds, type RolloutResults, rolloutStageSchema,
} from '@shallotpass/core/rollouts/types.js';
import {type GatewaySettings} from '../gateway-settings.js';
import {type GatewayState} from '../gateway-state.js';

export type RolloutState = {
	/** Newest known rollout of each service. Written by `setRollout`. */
	readonly byService: Map<string, Rollout>;
	/** Results of this daemon's calls since the order, by service. Written by `setRollout` and calls. */
	readonly results: Map<string, RolloutResults>;
	/** Whether no report of this daemon contains the last change yet, by where it comes from: this daemon, the store, or a peer. Written by `setRollout` and gossip. */
	readonly unreported: {areOwn: boolean; areFromPeers: boolean};
};

export const makeRolloutState = (): RolloutState => ({byService: new Map(), results: new Map(), unreported: {areOwn: false, areFromPeers: false}});

/** Returns the bounds of the exposure, undefined if the settings don't have all of them. Rollouts are off then. */
export const getRolloutBounds = ({bounds: {exposureShare, exposureSlack, rollbackMs}}: Pick<GatewaySettings, 'bounds'>): RolloutBounds | undefined =>
	exposureShare === undefined || exposureSlack === undefined || rollbackMs === undefined ? undefined : {exposureShare, exposureSlack, rollbackMs};

/** Whether the service is in a rollout that has not ended. */
export const isInRollout = ({rollouts}: Pick<GatewayState, 'rollouts'>, service: string): boolean => {
	const rollout = rollouts.byService.get(service);
	return rollout !== undefined && !isEnded(rollout);
};

/** Where a state comes from: the operator's record, the lease record, the plan of this daemon, or the report of a peer. */
export type RolloutSource = 'request' | 'lease' | 'plan' | 'peer';

const updateStageMetrics = (gateway: GatewayState, {service, stage, share}: Rollout): void => {
	gateway.metrics.rolloutShare.set({service}, share);
	for (const each of rolloutStageSchema.options) {
		gateway.metrics.rolloutStage.set({service, stage: each}, each === stage ? 1 : 0);
	}
};

/** Replaces what is known of a rollout. Results of an earlier one are dropped. */
export const setRollout = (gateway: GatewayState, rollout: Rollout, source: RolloutSource): void => {
	const {byService, results, unreported} = gateway.rollouts;
	const {service, toVersion, offset, stage, share, revision, reason} = rollout;
	const known = byService.get(service);
	byService.set(service, rollout);
	if (known?.offset === offset && known.revision === revision && known.stage === stage) {
		return;
	}

	if (known?.offset !== offset) {
		results.set(service, emptyResults(offset));
	}

	unreported[source === 'peer' ? 'areFromPeers' : 'areOwn'] = true;
	updateStageMetrics(gateway, rollout);
	gateway.log.write('state', 'rollout_stage', {
		service, to: toVersion, offset, stage, share, revision, reason, source, before: known?.offset === offset ? known.stage : undefined,
	});
};
