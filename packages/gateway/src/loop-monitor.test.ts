import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {startLoopMonitor} from './loop-monitor.js';

const startMonitor = (t: TestContext) => {
	const controller = new AbortController();
	t.after(() => {
		controller.abort();
	});
	let now = 0;
	const stalls: number[] = [];
	t.mock.timers.enable({apis: ['setInterval']});
	const monitor = startLoopMonitor({
		steady: () => now, signal: controller.signal, onStall(stalledMs) {
			stalls.push(stalledMs);
		},
	});
	return {
		monitor, stalls,
		/** Lets time pass without a tick, as while the loop stands still. */
		stall(ms: number) {
			now += ms;
		},
		tick(count: number) {
			for (let index = 0; index < count; index++) {
				now += 50;
				t.mock.timers.tick(50);
			}
		},
	};
};

test('what is read after a stall is taken as old as it may be, also before the stall was seen', t => {
	const {monitor, stalls, stall, tick} = startMonitor(t);
	tick(10);
	assert.equal(monitor.getStandingMs(), 0);
	stall(1400);
	assert.ok(monitor.getStandingMs() >= 1400);
	tick(1);
	assert.deepEqual(stalls, [1400]);
	assert.ok(monitor.getStandingMs() >= 1400, 'a new connection is read one turn later');
});

test('a stall is over after some turns of the loop, and delays of a busy moment are none', t => {
	const {monitor, stalls, stall, tick} = startMonitor(t);
	tick(5);
	stall(80);
	assert.equal(monitor.getStandingMs(), 0);
	stall(600);
	tick(4);
	assert.equal(monitor.getStandingMs(), 0);
	assert.deepEqual(stalls, [680]);
});
