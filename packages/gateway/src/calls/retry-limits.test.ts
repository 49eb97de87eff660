import assert from 'node:assert/strict';
import test from 'node:test';
import {takeFromRetryAllowance} from '@shallotpass/core/retries/retry-allowance.js';
import {type GatewayState, type PeerReport} from '../gateway-state.js';
import {getRetryAllowance, getRetryLimit} from './retry-limits.js';

const repeatSlack = 52;

type Start = {
	readonly ageMs: number;
	readonly registeredDaemons: number | undefined;
	readonly heard: number;
};

const heardPeer: Pick<PeerReport, 'receivedAt' | 'daemons'> = {receivedAt: 50_000, daemons: 1};

const makeGateway = ({ageMs, registeredDaemons, heard}: Start): GatewayState => ({
	settings: {bounds: {repeatRatio: 0.2, repeatSlack, repeatWindowMs: 10_000}},
	clocks: {steady: () => 50_000},
	startedAt: 50_000 - ageMs,
	registeredDaemons,
	peers: new Map(Array.from({length: heard}, (_value, index) => [String(index), heardPeer])),
	allowances: new Map(),
	daemonCounts: [],
} as unknown as GatewayState);

/** Retries until the daemon's allowance is used up. */
const countRetries = (start: Start): number => {
	const gateway = makeGateway(start);
	let retries = 0;
	while (takeFromRetryAllowance(getRetryAllowance(gateway, 'llm'), getRetryLimit(gateway), 50_000)) {
		retries++;
	}

	return retries;
};

test('six daemons that have just been restarted together stay within the slack of retries', () => {
	assert.ok(6 * countRetries({ageMs: 200, registeredDaemons: 6, heard: 0}) <= repeatSlack);
	assert.ok(6 * countRetries({ageMs: 200, registeredDaemons: undefined, heard: 0}) <= repeatSlack);
});

test('a daemon that runs longer shares the slack with those that it hears', () => {
	assert.equal(countRetries({ageMs: 2000, registeredDaemons: 60, heard: 1}), Math.floor(repeatSlack * 0.7 / 2));
});
