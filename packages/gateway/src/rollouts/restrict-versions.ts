/** Restricts the calls of a service in a rollout to the backend servers of the versions that they may go to. */
import {
	filterByVersion, isConfirmed, pickTrialServers, pickVersions, type VersionedCall,
} from '@shallotpass/core/rollouts/pick-version.js';
import {type Rollout} from '@shallotpass/core/rollouts/types.js';
import {type BackendState} from '../calls/backend-registry.js';
import {unknownVersion} from '../calls/count-versions.js';
import {type GatewayState} from '../gateway-state.js';
import {getRolloutBounds} from './rollout-state.js';

/**
 * Time for which a completed rollout keeps calls at its version. The platform terminates the old backend servers at once. Those of
 * a further version that appear later without a rollout are served as usual.
 */
const completedEffectMs = 30_000;

const hasEffect = ({stage, stageAt}: Rollout, now: number): boolean => stage !== 'completed' || now < stageAt + completedEffectMs;

const countReady = ({registry}: GatewayState, service: string, version: string): number => registry.versionsByService.get(service)?.get(version)?.ready ?? 0;

/**
 * Whether a call may be sent to the version, also one that goes on there. A version that was rolled back gets none, nor one in a
 * trial that no lease holder confirms, nor an old one whose backend servers the platform terminates.
 */
export const mayReceiveByVersion = (gateway: GatewayState, service: string, softwareVersion = unknownVersion): boolean => {
	const rollout = gateway.rollouts.byService.get(service);
	if (rollout === undefined) {
		return true;
	}

	const {toVersion, stage, withheldVersions} = rollout;
	const now = gateway.clocks.trueTime();
	if (withheldVersions.includes(softwareVersion)) {
		return false;
	}

	switch (stage) {
		case 'trial': {
			return softwareVersion !== toVersion || isConfirmed(rollout, now);
		}

		case 'shift': {
			return true;
		}

		case 'completed': {
			return softwareVersion === toVersion || !hasEffect(rollout, now) || countReady(gateway, service, toVersion) === 0;
		}

		case 'rolled_back': {
			return softwareVersion !== toVersion;
		}
	}
};

/**
 * Returns the ready backend servers that carry the calls of the service. Those of the other version in a rollout are not counted: an order
 * that counted both would end as many as the service needs.
 */
export const listInService = (gateway: GatewayState, service: string): readonly BackendState[] => {
	const ready = gateway.registry.byService.get(service) ?? [];
	const rollout = gateway.rollouts.byService.get(service);
	if (rollout === undefined || !hasEffect(rollout, gateway.clocks.trueTime())) {
		return ready;
	}

	const {toVersion, stage} = rollout;
	const usesNew = stage === 'shift' || stage === 'completed';
	const inService = ready.filter(({entry}) => (entry.softwareVersion === toVersion) === usesNew);
	return inService.length === 0 ? ready : inService;
};

/** Returns those of the new backend servers that are in use during a trial. */
const listTrialServers = (gateway: GatewayState, {service, toVersion, share}: Rollout): ReadonlySet<string> => {
	const ready = gateway.registry.byService.get(service) ?? [];
	const newServers = ready.filter(({entry}) => entry.softwareVersion === toVersion);
	return new Set(pickTrialServers(newServers.map(({entry}) => entry.id), {share, oldServers: ready.length - newServers.length, now: gateway.clocks.trueTime()}));
};

/** Returns the available backend servers to which a call may go that need not go on at a certain version. */
export const restrictToVersions = (gateway: GatewayState, service: string, available: readonly BackendState[], call: VersionedCall): readonly BackendState[] => {
	const rollout = gateway.rollouts.byService.get(service);
	const now = gateway.clocks.trueTime();
	if (rollout === undefined || getRolloutBounds(gateway.settings) === undefined || !hasEffect(rollout, now)) {
		return available;
	}

	const choice = pickVersions(rollout, call, now);
	const inUse = choice.kind === 'only' && rollout.stage === 'trial' ? listTrialServers(gateway, rollout) : undefined;
	const usable = inUse === undefined ? available : available.filter(({entry}) => entry.softwareVersion !== rollout.toVersion || inUse.has(entry.id));
	return filterByVersion(usable, choice, ({entry}) => entry.softwareVersion);
};
