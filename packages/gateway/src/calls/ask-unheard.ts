/**
 * Sends a call now and then to a backend server that nobody has heard of lately. What is known of it comes from calls only, so one
 * whose first answers were slow, or that others were preferred to, would never be tried again while the others suffice, and
 * nothing would be known of it when they fail.
 */
import {type Call, isRepeatable} from '@shallotpass/core/calls/types.js';
import {type GatewayState} from '../gateway-state.js';
import {computeSilenceMs} from './backend-waits.js';
import {type BackendState, firstAskAfterMs} from './backend-registry.js';
import {type PlacementOptions} from './list-available-backends.js';

/** Shortest interval between two such calls of this daemon, whatever the number of backend servers. */
const minIntervalMs = 500;

/** The time until the next one doubles up to this while the answers change nothing. */
const maxAskAfterMs = 24_000;

/** Prefill that others report of a backend server they use, in milliseconds. */
const minReportedPrefillMs = 10;

const isHeardByOthers = ({othersRunning, othersPrefill}: BackendState): boolean => othersRunning > 0 || othersPrefill.ms >= minReportedPrefillMs;

const isDue = (state: BackendState, now: number): boolean => {
	const heardAt = Math.max(state.lastReadAt, state.askedAt);
	return state.running === 0 && now >= heardAt + state.askAfterMs && computeSilenceMs(state, now) === 0 && !isHeardByOthers(state);
};

/** Finds a candidate from which nothing was heard for long, for a first send of a call that may be repeated if it fails. */
export const findUnheard = (gateway: GatewayState, call: Call, candidates: readonly BackendState[], {attemptedIncarnations, hasStarted}: PlacementOptions): BackendState | undefined => {
	const now = gateway.clocks.steady();
	if (now < gateway.nextAskAt || hasStarted || attemptedIncarnations.size > 0 || !isRepeatable(call.repeatability)) {
		return undefined;
	}

	return candidates.find(state => isDue(state, now));
};

/** Plans the next call to it. Daemons that ask at the same time drift apart. */
export const recordAsk = (gateway: GatewayState, state: BackendState): void => {
	const now = gateway.clocks.steady();
	const isUsedAgain = state.lastReadAt > state.askedAt + state.askAfterMs;
	gateway.nextAskAt = now + minIntervalMs;
	state.askAfterMs = Math.min(maxAskAfterMs, (isUsedAgain ? firstAskAfterMs : state.askAfterMs * 2) * (0.75 + (gateway.random() / 2)));
	state.askedAt = now;
};
