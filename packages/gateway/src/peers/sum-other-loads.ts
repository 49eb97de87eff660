/** Sums the load of other daemons on each backend server from their latest reports. */
import {
	computeServiceSpeed, defaultLatencyModel, emptyPrefillSample, decayPrefillRecord,
} from '@shallotpass/core/placement/engine-latency.js';
import {needsRelays} from '@shallotpass/core/gossip/pick-relays.js';
import {relayedReportWeight, smoothReportedTokens} from '@shallotpass/core/placement/smooth-reports.js';
import {
	addPlainSamples, emptyPlainSample, mayShareDurations, parsePlainCalls,
} from '@shallotpass/core/placement/plain-durations.js';
import {trackedRankCount} from '../calls/backend-registry.js';
import {getLatencyModel} from '../calls/backend-view.js';
import {countDaemons, type GatewayState} from '../gateway-state.js';

/** Older loads are ignored. The limit is four gossip intervals. */
const maxLoadAgeMs = 1200;

const updateServiceSpeeds = ({registry, clocks}: GatewayState): void => {
	const now = clocks.steady();
	for (const [service, states] of registry.byService) {
		const samples = states.flatMap(state => [decayPrefillRecord(state.prefill, now), state.othersPrefill]);
		registry.latencyModels.set(service, {...(registry.latencyModels.get(service) ?? defaultLatencyModel), tokensPerMs: computeServiceSpeed(samples)});
	}
};

/** Weighs loads that came through relays by their age. Only for services with mixed streams, whose objectives are as short as that age. */
const smoothRelayedLoads = (gateway: GatewayState): void => {
	if (!needsRelays(countDaemons(gateway))) {
		return;
	}

	const now = gateway.clocks.steady();
	for (const service of gateway.configuration?.mixedServices.keys() ?? []) {
		const states = gateway.registry.byService.get(service) ?? [];
		const smoothed = smoothReportedTokens(states.map(state => ({
			pendingTokens: state.othersPendingTokens, tokensPerMs: getLatencyModel(gateway.registry, state, now).tokensPerMs,
		})), relayedReportWeight);
		for (const [index, state] of states.entries()) {
			state.othersPendingTokens = smoothed[index]!;
		}
	}
};

/** Removes the durations reported by others for services whose load is too high to use them. */
const dropDurationsUnderLoad = ({registry}: GatewayState): void => {
	for (const states of registry.byService.values()) {
		const running = states.reduce((sum, state) => sum + state.running + state.othersRunning, 0);
		for (const state of states) {
			state.othersPlain = mayShareDurations(running, state.entry.places) ? state.othersPlain : emptyPlainSample;
		}
	}
};

/** Sums the running calls, pending prompt tokens and prefill measurements of the other daemons for each backend server. */
export const sumOtherLoads = (gateway: GatewayState): void => {
	const since = gateway.clocks.steady() - maxLoadAgeMs;
	for (const state of gateway.registry.byId.values()) {
		state.othersRunning = 0;
		state.othersPendingTokens.fill(0);
		state.othersPrefill = emptyPrefillSample;
		state.othersPlain = emptyPlainSample;
	}

	for (const peer of gateway.peers.values()) {
		if (peer.receivedAt < since) {
			continue;
		}

		for (const [id, load] of Object.entries(peer.loads)) {
			const [running, ...pending] = load.slice(0, 1 + trackedRankCount);
			const [tokens = 0, ms = 0, ...plain] = load.slice(1 + trackedRankCount);
			const state = gateway.registry.byId.get(id);
			if (state === undefined) {
				continue;
			}

			state.othersRunning += running ?? 0;
			state.othersPrefill = {tokens: state.othersPrefill.tokens + tokens, ms: state.othersPrefill.ms + ms};
			state.othersPlain = addPlainSamples(state.othersPlain, parsePlainCalls(plain));
			for (const [rank, tokens] of pending.entries()) {
				state.othersPendingTokens[rank] = (state.othersPendingTokens[rank] ?? 0) + tokens;
			}
		}
	}

	updateServiceSpeeds(gateway);
	smoothRelayedLoads(gateway);
	dropDurationsUnderLoad(gateway);
};
