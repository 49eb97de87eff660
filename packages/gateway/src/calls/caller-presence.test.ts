import assert from 'node:assert/strict';
import test from 'node:test';
import {confirmCallerWaits} from './caller-presence.js';

/** Whether a turn of the loop passes meanwhile. */
const takesTurn = async (run: () => Promise<unknown>): Promise<boolean> => {
	let hasTurned = false;
	setImmediate(() => {
		hasTurned = true;
	});
	await run();
	return hasTurned;
};

test('the closes of a stall are read once for each call, and again only when more may stand', async () => {
	let now = 10_000;
	let standingMs = 0;
	const gateway = {clocks: {steady: () => now}, loop: {getStandingMs: () => standingMs}} as unknown as Parameters<typeof confirmCallerWaits>[0];
	const {signal} = new AbortController();
	const confirm = async (): Promise<boolean> => confirmCallerWaits(gateway, signal);
	assert.equal(await takesTurn(confirm), false, 'without a stall');
	standingMs = 500;
	assert.equal(await takesTurn(confirm), true, 'after a stall');
	now += 50;
	assert.equal(await takesTurn(confirm), false, 'nothing can stand for long');
	now += 100;
	assert.equal(await takesTurn(confirm), true, 'more may stand');
});
