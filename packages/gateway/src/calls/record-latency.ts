/** Updates what is known of the speed of backend servers from the calls that they have answered. */
import {computeMeanSlowness} from '@shallotpass/core/placement/current-speed.js';
import {
	defaultLatencyModel, recordPrefill, toPrefillSample, updateFixedLatency,
} from '@shallotpass/core/placement/engine-latency.js';
import {recordPlainCall} from '@shallotpass/core/placement/plain-durations.js';
import {updateMovingMean} from '@shallotpass/core/placement/moving-averages.js';
import {type GatewayState} from '../gateway-state.js';
import {type BackendHeaders} from '../ports.js';
import {type BackendState} from './backend-registry.js';

/** Weight of a reading in the mean slowness of a service: a slow moment of one machine should not change it, one of all machines within some seconds. */
const slownessSampleWeight = 0.02;

/** Records what a response states about the current speed of the backend server's machine, and of its queue. One that states nothing leaves the last reading. */
export const recordSpeed = ({registry, clocks}: GatewayState, state: BackendState, {slowness, waiting}: Pick<BackendHeaders, 'slowness' | 'waiting'>): void => {
	state.waiting = waiting ?? state.waiting;
	if (slowness !== undefined) {
		state.speed = {slowness, at: clocks.steady()};
		const mean = registry.meanSlowness.get(state.entry.service) ?? 1;
		registry.meanSlowness.set(state.entry.service, mean + (slownessSampleWeight * (slowness - mean)));
	}
};

/** Returns the time that work since `sentAt` would have taken at the machine's usual speed, so that a slow moment does not make the backend server count as slow for seconds. */
const computeUsualMs = ({clocks}: GatewayState, {speed}: BackendState, sentAt: number): number => {
	const now = clocks.steady();
	return (now - sentAt) / computeMeanSlowness(speed, sentAt, now);
};

/** An estimate that no answer has renewed for this long is replaced by the next one. */
const outdatedAfterMs = 2000;

/** Updates the latency model of the backend server and its service from the time until the head of a stream. */
export const recordStreamLatency = (gateway: GatewayState, state: BackendState, {sentAt, workTokens}: {sentAt: number; workTokens: number}): void => {
	const {registry, clocks} = gateway;
	const {service} = state.entry;
	const event = {workTokens, tookMs: computeUsualMs(gateway, state, sentAt)};
	const latencyModel = registry.latencyModels.get(service) ?? defaultLatencyModel;
	const sample = toPrefillSample(event, latencyModel);
	registry.latencyModels.set(service, updateFixedLatency(latencyModel, event));
	if (sample !== undefined) {
		state.prefill = recordPrefill(state.prefill, sample, clocks.steady());
	}
};

/** Whether the mean duration of plain calls was renewed lately, or will be soon. Only calls that are sent renew it. */
export const isPlainEstimateCurrent = ({plainAt, running}: BackendState, now: number): boolean => running > 0 || now <= plainAt + outdatedAfterMs;

/** Updates the mean duration of plain calls once an answer is whole: a backend server whose answers begin soon and do not end is not quick. */
export const recordPlainLatency = (gateway: GatewayState, state: BackendState, sentAt: number): void => {
	const now = gateway.clocks.steady();
	const tookMs = Math.max(1, computeUsualMs(gateway, state, sentAt));
	const isOutdated = sentAt > state.plainAt + outdatedAfterMs;
	state.plainMs = isOutdated ? tookMs : updateMovingMean(state.plainMs, tookMs);
	state.plainAt = now;
	// Time in a queue tells of the load, which daemons judge by themselves.
	if (state.speed !== undefined && state.waiting === 0) {
		state.plainCalls = recordPlainCall(state.plainCalls, tookMs, now);
	}
};
