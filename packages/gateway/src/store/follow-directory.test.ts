import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {type BackendEntry} from '@shallotpass/core/directory/types.js';
import {type PeerBackend} from '@shallotpass/core/directory/adopt-peer-directory.js';
import {makeBackendRegistry} from '../calls/backend-registry.js';
import {type GatewayState} from '../gateway-state.js';
import {
	type KeyedRecord, type NewestReply, type Platform, type ReadReply,
} from '../ports.js';
import {type DirectoryFollower, followDirectory} from './follow-directory.js';

const stableMs = 3000;

const waitTimeoutMs = 20_000;

const peerAddress = '10.0.0.2:7500';

const makeEntry = (id: string): BackendEntry => ({
	id, service: 'llm', address: '10.0.0.9:80', availabilityZone: 'a', places: 8, isLeaving: false, leavesInMs: undefined, isReclaimable: false, startedAt: 1000, softwareVersion: 'v1', sequence: 1,
});

const makePeerBackend = (id: string, missingForMs?: number): PeerBackend => ({entry: makeEntry(id), offset: 1, missingForMs});

const makeRecord = (offset: number, key: string): KeyedRecord => ({offset, key, value: new Uint8Array(1)});

type FollowerFixture = {
	readonly follower: DirectoryFollower;
	readonly listIds: () => string[];
	readonly advance: (ms: number) => Promise<void>;
	/** Answers the listing that was held. */
	readonly answerListing: (reply: NewestReply) => Promise<void>;
	/** Answers the poll of the store that is under way, or the next one. */
	readonly answerPoll: (reply: ReadReply) => Promise<void>;
	/** Resolves when a poll of the store is under way. */
	readonly whenPolling: () => Promise<void>;
	readonly setPaused: (isPaused: boolean) => void;
};

const firstListing: NewestReply = {kind: 'listing', records: [makeRecord(0, 'x'), makeRecord(1, 'y')], end: 2};

/**
 * Starts a follower on a clock of the test and a store whose polls the test answers. Its directory holds `x` and `y`, with 2 as the
 * next offset, unless the test answers its first listing itself.
 */
const startFollower = async (t: TestContext, {isListingHeld = false} = {}): Promise<FollowerFixture> => {
	let now = 10_000;
	let isPaused = false;
	const polls: Array<(reply: ReadReply) => void> = [];
	const listings: Array<(reply: NewestReply) => void> = [];
	t.mock.timers.enable({apis: ['setInterval', 'setTimeout']});
	const controller = new AbortController();
	t.after(() => {
		controller.abort();
	});
	const store: Platform['store'] = {
		append: async () => ({kind: 'refused', reason: ''}),
		read: async () => new Promise(resolve => {
			polls.push(resolve);
		}),
		readNewest: async () => isListingHeld
			? new Promise(resolve => {
				listings.push(resolve);
			})
			: firstListing,
	};
	const gateway = {
		settings: {bounds: {drainMs: 2000, stableMs}},
		clocks: {steady: () => now},
		loop: {getStandingMs: () => 0},
		log: {write() {/* not needed */}},
		registry: makeBackendRegistry(),
		directoryReadAt: undefined,
		directoryStatus: {
			offset: 0, source: 'store', confirmedAt: Number.NEGATIVE_INFINITY, storeAnsweredAt: Number.NEGATIVE_INFINITY,
		},
	} as unknown as GatewayState;
	const platform = {store, records: {toBackendEntry: (id: string) => ({kind: 'decoded', value: makeEntry(id)})}} as unknown as Platform;
	const follower = followDirectory({
		gateway, platform, isPaused: () => isPaused, getMaxRetryDelayMs: () => 1000, signal: controller.signal,
	});
	const settle = async (): Promise<void> => {
		for (let turn = 0; turn < 5; turn++) {
			await nextTurn(); // eslint-disable-line no-await-in-loop -- lets pending promises settle
		}
	};

	/** Pauses between polls take real time. */
	const whenPolling = async (): Promise<void> => {
		const giveUpAt = performance.now() + waitTimeoutMs;
		while (polls.length === 0) {
			assert.ok(performance.now() < giveUpAt, 'timed out waiting for a poll');
			await nextTurn(); // eslint-disable-line no-await-in-loop -- a poll
		}
	};

	await settle();
	return {
		follower,
		listIds: () => [...gateway.registry.byId.keys()],
		async advance(ms) {
			now += ms;
			t.mock.timers.tick(ms);
			await settle();
		},
		whenPolling,
		async answerListing(reply) {
			listings.shift()!(reply);
			await settle();
		},
		async answerPoll(reply) {
			await whenPolling();
			polls.shift()!(reply);
			await settle();
		},
		setPaused(value) {
			isPaused = value;
		},
	};
};

test('a daemon that was connected keeps no backend server that only a disconnected peer keeps', async t => {
	const {follower, listIds, advance} = await startFollower(t);
	assert.deepEqual(listIds(), ['x', 'y']);
	await advance(300);
	follower.adoptFromPeer({backends: [makePeerBackend('x', 1700), makePeerBackend('y')], next: 3}, 10, peerAddress);
	assert.deepEqual(listIds(), ['y']);
});

test('daemons that were all disconnected keep a backend server whose entry expired, and drop it after the grace period', async t => {
	const {follower, listIds, advance, answerPoll, setPaused} = await startFollower(t);
	await answerPoll({kind: 'failed', reason: 'timeout'});
	setPaused(true);
	await advance(5000);
	follower.adoptFromPeer({backends: [makePeerBackend('x', 1700), makePeerBackend('y')], next: 3}, 10, peerAddress);
	assert.deepEqual(listIds(), ['x', 'y']);
	await advance(1000);
	follower.adoptFromPeer({backends: [makePeerBackend('x', 700), makePeerBackend('y', 700)], next: 4}, 10, peerAddress);
	assert.deepEqual(listIds(), ['x', 'y']);
	await advance(1000);
	assert.deepEqual(listIds(), []);
});

test('a backend server that left during an outage gets no calls once the bounds hold again', async t => {
	const {listIds, advance, answerPoll, whenPolling} = await startFollower(t);
	await advance(4000);
	await answerPoll({kind: 'failed', reason: 'timeout'});
	await whenPolling();
	await advance(750);
	await answerPoll({kind: 'failed', reason: 'timeout'});
	await whenPolling();
	await advance(1000);
	await answerPoll({
		kind: 'records', records: [{offset: 2, key: 'x', value: undefined}], end: 3, bytes: 16,
	});
	assert.deepEqual(listIds(), ['x', 'y']);
	await advance(stableMs - 1000 - 750);
	assert.deepEqual(listIds(), ['y']);
});

for (const [when, reply] of Object.entries<NewestReply>({'arrives after': firstListing, 'is given up after': {kind: 'failed', reason: 'timeout'}})) {
	test(`a removed backend server stays removed if the list of the store ${when} a peer told of the removal`, async t => {
		const {follower, listIds, answerListing} = await startFollower(t, {isListingHeld: true});
		follower.adoptFromPeer({backends: [makePeerBackend('y')], next: 3}, 10, peerAddress);
		await answerListing(reply);
		assert.deepEqual(listIds(), ['y']);
	});
}

test('a peer that states an offset which the store cannot have reached does not hide later entries', async t => {
	// All records before the offset count as applied, so that no daemon that heard of it would learn of a backend server again.
	const {follower, listIds, answerPoll} = await startFollower(t);
	follower.confirm(Number.MAX_SAFE_INTEGER, 0, peerAddress);
	follower.confirm(3, 0, peerAddress);
	await answerPoll({
		kind: 'records', records: [makeRecord(2, 'known by the peer'), makeRecord(3, 'z')], end: 4, bytes: 0,
	});
	assert.deepEqual(listIds(), ['x', 'y', 'z']);
});
