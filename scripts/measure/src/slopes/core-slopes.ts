/** Measures how the time, memory and traffic of core functions grow with their input, without sockets or waiting. */
import process from 'node:process';
import {configurationSchema} from '@shallotpass/common/configuration-schema.js';
import {type Claim} from '@shallotpass/common/log-records.js';
import {readToml} from '@shallotpass/common/toml-file.js';
import {type LogOffset} from '@shallotpass/common/types.js';
import {dequeueRequest, enqueueRequest, makeWaitingQueue} from '@shallotpass/core/admission/waiting-queue.js';
import {limitRate} from '@shallotpass/core/admission/limit-rate.js';
import {applyClaimRecord, makeClaimState} from '@shallotpass/core/claims/claim-state.js';
import {emptyConfigurationState, applyConfigurationRecord} from '@shallotpass/core/configuration/configuration-state.js';
import {
	applyUpdates, chooseProbeTarget, makeMembershipState, takeRumors,
} from '@shallotpass/core/membership/membership-state.js';
import {defaultMembershipOptions, type MembershipState, type MemberUpdate} from '@shallotpass/core/membership/types.js';
import {
	countCachedBlocks,
	listHolders,
	makeKnownPrefixes,
	recordPrefix,
} from '@shallotpass/core/routing/known-prefixes.js';
import {defaultSpeed} from '@shallotpass/core/routing/speed-estimate.js';
import {hashText} from '@shallotpass/core/routing/rank-by-rendezvous.js';
import {chooseLowestCost} from '@shallotpass/core/routing/policies.js';
import {type BackendView} from '@shallotpass/core/routing/types.js';
import {makeRandom} from '@shallotpass/core/testing/make-random.js';
import {makeConfigurationText} from '../local-fleet.js';
import {measureSlope, timeCalls, type Slope} from './slope.js';

const repeats = 5;

const makeBackends = (count: number): BackendView[] => Array.from({length: count}, (_value, index) => ({
	id: `engine-${index}`,
	idHash: hashText(`engine-${index}`),
	address: `10.0.${Math.floor(index / 250)}.${index % 250}:9000`,
	availabilityZone: `zone-${index % 3}`,
	machineClass: 'a',
	services: ['assistant'],
	checksFencing: false,
	isLeaving: false,
	avoidUntil: 0,
	running: index % 7,
	sentSinceReport: index % 3,
	pendingTokens: 0,
	urgentCalls: index % 3,
	cacheTokens: 200_000,
	limit: 64,
	report: {running: index % 9, queued: index % 2, at: 0},
	speed: defaultSpeed,
	price: 0.3,
}));

/** Blocks in each known prompt prefix. */
const blocksPerPrefix = 32;

/** Measures a routing decision by the number of engines and of the prefixes that the daemon knows, in microseconds. */
const measureRouting = (engines: number, prefixes: number): number => {
	const backends = makeBackends(engines);
	const byId = new Map(backends.map(backend => [backend.id, backend]));
	const random = makeRandom(1);
	const knownPrefixes = makeKnownPrefixes(20_000);
	const chains = Array.from({length: prefixes}, (_value, prefix) =>
		Array.from({length: blocksPerPrefix}, (_block, block) => BigInt((prefix * 1000) + block + 1)));
	for (const [index, chain] of chains.entries()) {
		recordPrefix(knownPrefixes, `engine-${index % engines}`, chain);
		recordPrefix(knownPrefixes, `engine-${(index * 7) % engines}`, chain.slice(0, 8));
	}

	return timeCalls(2000, index => {
		chooseLowestCost({
			call: {
				service: 'assistant',
				promptTokens: 2000,
				prefixHashes: chains[index % chains.length]!,
				expectedTokens: 200,
				now: 1,
				availabilityZone: 'zone-1',
				target: {firstTokenMs: 430, betweenTokensMs: 28},
				excluded: new Set(),
			},
			backends,
			findBackend: id => byId.get(id),
			countCachedBlocks: (id, chain) => countCachedBlocks(knownPrefixes, id, chain),
			listHolders: hash => listHolders(knownPrefixes, hash),
			random,
		});
	});
};

/** Measures adding a request to a queue of this length and removing one, in microseconds. */
const measureQueue = (length: number): number => {
	const queue = makeWaitingQueue();
	const makeRequest = (index: number) => ({
		id: String(index), account: `a${index % 50}`, share: 1, rank: index % 3, work: 100, waitingSince: index, deadline: 1e15, isBackground: false,
	});
	for (let index = 0; index < length; index++) {
		enqueueRequest(queue, makeRequest(index), 1e9);
	}

	return timeCalls(5000, index => {
		enqueueRequest(queue, makeRequest(index), 1e9);
		dequeueRequest(queue, {now: 0, running: 0, capacity: 1});
	});
};

const makeClaim = (index: number): Claim => ({
	id: `0f8fad5b-d9cb-469f-a165-${String(index).padStart(12, '0')}`,
	account: 'default/tartu-shop',
	service: 'reservations',
	key: `7c9e6679-7425-40de-944b-${String(index).padStart(12, '0')}`,
	digest: 'd'.repeat(64),
	owner: 'entry-1',
	ownerEpoch: '1796256000000',
	dispatchBy: 1_796_256_002_000,
	answerBy: 1_796_256_032_000,
});

const claimsPerRecord = 20;

/** Builds the claim state from the records of this many claims. */
const applyClaims = (count: number): ReturnType<typeof makeClaimState> => {
	let state = makeClaimState();
	for (let offset = 0; offset * claimsPerRecord < count; offset++) {
		const claims = Array.from({length: claimsPerRecord}, (_value, index) => makeClaim((offset * claimsPerRecord) + index));
		// A reader of the log parses each record, so records share no objects.
		const record: unknown = structuredClone({kind: 'claims', claims, outcomes: []});
		state = applyClaimRecord(state, {offset: offset as LogOffset, appendedAt: 0, record});
	}

	return state;
};

/** Returns the used heap, after a garbage collection if Node.js exposes it. */
const readHeapBytes = (): number => {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed;
};

const measureClaimMemory = (keys: number): number => {
	const before = readHeapBytes();
	const state = applyClaims(keys);
	const usedBytes = readHeapBytes() - before;
	return state.keys.size > 0 ? usedBytes / 1_048_576 : 0;
};

const measureClaimMs = (keys: number): number => {
	const startedAt = performance.now();
	applyClaims(keys);
	return performance.now() - startedAt;
};

const makeMember = (index: number): MemberUpdate => ({
	id: `entry-${index}`,
	address: `10.0.${Math.floor(index / 250)}.${index % 250}:7400`,
	availabilityZone: `region-1-zone-${index % 4}`,
	region: 'region-1',
	epoch: 1_796_256_000_000 + index,
	incarnation: 0,
	status: 'alive',
});

/** Bytes that a message between peers has beside its parameters: authentication code, JSON-RPC and the headers of two segments. */
const envelopeBytes = 22 + 60 + 52;

/** Makes a state with this many members and no updates left to send. */
const makeSettledState = (members: number): MembershipState => {
	let state = applyUpdates(makeMembershipState(makeMember(0)), Array.from({length: members - 1}, (_value, index) => makeMember(index + 1)), 0, defaultMembershipOptions);
	while (state.rumors.length > 0) {
		state = takeRumors(state, defaultMembershipOptions).state;
	}

	return state;
};

/** Computes the bytes per second of a daemon that probes one member and is probed by one, with updates at the rate expected for the fleet size. */
const measureProbeBytes = (members: number): number => {
	let state = makeSettledState(members);
	const random = makeRandom(1);
	// Per day, 850 daemons in a fleet of 870 fail and are replaced, in proportion for other sizes. Each yields two updates.
	const updatesPerSecond = (850 / 86_400) * (members / 870) * 2;
	const seconds = 2000;
	let bytes = 0;
	let dueUpdates = 0;
	for (let second = 0; second < seconds; second++) {
		dueUpdates += updatesPerSecond;
		while (dueUpdates >= 1) {
			dueUpdates--;
			const index = 1 + Math.floor(random() * (members - 1));
			state = applyUpdates(state, [{...makeMember(index), epoch: 1_796_256_000_000 + (second * 1000)}], 0, defaultMembershipOptions);
		}

		for (let message = 0; message < 4; message++) {
			const taken = takeRumors(state, defaultMembershipOptions);
			state = taken.state;
			bytes += envelopeBytes + JSON.stringify({updates: [state.self, ...taken.updates], versions: {default: 123_456}}).length;
		}

		state = chooseProbeTarget(state, random).state;
	}

	return bytes / seconds;
};

/** Measures the computation of one probe with two received updates, in microseconds. */
const measureProbeMicroseconds = (members: number): number => {
	let state = makeSettledState(members);
	const random = makeRandom(1);
	const updates = [makeMember(0), makeMember(1)];
	return timeCalls(2000, () => {
		state = chooseProbeTarget(state, random).state;
		state = takeRumors(state, defaultMembershipOptions).state;
		state = applyUpdates(state, updates, 0, defaultMembershipOptions);
	});
};

const makeLargeConfiguration = (entries: number): string => [
	makeConfigurationText(),
	...Array.from({length: entries}, (_value, index) => `[[backend]]\nid = "engine-${index}"\naddress = "10.0.0.1:9000"\navailability_zone = "zone-1"\nmachine_class = "a"\nservices = ["assistant"]\n`),
].join('\n');

/** Measures parsing and validating a configuration with this many backend servers, in milliseconds. */
const measureConfigurationText = (entries: number): number => {
	const text = makeLargeConfiguration(entries);
	const startedAt = performance.now();
	readToml(text, configurationSchema);
	return performance.now() - startedAt;
};

/** Measures applying this many records of the configuration stream, in milliseconds. */
const measureConfigurationRecords = (records: number): number => {
	const startedAt = performance.now();
	let state = emptyConfigurationState;
	for (let offset = 0; offset < records; offset++) {
		state = applyConfigurationRecord(state, {
			offset: offset as LogOffset,
			appendedAt: 0,
			record: {
				kind: 'configuration', id: `id-${offset}`, team: 'default', base: offset - 1, toml: '', by: 'x', at: 0,
			},
		});
	}

	return performance.now() - startedAt;
};

export const measureCoreSlopes = async (): Promise<Slope[]> => {
	const slopes = [
		await measureSlope({
			name: 'routing decision, 1,000 prefixes', with: 'engines', unit: 'µs', sizes: [8, 64, 200, 494], repeats, measure: size => measureRouting(size, 1000),
		}),
		await measureSlope({
			name: 'routing decision, 494 engines', with: 'prefixes', unit: 'µs', sizes: [100, 300, 1000, 3000], repeats, measure: size => measureRouting(494, size),
		}),
		await measureSlope({
			name: 'place in line taken and given', with: 'waiting requests', unit: 'µs', sizes: [10, 100, 300, 1000], repeats, measure: measureQueue,
		}),
		await measureSlope({
			name: 'limit of an account', with: 'calls, in thousands', unit: 'µs a call', sizes: [1, 10, 100], repeats, measure: size => timeCalls(size * 1000, index => limitRate(index, 1, index, {perSecond: 100, burst: 10})),
		}),
		await measureSlope({
			name: 'memory of claims', with: 'keys', unit: 'MB', sizes: [1000, 10_000, 50_000, 100_000], repeats: 3, measure: measureClaimMemory,
		}),
		await measureSlope({
			name: 'reading claims', with: 'keys', unit: 'ms', sizes: [1000, 10_000, 50_000, 100_000], repeats: 3, measure: measureClaimMs,
		}),
		await measureSlope({
			name: 'membership traffic of one daemon', with: 'members', unit: 'bytes/s', sizes: [9, 30, 100, 174, 300, 870], repeats: 3, measure: measureProbeBytes,
		}),
		await measureSlope({
			name: 'membership fold of one probe', with: 'members', unit: 'µs', sizes: [9, 30, 100, 174, 300, 870], repeats, measure: measureProbeMicroseconds,
		}),
		await measureSlope({
			name: 'configuration read and checked', with: 'entries', unit: 'ms', sizes: [10, 100, 500, 1000], repeats, measure: measureConfigurationText,
		}),
		await measureSlope({
			name: 'configuration stream folded', with: 'records', unit: 'ms', sizes: [100, 1000, 4500], repeats, measure: measureConfigurationRecords,
		}),
	];
	return slopes;
};
