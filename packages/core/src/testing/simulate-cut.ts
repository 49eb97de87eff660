/** Simulates, in virtual time, daemons of which some lose their paths to all backend servers, while some backend servers crash. */
import {choosePeer, type PeerCandidate} from '../paths/choose-peer.js';
import {
	initialPathState, type PathState, recordConnectFailure, recordConnectSuccess,
} from '../paths/path-state.js';

export type CutPlan = {
	readonly daemons: number;
	readonly zones: number;
	readonly backends: number;
	/** Daemons that are cut off, by index. */
	readonly cut: readonly number[];
	/** Whether open connections live on while new ones are refused. */
	readonly hasOpenConnections: boolean;
	readonly cutMs: number;
	/** Backend servers that crash during the cut, by index. */
	readonly crashed: readonly number[];
	/** Share of attempts to open a connection that fail on sound links. */
	readonly lossShare: number;
	readonly callIntervalMs: number;
	readonly random: () => number;
};

export type CutOutcome = {
	/** Calls at cut daemons from `settledMs` after the cut began until its end. */
	readonly cutCalls: number;
	readonly servedCutCalls: number;
	/** Whether a daemon that was not cut took itself for cut off for longer than `falseLossMs` at a time. */
	readonly hasFalseLoss: boolean;
	/** Longest time after the heal until a daemon sent calls directly again. */
	readonly regainedMs: number;
	/** Calls that each daemon served for others. */
	readonly servedForOthers: readonly number[];
};

const tickMs = 50;
const settledMs = 3000;
const falseLossMs = 1500;
const probeIntervalMs = 500;
const probesAtOnce = 2;
const beforeMs = 2000;
const afterMs = 4000;

/** Time after which reports of others are known. */
const reportMs = 300;

/** Number of daemons beyond which they report to relays only, and time for which a zone is then avoided. */
const maxDirectDaemons = 12;
const avoidMs = 1000;

/** Time for which a backend server gets no calls after a failed connection. */
const suspensionMs = 1000;

type SimulatedDaemon = {
	readonly index: number;
	readonly zone: string;
	/** Until when it avoids a zone. */
	readonly avoidedUntil: Map<string, number>;
	/** Until when it sends no calls to a backend server. */
	readonly suspendedUntil: Map<number, number>;
	paths: PathState;
	dataAt: number;
	nextCallAt: number;
	nextProbeAt: number;
	/** What the others have heard of it. */
	isReportedCutOff: boolean;
	nextReportAt: number;
	lostSince: number | undefined;
	served: number;
};

export const simulateCut = (plan: CutPlan): CutOutcome => {
	const {random} = plan;
	const cut = new Set(plan.cut);
	const crashed = new Set(plan.crashed);
	const names = Array.from({length: plan.backends}, (_value, index) => `backend-${index}`);
	const known = new Set(names);
	const healAt = beforeMs + plan.cutMs;
	const hasRelays = plan.daemons > maxDirectDaemons;
	const daemons: SimulatedDaemon[] = Array.from({length: plan.daemons}, (_value, index) => ({
		index, zone: `zone-${index % plan.zones}`, avoidedUntil: new Map(), suspendedUntil: new Map(), paths: initialPathState, dataAt: 0, nextCallAt: random() * plan.callIntervalMs,
		nextProbeAt: 0, isReportedCutOff: false, nextReportAt: random() * reportMs, lostSince: undefined, served: 0,
	}));
	let now = 0;
	let cutCalls = 0;
	let servedCutCalls = 0;
	let hasFalseLoss = false;
	let regainedMs = 0;

	const isCutNow = (daemon: SimulatedDaemon): boolean => cut.has(daemon.index) && now >= beforeMs && now < healAt;
	const isUp = (backend: number): boolean => now < beforeMs || !crashed.has(backend);
	const pickFrom = (backends: readonly number[]): number => backends[Math.floor(random() * backends.length)] ?? Math.floor(random() * plan.backends);
	const allBackends = Array.from({length: plan.backends}, (_value, index) => index);

	/** Picks a backend server that is not suspended at the daemon. */
	const pickBackend = ({suspendedUntil}: SimulatedDaemon): number => pickFrom(allBackends.filter(backend => (suspendedUntil.get(backend) ?? 0) <= now));

	const openConnection = (daemon: SimulatedDaemon, backend: number): boolean => {
		const isOpened = !isCutNow(daemon) && isUp(backend) && random() >= plan.lossShare;
		daemon.paths = isOpened
			? recordConnectSuccess(daemon.paths, {incarnation: names[backend]!, now, knownCount: plan.backends})
			: recordConnectFailure(daemon.paths, {
				incarnation: names[backend]!, startedAt: now, now, dataAt: daemon.dataAt, known,
			});
		if (!isOpened) {
			daemon.suspendedUntil.set(backend, now + suspensionMs);
		}

		return isOpened;
	};

	/** Sends a call over an open connection or a new one. A failure is followed by probes of three others, as in a daemon. */
	const serveDirectly = (daemon: SimulatedDaemon): boolean => {
		const backend = pickBackend(daemon);
		const canUseOpen = random() < 0.5 && isUp(backend) && (!isCutNow(daemon) || plan.hasOpenConnections);
		if (canUseOpen || openConnection(daemon, backend)) {
			daemon.dataAt = now;
			return true;
		}

		for (let count = 0; count < 3; count++) {
			openConnection(daemon, pickFrom(allBackends));
		}

		return false;
	};

	const listAvoidedZones = ({avoidedUntil}: SimulatedDaemon): Set<string> => new Set([...avoidedUntil].filter(([, until]) => until > now).map(([zone]) => zone));

	const serveThroughPeer = (daemon: SimulatedDaemon): boolean => {
		const tried = new Set<string>();
		for (let offer = 0; offer < 2; offer++) {
			const candidates: PeerCandidate[] = daemons
				.filter(peer => peer !== daemon && (hasRelays || !peer.isReportedCutOff) && !tried.has(String(peer.index)))
				.map(peer => ({
					address: String(peer.index), availabilityZone: peer.zone, room: undefined, inFlight: 0,
				}));
			const choice = choosePeer(candidates, {ownZone: daemon.zone, avoidedZones: listAvoidedZones(daemon), random});
			if (choice === undefined) {
				return false;
			}

			tried.add(choice.address);
			const peer = daemons[Number(choice.address)]!;
			if (peer.paths.lostSince === undefined && (serveDirectly(peer) || serveDirectly(peer))) {
				peer.served++;
				return true;
			}

			if (hasRelays && peer.paths.lostSince !== undefined) {
				daemon.avoidedUntil.set(peer.zone, now + avoidMs);
			}
		}

		return false;
	};

	const serve = (daemon: SimulatedDaemon): boolean =>
		(daemon.paths.lostSince === undefined && (serveDirectly(daemon) || serveDirectly(daemon))) || serveThroughPeer(daemon);

	const probe = (daemon: SimulatedDaemon): void => {
		if (daemon.paths.lostSince !== undefined && now >= daemon.nextProbeAt) {
			for (let count = 0; count < probesAtOnce; count++) {
				openConnection(daemon, pickFrom(allBackends.filter(backend => !daemon.paths.regained.has(names[backend]!))));
			}

			daemon.nextProbeAt = now + (daemon.paths.regained.size > 0 ? tickMs : probeIntervalMs);
		}
	};

	const evaluate = (daemon: SimulatedDaemon): void => {
		const isLost = daemon.paths.lostSince !== undefined;
		daemon.lostSince = isLost ? daemon.lostSince ?? now : undefined;
		if (isLost && !cut.has(daemon.index) && now - daemon.lostSince! > falseLossMs) {
			hasFalseLoss = true;
		}

		if (isLost && cut.has(daemon.index) && now >= healAt) {
			regainedMs = Math.max(regainedMs, now - healAt);
		}
	};

	for (; now < healAt + afterMs; now += tickMs) {
		for (const daemon of daemons) {
			if (now >= daemon.nextReportAt) {
				daemon.isReportedCutOff = daemon.paths.lostSince !== undefined;
				daemon.nextReportAt = now + reportMs;
			}

			probe(daemon);
			if (now >= daemon.nextCallAt) {
				daemon.nextCallAt = now + plan.callIntervalMs;
				const isServed = serve(daemon);
				if (isCutNow(daemon) && now >= beforeMs + settledMs) {
					cutCalls++;
					servedCutCalls += isServed ? 1 : 0;
				}
			}

			evaluate(daemon);
		}
	}

	return {
		cutCalls, servedCutCalls, hasFalseLoss, regainedMs, servedForOthers: daemons.map(({served}) => served),
	};
};
