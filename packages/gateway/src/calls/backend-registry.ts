/** State of each backend server as known to this daemon: directory entry, connections, load, speed and failures. */
import {setMaxListeners} from 'node:events';
import net from 'node:net';
import {type BackendEntry, type Directory} from '@shallotpass/core/directory/types.js';
import {type SpeedReading} from '@shallotpass/core/placement/current-speed.js';
import {
	emptyPrefillRecord, emptyPrefillSample, type PrefillSample, type PrefillRecord, type LatencyModel,
} from '@shallotpass/core/placement/engine-latency.js';
import {type Brittleness} from '@shallotpass/core/limits/brittleness.js';
import {type BackendLimit} from '@shallotpass/core/limits/backend-limit.js';
import {type KnownHolding} from '@shallotpass/core/limits/plan-sharing.js';
import {type EndedWaits} from '@shallotpass/core/retries/relative-waits.js';
import {type Unsoundness} from '@shallotpass/core/retries/unsoundness.js';
import {type KnownParts, makeKnownParts} from '@shallotpass/core/placement/known-parts.js';
import {emptyPlainSample, type PlainRecord, type PlainSample} from '@shallotpass/core/placement/plain-durations.js';
import {hashText} from '@shallotpass/core/routing/rank-by-rendezvous.js';
import {BackendAgent, type BackendAgentOptions, type OpenConnection} from './backend-agent.js';
import {countVersions, type VersionsByService} from './count-versions.js';

/** Number of ranks for which pending prompt tokens are counted separately. Less urgent ranks are counted with the last one. */
export const trackedRankCount = 3;

/** Assumed duration of a plain call until one has been measured. The operators' specifications give 21 to 43 ms. */
const initialPlainMs = 30;

/** Time without an answer after which a backend server is sent a call to renew what is known of it. */
export const firstAskAfterMs = 3000;

export type BackendState = {
	entry: BackendEntry;
	/** Identifies this start of the backend server: id, start time and address. */
	readonly incarnation: string;
	readonly incarnationHash: number;
	readonly agent: BackendAgent;
	/** Running calls, and prompt tokens awaiting their first event by rank, sent by this daemon. */
	running: number;
	readonly pendingTokens: number[];
	/** The same for the other daemons, as last reported. */
	othersRunning: number;
	othersPendingTokens: number[];
	/** Prefill as measured by this daemon, and as reported by the others. */
	prefill: PrefillRecord;
	othersPrefill: PrefillSample;
	/** Average duration of plain calls, and when it was last renewed, on the steady clock. */
	plainMs: number;
	plainAt: number;
	/** Durations of plain calls that found a free slot, as measured by this daemon, and as reported by the others while these are used. */
	plainCalls: PlainRecord;
	othersPlain: PlainSample;
	/** Last statement about the current speed of its machine. Undefined if it has made none since its start. */
	speed: SpeedReading | undefined;
	/** Calls that waited for a slot according to its last response that told. Undefined if none has. */
	waiting: number | undefined;
	/** Fraction of recent calls that failed, from 0 to 1. */
	failureRate: number;
	/** No call is sent to it before this time on the steady clock. */
	suspendedUntil: number;
	/** Consecutive failed connection attempts. */
	failedConnects: number;
	/** When an attempt to open a connection or a call last failed, on the steady clock. */
	failedAt: number;
	/** When data was last received from it, on the steady clock. */
	lastReadAt: number;
	/** When the first call was sent that got no response since data was last received. Earlier than `lastReadAt` if there is none. */
	firstUnansweredAt: number;
	/** When it was last sent a call because nothing was heard from it, on the steady clock, and the time until the next one. */
	askedAt: number;
	askAfterMs: number;
	/** Send times of the calls without a response, oldest first. */
	readonly unansweredSince: Map<symbol, number>;
	/** Send times of the calls without a first event or a whole plain answer, oldest first. */
	readonly withoutContentSince: Map<symbol, number>;
	/** Whether the store no longer lists it, but its entry may only have expired during an outage. */
	isMissing: boolean;
	/** Whether it was removed from the directory or has restarted. */
	isGone: boolean;
	/** Aborted when it starts leaving or is removed from the directory. */
	readonly leaving: AbortController;
	/** Earliest time at which the store may have accepted that it leaves or its removal, on the steady clock. */
	leavingSince: number | undefined;
	/** When it is expected to stop, on the steady clock. */
	leavesAt: number | undefined;
	/** Prompt parts that it is expected to have cached. */
	readonly knownParts: KnownParts;
	/** When this daemon first read of it, on the steady clock. */
	readonly joinedAt: number;
	/** What it stated about its limit, and what this daemon may send of it. Undefined if it has never stated one. */
	limit: BackendLimit | undefined;
	/** What it stated about calls for which it has no room. Undefined if it has never stated that it is brittle. */
	brittleness: Brittleness | undefined;
	/** Answers of it that were none. Undefined if the last one was sound. */
	unsoundness: Unsoundness | undefined;
	/** Whether a body of it that nobody uses is read far, to find out whether it ends. */
	isBodyExamined: boolean;
	/** Last waits of calls here that came to their end, by what they waited for. */
	readonly endedWaits: EndedWaits;
	/** Tokens that the running calls of this daemon may take in its cache. */
	runningTokens: number;
	/** This daemon's part in its limit. */
	holding: KnownHolding | undefined;
};

export const formatIncarnation = (entry: BackendEntry): string => `${entry.id}/${entry.startedAt ?? 0}/${entry.address}`;

export type BackendRegistry = {
	readonly byId: Map<string, BackendState>;
	/** Ready backend servers by service. */
	readonly byService: Map<string, BackendState[]>;
	/** What serves of each software version, by service. */
	versionsByService: VersionsByService;
	/** Latency model by service, also assumed for new backend servers. */
	readonly latencyModels: Map<string, LatencyModel>;
	/** Mean of the stated slowness by service, over the servers and the time. The latency models leave it out. */
	readonly meanSlowness: Map<string, number>;
	/** Bytes of the largest whole body of a plain answer, by service. */
	readonly largestBodies: Map<string, number>;
	/** Open connections to all of them, also to those that were removed. */
	openConnections: number;
	readonly openConnection: OpenConnection;
	readonly isUnnamedRefusal: NonNullable<BackendAgentOptions['isUnnamedRefusal']>;
	/** Called with the incarnation of a backend server to which a connection was opened. */
	onConnected: (incarnation: string) => void;
};

export const makeBackendRegistry = (openConnection: OpenConnection = net.connect, isUnnamedRefusal: BackendRegistry['isUnnamedRefusal'] = () => false): BackendRegistry => ({
	byId: new Map(), byService: new Map(), versionsByService: new Map(), latencyModels: new Map(), meanSlowness: new Map(), largestBodies: new Map(), openConnections: 0, openConnection, isUnnamedRefusal, onConnected() {/* set by the owner */},
});

/** Each call at the backend server listens, so their number has no bound. */
const makeLeavingController = (): AbortController => {
	const controller = new AbortController();
	setMaxListeners(0, controller.signal);
	return controller;
};

const makeBackendState = (entry: BackendEntry, registry: BackendRegistry, now: number): BackendState => ({
	entry,
	incarnation: formatIncarnation(entry),
	incarnationHash: hashText(formatIncarnation(entry)),
	agent: new BackendAgent({
		openConnection: registry.openConnection,
		isUnnamedRefusal: registry.isUnnamedRefusal,
		onOpen() {
			registry.openConnections++;
		},
		onClose() {
			registry.openConnections--;
		},
		onConnected() {
			registry.onConnected(formatIncarnation(entry));
		},
	}),
	running: 0,
	pendingTokens: Array.from<number>({length: trackedRankCount}).fill(0),
	othersRunning: 0,
	othersPendingTokens: Array.from<number>({length: trackedRankCount}).fill(0),
	prefill: emptyPrefillRecord,
	othersPrefill: emptyPrefillSample,
	plainMs: initialPlainMs,
	plainAt: Number.NEGATIVE_INFINITY,
	plainCalls: emptyPrefillRecord,
	othersPlain: emptyPlainSample,
	speed: undefined,
	waiting: undefined,
	failureRate: 0,
	suspendedUntil: 0,
	failedConnects: 0,
	failedAt: Number.NEGATIVE_INFINITY,
	lastReadAt: now,
	firstUnansweredAt: Number.NEGATIVE_INFINITY,
	askedAt: Number.NEGATIVE_INFINITY,
	askAfterMs: firstAskAfterMs,
	unansweredSince: new Map(),
	withoutContentSince: new Map(),
	isMissing: false,
	isGone: false,
	leaving: makeLeavingController(),
	leavingSince: undefined,
	leavesAt: undefined,
	knownParts: makeKnownParts(),
	joinedAt: now,
	limit: undefined,
	brittleness: undefined,
	unsoundness: undefined,
	isBodyExamined: false,
	endedWaits: {},
	runningTokens: 0,
	holding: undefined,
});

/** Closes idle connections, as the address may belong to another backend server by now. */
const closeIdleConnections = (state: BackendState): void => {
	for (const sockets of Object.values(state.agent.freeSockets)) {
		for (const socket of sockets ?? []) {
			socket.destroy();
		}
	}
};

type DepartureTimes = {
	readonly now: number;
	/** Time on the steady clock before which the directory showed none of the changes. */
	readonly changedAfter: number;
	/** How long a leaving backend server still serves calls if its entry does not state it. */
	readonly drainMs: number;
};

const markLeaving = (state: BackendState, {now, changedAfter, drainMs}: DepartureTimes): void => {
	state.leavingSince ??= changedAfter;
	state.leavesAt ??= now + (state.entry.leavesInMs ?? drainMs);
	state.leaving.abort();
};

export type RegistryChange = {
	readonly kind: 'joined' | 'restarted' | 'leaving' | 'gone';
	readonly entry: BackendEntry;
};

/** Applies the directory to the registry. Running calls keep the state of the backend server they were sent to. */
export const applyDirectory = (registry: BackendRegistry, directory: Directory, times: DepartureTimes): RegistryChange[] => {
	const {now} = times;
	const changes: RegistryChange[] = [];
	for (const [id, state] of registry.byId) {
		const listed = directory.backends.get(id);
		if (listed === undefined || formatIncarnation(listed.entry) !== state.incarnation) {
			state.isGone = true;
			if (listed === undefined) {
				// The backend server may still serve its running calls until the drain time has passed.
				markLeaving(state, times);
			}

			closeIdleConnections(state);
			registry.byId.delete(id);
			changes.push({kind: listed === undefined ? 'gone' : 'restarted', entry: state.entry});
		}
	}

	for (const [id, {entry, missingUntil}] of directory.backends) {
		const state = registry.byId.get(id);
		if (state === undefined) {
			const joined = makeBackendState(entry, registry, now);
			joined.isMissing = missingUntil !== undefined;
			registry.byId.set(id, joined);
			changes.push({kind: 'joined', entry});
			if (entry.isLeaving) {
				markLeaving(joined, times);
			}

			continue;
		}

		if (entry.isLeaving && !state.entry.isLeaving) {
			changes.push({kind: 'leaving', entry});
		}

		state.entry = entry;
		state.isMissing = missingUntil !== undefined;
		if (entry.isLeaving) {
			markLeaving(state, times);
		}
	}

	registry.versionsByService = countVersions(registry.byId.values());
	registry.byService.clear();
	for (const state of registry.byId.values()) {
		if (state.entry.isLeaving) {
			continue;
		}

		const group = registry.byService.get(state.entry.service) ?? [];
		group.push(state);
		registry.byService.set(state.entry.service, group);
	}

	return changes;
};

export type ArrivalBounds = {
	/** Time at which a call that is sent now arrives at the latest, on the steady clock. */
	readonly arrivesBy: number;
	readonly drainMs: number;
};

/** Whether a call may still be sent to the backend server: it is ready, or the call arrives before its drain time has passed. */
export const mayReceiveCalls = ({isGone, leavingSince}: BackendState, {arrivesBy, drainMs}: ArrivalBounds): boolean =>
	leavingSince === undefined ? !isGone : arrivesBy <= leavingSince + drainMs;
