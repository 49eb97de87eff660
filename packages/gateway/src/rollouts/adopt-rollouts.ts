/** Adopts requests for rollouts from the operator's records, and states of rollouts from gossip and the lease record. */
import {applyRequest} from '@shallotpass/core/rollouts/apply-request.js';
import {pickNewerRollout} from '@shallotpass/core/rollouts/merge-rollouts.js';
import {type Rollout} from '@shallotpass/core/rollouts/types.js';
import {unknownVersion} from '../calls/count-versions.js';
import {type GatewayState} from '../gateway-state.js';
import {type KeyedRecord, type RecordFormat} from '../ports.js';
import {getRolloutBounds, type RolloutSource, setRollout} from './rollout-state.js';

const maxLoggedKeyLength = 64;

/** Adopts the states that are newer than those known here. */
export const adoptRollouts = (gateway: GatewayState, reported: Readonly<Record<string, Rollout>> | undefined, source: RolloutSource): void => {
	if (reported === undefined || getRolloutBounds(gateway.settings) === undefined) {
		return;
	}

	for (const rollout of Object.values(reported)) {
		const known = gateway.rollouts.byService.get(rollout.service);
		setRollout(gateway, known === undefined ? rollout : pickNewerRollout(known, rollout), source);
	}
};

/** Adopts the requests for rollouts among the operator's records. */
export const adoptRequests = (gateway: GatewayState, records: readonly KeyedRecord[], {isRolloutKey, toRollout}: RecordFormat): void => {
	if (getRolloutBounds(gateway.settings) === undefined) {
		return;
	}

	for (const {key, value, offset} of records) {
		if (value === undefined || !isRolloutKey(key)) {
			continue;
		}

		const decoded = toRollout(key, value);
		if (decoded.kind === 'refused') {
			gateway.log.write('failure', 'rollout_unreadable', {
				key: key.slice(0, maxLoggedKeyLength), offset, bytes: value.length, field: decoded.field,
			});
			continue;
		}

		const request = decoded.value;
		const known = gateway.rollouts.byService.get(request.service);
		const readyVersions = (gateway.registry.byService.get(request.service) ?? []).map(({entry}) => entry.softwareVersion ?? unknownVersion);
		const next = applyRequest(known, {...request, offset}, gateway.clocks.trueTime(), readyVersions);
		if (next !== known) {
			gateway.log.write('state', 'rollout_requested', {
				service: request.service, to: request.toVersion, offset, durationMs: request.durationMs, before: known?.stage, beforeTo: known?.toVersion,
			});
			setRollout(gateway, next, 'request');
		}
	}
};
