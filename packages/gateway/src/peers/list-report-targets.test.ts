import assert from 'node:assert/strict';
import test from 'node:test';
import {isHeardAgain, listReportTargets} from './list-report-targets.js';

const now = 100_000;
const peers = [{address: 'heard', receivedAt: now - 300}, {address: 'silent', receivedAt: now - 6000}];
const round = {
	peers, unconfirmed: new Map([['seed', now - 6000]]), round: 1, hasHeardAgain: false, now,
};

test('silent peers get a report only every few rounds', () => {
	assert.deepEqual(listReportTargets(round), ['heard']);
	assert.deepEqual(listReportTargets({...round, round: 7}), ['heard', 'silent', 'seed']);
});

test('the two sides of a healed partition become one in the round after the first report crosses it', () => {
	// Otherwise each daemon waits up to seven rounds more, and meanwhile only those of its own side count.
	const hasHeardAgain = isHeardAgain(peers[1], now);
	assert.equal(hasHeardAgain, true);
	assert.deepEqual(listReportTargets({...round, hasHeardAgain}), ['heard', 'silent', 'seed']);
});

test('a peer that was heard lately or never is not heard again', () => {
	assert.deepEqual([isHeardAgain(peers[0], now), isHeardAgain(undefined, now)], [false, false]);
});
