/** Whether a call that is sent now arrives while its backend server may receive calls. */
import {type GatewayState} from '../gateway-state.js';
import {type BackendState, mayReceiveCalls} from './backend-registry.js';
import {connectTimeoutMs} from './run-at-backend.js';

export const mayStillReceive = ({clocks, settings}: GatewayState, state: BackendState): boolean =>
	mayReceiveCalls(state, {arrivesBy: clocks.steady() + connectTimeoutMs, drainMs: settings.bounds.drainMs});
