/** Lists the backend servers that can take a call. */
import {type Call} from '@shallotpass/core/calls/types.js';
import {type VersionedCall} from '@shallotpass/core/rollouts/pick-version.js';
import {type GatewayState} from '../gateway-state.js';
import {isReachable} from '../paths/track-paths.js';
import {mayReceiveByVersion, restrictToVersions} from '../rollouts/restrict-versions.js';
import {type BackendState} from './backend-registry.js';
import {filterSound} from './backend-soundness.js';
import {mayStillReceive} from './may-still-receive.js';

export type PlacementOptions = {
	/** Incarnations that the call was already sent to. */
	readonly attemptedIncarnations: ReadonlySet<string>;
	/** Whether the call's run has started, so that it would be lost without another backend server. */
	readonly hasStarted: boolean;
	/** Version of the software that its backend server must have. Undefined for any. */
	readonly softwareVersion?: string | undefined;
	/** Whether the call may crash its backend server, so that it goes where fewest others run. */
	readonly mayCrash?: boolean;
	/** What decides about the version of the call in a rollout. Without it, the call is treated as a repeat. */
	readonly versionedCall?: VersionedCall;
};

const repeatedCall: VersionedCall = {fraction: 1, isRepeat: true};

/** Lists the backend servers that can take the call. A stream that must go on at one version goes to one that leaves if no other of that version is left. */
export const listAvailableBackends = (gateway: GatewayState, call: Call, {attemptedIncarnations, softwareVersion, versionedCall = repeatedCall}: PlacementOptions): readonly BackendState[] => {
	const now = gateway.clocks.steady();
	const isInRollout = gateway.rollouts.byService.has(call.service);
	const isAvailable = (state: BackendState): boolean => state.suspendedUntil <= now && !attemptedIncarnations.has(state.incarnation) && isReachable(gateway, state)
		&& (!isInRollout || mayReceiveByVersion(gateway, call.service, state.entry.softwareVersion));
	const available = (gateway.registry.byService.get(call.service) ?? []).filter(state => isAvailable(state));
	if (softwareVersion === undefined) {
		return filterSound(gateway, call, restrictToVersions(gateway, call.service, available, versionedCall));
	}

	const fitting = filterSound(gateway, call, available.filter(({entry}) => entry.softwareVersion === softwareVersion));
	return fitting.length > 0
		? fitting
		: [...gateway.registry.byId.values()].filter(state => state.entry.service === call.service && state.entry.isLeaving
			&& state.entry.softwareVersion === softwareVersion && isAvailable(state) && mayStillReceive(gateway, state));
};
