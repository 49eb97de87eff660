import assert from 'node:assert/strict';
import {getEventListeners} from 'node:events';
import test from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import v8 from 'node:v8';
import vm from 'node:vm';
import {type GatewayState} from '../gateway-state.js';
import {type BackendState} from './backend-registry.js';
import {watchForLateArrival} from './watch-for-late-arrival.js';

v8.setFlagsFromString('--expose-gc');
const collectGarbage = vm.runInNewContext('gc') as () => void;

test('overlapping calls that have ended leave nothing at their backend server', async () => {
	// Guards against bodies of answered requests that stay in memory as long as the backend server, until the daemon is killed.
	const leaving = new AbortController();
	/* eslint-disable @typescript-eslint/consistent-type-assertions -- only what is read */
	const gateway = {clocks: {steady: () => 0}, settings: {bounds: {drainMs: 2000}}} as GatewayState;
	const state = {leaving, lastReadAt: 0, leavingSince: undefined} as unknown as BackendState;
	/* eslint-enable @typescript-eslint/consistent-type-assertions */
	let stopBefore = (): void => {/* The first call has none before it. */};
	for (let call = 0; call < 20; call++) {
		const stop = watchForLateArrival(gateway, state, 0, () => {/* Never late. */});
		await nextTurn(); // eslint-disable-line no-await-in-loop -- objects that were used in this turn are not collected
		collectGarbage();
		stopBefore();
		stopBefore = stop;
	}

	stopBefore();
	assert.equal(getEventListeners(leaving.signal, 'abort').length, 0);
});
