/** Injects planned faults into a running cluster and reverts them. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Relay} from '@shallotpass/stand-ins/relay.js';
import {type BackendStandIn} from '@shallotpass/platform/stand-ins/backend-stand-in.js';
import {
	announceBackend, placesByService, putAccountKeys, secondKey, removeBackend,
} from '@shallotpass/platform/stand-ins/platform-fixture.js';
import {shopKey} from '@shallotpass/platform/stand-ins/send-call.js';
import {noDatagramFaults} from './daemon-links.js';
import {limitedTenant} from './limited-account.js';
import {type Fault, type LinkFault, type Notice} from './plan-faults.js';
import {
	announceReturn, lastingVersion, openLinks, type SoakBackend, type SoakCluster, type SoakDaemon,
} from './soak-cluster.js';

/** Latency that a slow link adds in each direction. */
const addedLatencyMs = 150;

/** Time within which a configuration takes effect and a leaving backend server stops receiving calls. Matches the bounds in the daemons' settings. */
const propagationBoundMs = 2000;

/** Tolerance for a busy machine. Benchmarks measure the bound itself; this check must not depend on the load. */
const boundMarginMs = 1500;

/** Time for which a backend server keeps serving after its removal from the store, as if it drained. */
const servingAfterRemovalMs = 2500;

/** Disrupts the links for the given time, then restores them. */
const disruptLinks = async (relays: readonly Relay[], mode: LinkFault, forMs: number): Promise<void> => {
	for (const relay of relays) {
		if (mode === 'slow') {
			relay.setDelay(addedLatencyMs);
		} else {
			relay.setMode(mode);
		}
	}

	await sleep(forMs);
	for (const relay of relays) {
		relay.setDelay(0);
		// Closes hanging connections so that both ends notice.
		relay.setMode('cut');
		relay.setMode('open');
	}
};

/** Runs the action and records its duration as a disturbance of the daemon, or of all daemons if none is given. */
const recordDisturbance = async (cluster: SoakCluster, daemon: string | undefined, action: () => Promise<void>): Promise<void> => {
	const from = performance.now();
	// The end stays open until the action is over, because the history may be checked in the meantime.
	const disturbance = {daemon, from, until: Number.POSITIVE_INFINITY};
	cluster.disturbances.push(disturbance);
	await action();
	disturbance.until = performance.now();
};

/** Runs the action and records the disturbance, unless another fault already affects the daemon. */
const withUndisturbedDaemon = async (cluster: SoakCluster, index: number, action: (daemon: SoakDaemon) => Promise<void>): Promise<void> => {
	const daemon = cluster.daemons[index]!;
	if (daemon.hasActiveFault) {
		return;
	}

	daemon.hasActiveFault = true;
	try {
		await recordDisturbance(cluster, daemon.process.id, async () => action(daemon));
	} finally {
		daemon.hasActiveFault = false;
	}
};

const restartDaemon = async (daemon: SoakDaemon, signal: 'SIGTERM' | 'SIGKILL', forMs: number): Promise<void> => {
	await daemon.process.end(signal);
	await sleep(forMs);
	daemon.process.start();
};

/** Interval between the events of an engine that leaves with notice: a run then lasts longer than the drain time, but ends before its deadline. */
const eventIntervalWithNoticeMs = 120;

/** Makes runs of the engine long, and leaves no room for them elsewhere if the notice says so. Returns a function that undoes both. */
const prepareNotice = (cluster: SoakCluster, engine: BackendStandIn, {hasRoom}: Notice): (() => void) => {
	const engines = cluster.backends.filter(({service}) => service === 'llm').map(({standIn}) => standIn);
	const {delayMs} = engine;
	const behavior = hasRoom ? 'moves' : 'keeps';
	engine.delayMs = eventIntervalWithNoticeMs;
	for (const standIn of engines) {
		standIn.moveBehavior = behavior;
	}

	return () => {
		engine.delayMs = delayMs;
		for (const standIn of engines) {
			standIn.moveBehavior = 'moves';
		}
	};
};

/** Removes a backend server from the store, with or without an announcement, and later adds it again as a restarted one. */
const removeBackendTemporarily = async (cluster: SoakCluster, {backend: index, isTold, forMs, notice}: Fault & {kind: 'leave'}): Promise<void> => {
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

/** Lets the backend server state no limit any more. */
const endLimit = (cluster: SoakCluster, {standIn}: SoakBackend): void => {
	const span = cluster.limits.find(({backend, until}) => backend === standIn.id && until === Infinity);
	if (span !== undefined) {
		span.until = performance.now();
		standIn.limit = undefined;
	}
};

const stateLimit = async (cluster: SoakCluster, {backend: index, perSecond, forMs}: Fault & {kind: 'limit'}): Promise<void> => {
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

/** Writes a new configuration version with or without the second key. A ban of the second key from an earlier version ends now. */
const changeAccountKeys = (cluster: SoakCluster, hasSecondKey: boolean): void => {
	cluster.version++;
	putAccountKeys(cluster.fixture.store, cluster.version, hasSecondKey ? [shopKey, secondKey] : [shopKey], [limitedTenant]);
	const now = performance.now();
	for (const ban of cluster.bans.filter(({kind, until}) => kind === 'key' && until === Number.POSITIVE_INFINITY)) {
		cluster.bans[cluster.bans.indexOf(ban)] = {...ban, until: now};
	}

	if (!hasSecondKey) {
		cluster.bans.push({
			kind: 'key', key: secondKey, from: now + propagationBoundMs + boundMarginMs, until: Number.POSITIVE_INFINITY,
		});
	}
};

/** Time from the first statement until the backend servers let no calls wait, and margin for a busy machine. */
const brittleSettleMs = 3000;

const makeBrittle = async (cluster: SoakCluster, {service, rejections, forMs}: Fault & {kind: 'brittle'}): Promise<void> => {
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

/** Makes the links of the daemons to all backend servers fail for the given time. Daemons that are cut off already are left as they are. */
const isolateDaemons = async (cluster: SoakCluster, {daemons: indexes, how, forMs}: Fault & {kind: 'cut_off'}): Promise<void> => {
	const cutNow = new Set(cluster.cuts.filter(({until}) => until === Infinity).flatMap(({daemons}) => daemons));
	const daemons = indexes.map(index => cluster.daemons[index]!).filter(({process}) => !cutNow.has(process.id));
	const cut = {daemons: daemons.map(({process}) => process.id), from: performance.now(), until: Infinity};
	cluster.cuts.push(cut);
	for (const daemon of daemons) {
		daemon.linkFailure = how;
		openLinks(daemon, cluster);
		for (const relay of daemon.links.values()) {
			relay.setMode(how === 'refused' ? 'open' : how);
		}
	}

	await sleep(forMs);
	for (const daemon of daemons) {
		for (const relay of daemon.links.values()) {
			if (how === 'silent') {
				// Closes hanging connections so that both ends notice.
				relay.setMode('cut');
			}

			relay.setMode('open');
		}

		daemon.linkFailure = undefined;
		openLinks(daemon, cluster);
	}

	cut.until = performance.now();
};

/** Lets datagrams between daemons be lost for the given time. */
const loseDatagrams = async (cluster: SoakCluster, {daemons: indexes, lossShare, isSplit, forMs}: Fault & {kind: 'lose_datagrams'}): Promise<void> => {
	const inside = indexes.map(index => cluster.daemons[index]!);
	const outside = cluster.daemons.filter(daemon => !inside.includes(daemon));
	const toHosts = (daemons: readonly SoakDaemon[]): string[] => daemons.map(({process}) => process.settings.listen.peers.split(':')[0]!);
	for (const {process} of inside) {
		process.setDatagramFaults({lossShare, unreachable: isSplit ? toHosts(outside) : []});
	}

	for (const {process} of isSplit ? outside : []) {
		process.setDatagramFaults({lossShare: 0, unreachable: toHosts(inside)});
	}

	await sleep(forMs);
	for (const {process} of cluster.daemons) {
		process.setDatagramFaults(noDatagramFaults);
	}
};

const applyBackendFault = async (cluster: SoakCluster, fault: Fault & {kind: 'misbehave'}): Promise<void> => {
	const {standIn} = cluster.backends[fault.backend]!;
	standIn.failureMode = fault.how;
	await sleep(fault.forMs);
	standIn.failureMode = undefined;
};

/** Injects a fault. Resolves when it has been reverted. */
export const injectFault = async (cluster: SoakCluster, fault: Fault): Promise<void> => {
	cluster.addNote(`${Math.round(performance.now())} ${JSON.stringify(fault)}`);
	switch (fault.kind) {
		case 'pause': {
			await withUndisturbedDaemon(cluster, fault.daemon, async ({process}) => {
				process.send('SIGSTOP');
				await sleep(fault.forMs);
				process.send('SIGCONT');
			});
			return;
		}

		case 'kill': {
			await withUndisturbedDaemon(cluster, fault.daemon, async daemon => restartDaemon(daemon, 'SIGKILL', fault.forMs));
			return;
		}

		case 'stop': {
			await withUndisturbedDaemon(cluster, fault.daemon, async daemon => restartDaemon(daemon, 'SIGTERM', fault.forMs));
			return;
		}

		case 'reload': {
			const {process} = cluster.daemons[fault.daemon]!;
			process.writeSettings('whole', String(performance.now()));
			if (fault.isTold) {
				process.send('SIGHUP');
			}

			return;
		}

		case 'spoil_settings': {
			await withUndisturbedDaemon(cluster, fault.daemon, async ({process}) => {
				process.writeSettings('cut_short');
				process.send('SIGHUP');
				await sleep(fault.forMs);
				process.writeSettings('whole');
				process.send('SIGHUP');
			});
			return;
		}

		case 'step_clock': {
			await withUndisturbedDaemon(cluster, fault.daemon, async ({process}) => {
				process.setClock(fault.stepMs);
				await sleep(fault.forMs);
				process.setClock(0);
			});
			return;
		}

		case 'store': {
			const daemons = fault.daemon === undefined ? cluster.daemons : [cluster.daemons[fault.daemon]!];
			const id = fault.daemon === undefined ? undefined : daemons[0]!.process.id;
			await recordDisturbance(cluster, id, async () => disruptLinks(daemons.map(({store}) => store), fault.how, fault.forMs));
			return;
		}

		case 'cloud': {
			await disruptLinks(cluster.daemons.map(({cloud}) => cloud), fault.how, fault.forMs);
			return;
		}

		case 'link': {
			const {relay, standIn} = cluster.backends[fault.backend]!;
			const from = performance.now();
			await disruptLinks([relay], fault.how, fault.forMs);
			cluster.linkDisturbances.push({backend: standIn.id, from, until: performance.now()});
			return;
		}

		case 'misbehave': {
			await applyBackendFault(cluster, fault);
			return;
		}

		case 'leave': {
			await removeBackendTemporarily(cluster, fault);
			return;
		}

		case 'limit': {
			await stateLimit(cluster, fault);
			return;
		}

		case 'brittle': {
			await makeBrittle(cluster, fault);
			return;
		}

		case 'cut_off': {
			await isolateDaemons(cluster, fault);
			return;
		}

		case 'lose_datagrams': {
			await recordDisturbance(cluster, undefined, async () => loseDatagrams(cluster, fault));
			return;
		}

		case 'configure': {
			changeAccountKeys(cluster, fault.hasSecondKey);
		}
	}
};
