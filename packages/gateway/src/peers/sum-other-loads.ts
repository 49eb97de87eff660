/** Load that other daemons put on each backend server, as they last told. */
import {
	computeServiceSpeed, firstPace, noReading, readRecord,
} from '@shallotpass/core/placement/engine-pace.js';
import {trackedRankCount} from '../calls/backend-registry.js';
import {type GatewayState} from '../gateway-state.js';

/** Load that was told longer ago says nothing, in milliseconds: four times the time between two rounds. */
const oldestLoadMs = 1200;

const learnServiceSpeeds = ({registry, clocks}: GatewayState): void => {
	const now = clocks.steady();
	for (const [service, states] of registry.byService) {
		const readings = states.flatMap(state => [readRecord(state.reading, now), state.othersReading]);
		registry.paces.set(service, {...(registry.paces.get(service) ?? firstPace), tokensPerMs: computeServiceSpeed(readings)});
	}
};

/** Adds up what the other daemons run at each backend server, and what was seen of their speed. */
export const sumOtherLoads = (gateway: GatewayState): void => {
	const since = gateway.clocks.steady() - oldestLoadMs;
	for (const state of gateway.registry.byId.values()) {
		state.othersRunning = 0;
		state.othersPendingTokens.fill(0);
		state.othersReading = noReading;
	}

	for (const peer of gateway.peers.values()) {
		if (peer.heardAt < since) {
			continue;
		}

		for (const [id, load] of Object.entries(peer.loads)) {
			const [running, ...pending] = load.slice(0, 1 + trackedRankCount);
			const [tokens = 0, ms = 0] = load.slice(1 + trackedRankCount);
			const state = gateway.registry.byId.get(id);
			if (state === undefined) {
				continue;
			}

			state.othersRunning += running ?? 0;
			state.othersReading = {tokens: state.othersReading.tokens + tokens, ms: state.othersReading.ms + ms};
			for (const [rank, tokens] of pending.entries()) {
				state.othersPendingTokens[rank] = (state.othersPendingTokens[rank] ?? 0) + tokens;
			}
		}
	}

	learnServiceSpeeds(gateway);
};
