/** Faults of backend servers: they leave, state limits, fall over or misbehave for a while. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type BackendStandIn} from '@shallotpass/platform/stand-ins/backend-stand-in.js';
import {announceBackend, placesByService, removeBackend} from '@shallotpass/platform/stand-ins/platform-fixture.js';
import {drawPause, isKeptStream} from './kept-streams.js';
import {type BackendFault, type Fault, type Notice} from './plan-faults.js';
import {
	announceReturn, lastingVersion, type SoakBackend, type SoakCluster,
} from './soak-cluster.js';

/** Time within which a configuration takes effect and a leaving backend server stops receiving calls. Matches the bounds in the daemons' settings. */
export const propagationBoundMs = 2000;

/** Tolerance for a busy machine. Benchmarks measure the bound itself; this check must not depend on the load. */
export const boundMarginMs = 1500;

/** Time for which a backend server keeps serving after its removal from the store, as if it drained. */
const servingAfterRemovalMs = 2500;

/** Interval between the events of an engine that leaves with notice: a run then lasts longer than the drain time, but ends before its deadline. */
const eventIntervalWithNoticeMs = 120;

/** Makes runs of the engine long, and leaves no room for them elsewhere if the notice says so. Returns a function that undoes both. */
const prepareNotice = (cluster: SoakCluster, engine: BackendStandIn, {hasRoom, lostOrders}: Notice): (() => void) => {
	const engines = cluster.backends.filter(({service}) => service === 'llm').map(({standIn}) => standIn);
	const {delayMs} = engine;
	const behavior = lostOrders ?? (hasRoom ? 'moves' : 'keeps');
	engine.delayMs = eventIntervalWithNoticeMs;
	for (const standIn of engines) {
		standIn.moveBehavior = behavior;
		standIn.hasRoomForCopies = hasRoom;
	}

	return () => {
		engine.delayMs = delayMs;
		for (const standIn of engines) {
			standIn.moveBehavior = 'moves';
			standIn.hasRoomForCopies = true;
		}
	};
};

/** Lets the backend server state no limit any more. */
const endLimit = (cluster: SoakCluster, {standIn}: SoakBackend): void => {
	const span = cluster.limits.find(({backend, until}) => backend === standIn.id && until === Infinity);
	if (span !== undefined) {
		span.until = performance.now();
		standIn.limit = undefined;
	}
};

/** Removes a backend server from the store, with or without an announcement, and later adds it again as a restarted one. */
export const removeBackendTemporarily = async (cluster: SoakCluster, {backend: index, isTold, forMs, notice}: Fault & {kind: 'leave'}): Promise<void> => {
	const backend = cluster.backends[index]!;
	// At most one backend server per service may leave at a time, so that callers are still served.
	if (backend.isLeaving || cluster.backends.some(other => other.service === backend.service && other.isLeaving)) {
		return;
	}

	const {store} = cluster.fixture;
	const entry = {
		service: backend.service, address: backend.relay.address, born: backend.born, version: backend.standIn.softwareVersion ?? lastingVersion,
	};
	backend.isLeaving = true;
	const endNotice = notice === undefined || backend.service === 'app' ? undefined : prepareNotice(cluster, backend.standIn, notice);
	if (isTold) {
		announceBackend(store, backend.standIn, {...entry, isLeaving: true, leavesMs: notice?.leavesMs});
	} else {
		removeBackend(store, backend.standIn);
	}

	// What it stated belongs to this start.
	backend.standIn.room = Infinity;
	backend.standIn.brittle = undefined;
	const leavingSince = performance.now();
	await sleep(forMs + boundMarginMs);
	removeBackend(store, backend.standIn);
	await sleep(servingAfterRemovalMs);
	cluster.bans.push({
		kind: 'backend', backend: backend.standIn.id, from: leavingSince + propagationBoundMs + boundMarginMs, until: performance.now(),
	});
	endNotice?.();
	endLimit(cluster, backend);
	announceReturn(cluster, backend);
	backend.isLeaving = false;
};

export const stateLimit = async (cluster: SoakCluster, {backend: index, perSecond, forMs}: Fault & {kind: 'limit'}): Promise<void> => {
	const backend = cluster.backends[index]!;
	// A limit belongs to one start of a backend server, and one that leaves starts again.
	if (backend.isLeaving || backend.standIn.limit !== undefined) {
		return;
	}

	backend.standIn.limit = String(perSecond);
	cluster.limits.push({
		backend: backend.standIn.id, perSecond, from: performance.now(), until: Infinity,
	});
	await sleep(forMs);
	endLimit(cluster, backend);
};

/** Time from the first statement until the backend servers let no calls wait, and margin for a busy machine. */
const brittleSettleMs = 3000;

export const makeBrittle = async (cluster: SoakCluster, {service, rejections, forMs}: Fault & {kind: 'brittle'}): Promise<void> => {
	const backends = cluster.backends.filter(backend => backend.service === service && !backend.isLeaving && backend.standIn.brittle === undefined);
	for (const {standIn} of backends) {
		standIn.brittle = String(rejections);
	}

	await sleep(brittleSettleMs + boundMarginMs);
	for (const {standIn, isLeaving} of backends) {
		standIn.room = isLeaving ? Infinity : placesByService[service];
	}

	const span = {
		backends: backends.map(({standIn}) => standIn.id), rejections, from: performance.now(), until: Infinity,
	};
	cluster.brittleSpans.push(span);
	await sleep(forMs);
	span.until = performance.now();
	for (const {standIn} of backends) {
		standIn.room = Infinity;
		standIn.brittle = undefined;
	}
};

/** Endless bytes of a plain answer go to the caller like those of a large one, so plain services send only others. */
const toFaultOf = (service: SoakBackend['service'], how: BackendFault): BackendFault => service === 'app' && (how === 'endless_body' || how === 'endless_comments') ? 'endless_error' : how;

export const applyBackendFault = async (cluster: SoakCluster, fault: Fault & {kind: 'misbehave'}): Promise<void> => {
	const {standIn, service} = cluster.backends[fault.backend]!;
	standIn.failureMode = toFaultOf(service, fault.how);
	const from = performance.now();
	await sleep(fault.forMs);
	standIn.failureMode = undefined;
	cluster.backendFaults.push({backend: standIn.id, from, until: performance.now()});
};

/** Returns what decides whether an engine refuses a stream: one that has run elsewhere finds no room. */
const makeRefusalOfSecondRuns = () => {
	const firstEngines = new Map<string, string>();
	return (engine: string, requestId: string): boolean => {
		if (!isKeptStream(requestId)) {
			return false;
		}

		const first = firstEngines.get(requestId) ?? engine;
		firstEngines.set(requestId, first);
		return first !== engine;
	};
};

/** Lets engines send nothing for a while in the middle of streams and go on, while the other engines are of no help, or of some. */
export const pauseStreams = async (cluster: SoakCluster, {engines: indexes, others, forMs}: Fault & {kind: 'pause_streams'}): Promise<void> => {
	const engines = cluster.backends.filter(({service}) => service === 'llm');
	const isRefused = makeRefusalOfSecondRuns();
	for (const [index, {standIn}] of engines.entries()) {
		if (indexes.includes(index) || others === 'silent') {
			standIn.findPauseMs = (event, requestId) => {
				const pause = drawPause(requestId);
				return isKeptStream(requestId) && event === pause.event - 1 ? pause.forMs : 0;
			};
		}

		if (others === 'full') {
			standIn.shouldRefuse = ({id}) => isRefused(standIn.id, id);
		}
	}

	const other = engines.findIndex((_engine, index) => !indexes.includes(index));
	const left = (others === 'leaving' || others === 'absent') && other !== -1
		? removeBackendTemporarily(cluster, {
			kind: 'leave', backend: cluster.backends.indexOf(engines[other]!), isTold: others === 'leaving', forMs,
		})
		: undefined;
	await sleep(forMs);
	for (const {standIn} of engines) {
		standIn.findPauseMs = undefined;
		standIn.shouldRefuse = undefined;
	}

	await left;
};
