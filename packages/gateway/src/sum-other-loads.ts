/** Load that other daemons put on each backend server, as they last told. */
import {type GatewayState} from './gateway-state.js';

/** Load that was told longer ago says nothing, in milliseconds: four times the time between two tellings. */
const oldestLoadMs = 1200;

/** Adds up what the other daemons run at each backend server. */
export const sumOtherLoads = (gateway: GatewayState): void => {
	const since = gateway.clocks.steady() - oldestLoadMs;
	for (const state of gateway.book.byId.values()) {
		state.othersRunning = 0;
		state.othersPendingTokens.fill(0);
	}

	for (const peer of gateway.peers.values()) {
		if (peer.heardAt < since) {
			continue;
		}

		for (const [id, [running, ...pending]] of Object.entries(peer.loads)) {
			const state = gateway.book.byId.get(id);
			if (state === undefined) {
				continue;
			}

			state.othersRunning += running ?? 0;
			for (const [rank, tokens] of pending.entries()) {
				state.othersPendingTokens[rank] = (state.othersPendingTokens[rank] ?? 0) + tokens;
			}
		}
	}
};
