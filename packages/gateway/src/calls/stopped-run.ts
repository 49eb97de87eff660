/** A run that was stopped to be moved, and what is held for it until another backend server, or the same one, goes on with it. */
import {type Call} from '@shallotpass/core/calls/types.js';
import {type GatewayState} from '../gateway-state.js';
import {type MovedKvCache} from '../ports.js';
import {returnToLimit} from './backend-limits.js';
import {type BackendState} from './backend-registry.js';
import {type Placement} from './place-call.js';
import {type SendPermit} from './send-permit.js';

export type StoppedRun = {
	/** What its backend server answered. `moved`: the KV cache was copied; `kept`: it was not, and the run can continue only where it was. */
	readonly order: 'moved' | 'kept';
	/** Backend server that ran it. */
	readonly from: BackendState;
	/** Backend server to which its KV cache was to be copied. */
	readonly to: BackendState;
	/** Version of the software that began it. */
	readonly softwareVersion: string;
	readonly kvCache: MovedKvCache;
	/** Handle of the copy from before it was stopped, which holds a place at the other backend server. */
	readonly copyHandle: string;
	/** Placements where it can continue, best first. */
	readonly placements: readonly Placement[];
	/** For the send that continues it. */
	readonly permit: SendPermit;
};

/** What became of a run whose backend server leaves, when the stream of its answer ends. */
export type Departure =
	/** No order to stop it has reached its backend server, or none was followed. */
	| {readonly kind: 'stayed'}
	| {readonly kind: 'stopped'; readonly run: StoppedRun}
	/** It may have been stopped by an order whose answer says nothing. The close of its stream proves nothing, and it must not be started again. */
	| {readonly kind: 'unknown'; readonly reason: string};

/** Timeout of requests that free a copy, in milliseconds. */
const releaseTimeoutMs = 800;

/** Frees a copy of a KV cache at the first of the ends that knows it: the source frees it at both. */
export const releaseCopy = async ({engines, stopSignal}: GatewayState, ends: readonly BackendState[], handle: string): Promise<void> => {
	for (const {entry: {address}, agent} of ends) {
		// eslint-disable-next-line no-await-in-loop -- the other end only if this one does not know it
		if (await engines.releaseCopy({address, agent}, handle, {timeoutMs: releaseTimeoutMs, signal: stopSignal})) {
			return;
		}
	}
};

/** Frees the copy of a run that has gone on at its own backend server. Before that the copy must stay, as its handle may be that of the run's own memory. */
export const releaseUnusedCopy = (gateway: GatewayState, {order, to, kvCache, copyHandle}: StoppedRun): void => {
	void releaseCopy(gateway, [to], order === 'moved' ? kvCache.handle : copyHandle);
};

/** Frees what is held for a stopped run that does not continue. `unused`: placements to which it was not sent. The permit is the call's. */
export const releaseStoppedRun = (gateway: GatewayState, {order, from, to, kvCache, copyHandle}: StoppedRun, unused: readonly Placement[]): void => {
	for (const {state} of unused.filter(({isCounted}) => isCounted === true)) {
		returnToLimit(gateway, state);
	}

	void releaseCopy(gateway, [from, to], kvCache.handle);
	if (order === 'kept' && copyHandle !== kvCache.handle) {
		void releaseCopy(gateway, [to], copyHandle);
	}
};

/** Makes a placement at a backend server that holds the run's KV cache, so the complete prompt counts as cached. */
export const makeResumePlacement = (state: BackendState, call: Call, chosenAt: number): Placement => ({
	state, choice: {id: state.entry.id, predictedMs: 0, cost: 0}, cachedTokens: call.promptTokens, chosenAt,
});
