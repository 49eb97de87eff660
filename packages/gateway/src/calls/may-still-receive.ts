/** Whether a call that is sent now arrives while its backend server may receive calls. */
import {type GatewayState} from '../gateway-state.js';
import {mayReceiveByVersion} from '../rollouts/restrict-versions.js';
import {type BackendState, mayReceiveCalls} from './backend-registry.js';
import {connectTimeoutMs} from './run-at-backend.js';

export const mayStillReceive = (gateway: GatewayState, state: BackendState): boolean =>
	mayReceiveCalls(state, {arrivesBy: gateway.clocks.steady() + connectTimeoutMs, drainMs: gateway.settings.bounds.drainMs})
	&& mayReceiveByVersion(gateway, state.entry.service, state.entry.softwareVersion);
