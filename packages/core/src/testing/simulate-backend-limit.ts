/** Simulates daemons that share the limit of one backend server, in virtual time: calls, answers, reports, restarts and cuts. */
import {
	applyStatement, type BackendLimit, computeNeededLevel, computeRefill, isAlmostFull, isConfirmationDue, isLimited, refillLimit, returnCall, takeCall,
} from '../limits/backend-limit.js';
import {isNewerStatement, type LimitStatement} from '../limits/limit-statement.js';
import {
	followParticipants, mergeParticipants, type ParticipantHistory, type ParticipantReport, type ReportedParticipant, updateLevel,
} from '../limits/participants.js';
import {type Holding, type KnownHolding, updateHolding} from '../limits/plan-sharing.js';
import {hashText} from '../routing/rank-by-rendezvous.js';
import {type LimitedCall} from './find-limit-violation.js';

export type LimitStep = {readonly at: number; /** Undefined: no limit. */ readonly perSecond: number | undefined};

/**
 * A daemon that is away: its process restarts with nothing known, its reports don't get through, or it gets no processor time (`stall`)
 * and handles what has arrived afterwards.
 */
export type DaemonFault = {readonly daemon: number; readonly kind: 'restart' | 'cut' | 'stall'; readonly from: number; readonly until: number};

export type BackendLimitSimulation = {
	readonly daemons: number;
	readonly zones: number;
	readonly steps: readonly LimitStep[];
	/** Calls per second that callers send to a daemon for the service. */
	readonly getCallRate: (daemon: number, now: number) => number;
	/** Part of the service's calls that the backend server gets without a limit. */
	readonly usualPart: number;
	readonly faults: readonly DaemonFault[];
	readonly lossRate: number;
	/** Chance that a call cannot be sent, as no connection was opened in time. Its daemon then sends none for a while. */
	readonly unsentRate?: number;
	readonly durationMs: number;
	readonly random: () => number;
};

type Report = {readonly from: number; readonly participant: ReportedParticipant | undefined; readonly statement: LimitStatement | undefined};

type Daemon = {
	readonly id: string;
	readonly zone: string;
	startedAt: number;
	nextReportAt: number;
	limit: BackendLimit | undefined;
	history: ParticipantHistory;
	level: number | undefined;
	callRate: number;
	reports: Map<number, ParticipantReport>;
	holding: KnownHolding | undefined;
	/** Calls that arrived while the daemon was stalled. */
	heldCalls: number;
	/** No call is sent before this time. */
	suspendedUntil: number;
	failedConnects: number;
};

/** Bounds of the pause after a call that could not be sent. */
const minPauseMs = 250;
const maxPauseMs = 2000;

const reportIntervalMs = 300;
const stepMs = 10;
const maxDirectDaemons = 12;
const reportDelaysMs = {direct: [5, 150], relayed: [300, 900]} as const;
const propagationMs = {direct: 1000, relayed: 2000} as const;

/** Chance that a daemon with calls in its bucket chooses the backend server for a call. */
const choiceChance = 0.3;

/** Time constant of the measured rate of calls. */
const rateDecayMs = 3000;

const backend = {incarnationHash: hashText('backend-1'), availabilityZone: 'zone-0'};

/** Returns the calls that reached the backend server, in order. */
export const simulateBackendLimit = (simulation: BackendLimitSimulation): LimitedCall[] => {
	const {random} = simulation;
	const mode = simulation.daemons > maxDirectDaemons ? 'relayed' : 'direct';
	const arrivals: LimitedCall[] = [];
	const deliveries = new Map<number, Array<() => void>>();
	const schedule = (at: number, deliver: () => void): void => {
		const step = Math.ceil(at / stepMs);
		deliveries.set(step, [...(deliveries.get(step) ?? []), deliver]);
	};

	const getLimit = (at: number): number | undefined => simulation.steps.findLast(step => step.at <= at)?.perSecond;
	const startDaemon = (index: number, now: number): Daemon => ({
		id: `daemon-${index}`, zone: `zone-${index % simulation.zones}`, startedAt: now, nextReportAt: now + (random() * reportIntervalMs), limit: undefined, history: [],
		level: undefined, callRate: 0, reports: new Map(), holding: undefined, heldCalls: 0, suspendedUntil: now, failedConnects: 0,
	});
	const daemons = Array.from({length: simulation.daemons}, (_value, index) => startDaemon(index, -20_000));
	const findFault = (index: number, now: number): DaemonFault | undefined => simulation.faults.find(fault => fault.daemon === index && fault.from <= now && now < fault.until);
	/** Runs at the time, or when the daemon is no longer stalled. */
	const scheduleAt = (index: number, at: number, run: (now: number) => void): void => {
		schedule(at, () => {
			const fault = findFault(index, at);
			if (fault?.kind === 'stall') {
				scheduleAt(index, fault.until, run);
				return;
			}

			run(at);
		});
	};

	const newestReports = new Map<number, Report>();

	const learn = (daemon: Daemon, statement: LimitStatement, now: number): void => {
		if (isNewerStatement(statement, daemon.limit?.statement)) {
			daemon.limit = applyStatement(daemon.limit, statement, {now, random});
		}
	};

	const receive = (daemon: Daemon, source: number, report: Omit<Report, 'from' | 'participant'> & {participants: readonly ReportedParticipant[]; daemons: number}, now: number): void => {
		daemon.reports.set(source, {
			id: String(source), daemons: report.daemons, participants: report.participants, receivedAt: now,
		});
		if (report.statement !== undefined) {
			learn(daemon, report.statement, now);
		}
	};

	const deliverTo = (target: number, source: number, now: number, deliver: (daemon: Daemon, now: number) => void): void => {
		const [least, most] = reportDelaysMs[mode];
		if (random() < simulation.lossRate) {
			return;
		}

		const {startedAt} = daemons[target]!;
		scheduleAt(target, now + least + (random() * (most - least)), at => {
			if (findFault(target, at) === undefined && (source === target || findFault(source, at) === undefined) && daemons[target]!.startedAt === startedAt) {
				deliver(daemons[target]!, at);
			}
		});
	};

	const sendReport = (index: number, now: number): void => {
		const daemon = daemons[index]!;
		daemon.level = updateLevel(daemon.level, daemon.callRate);
		const participant: ReportedParticipant | undefined = daemon.level === undefined ? undefined : [daemon.id, daemon.zone, daemon.level];
		newestReports.set(index, {from: index, participant, statement: daemon.limit?.statement});
		if (mode === 'relayed') {
			return;
		}

		for (const target of daemons.keys()) {
			if (target !== index) {
				deliverTo(target, index, now, (receiver, at) => {
					receive(receiver, index, {participants: participant === undefined ? [] : [participant], daemons: 1, statement: daemon.limit?.statement}, at);
				});
			}
		}
	};

	/** Stands for the relays: all daemons get the sum of all reports. */
	const sendTotals = (now: number): void => {
		const reports = [...newestReports.values()].filter(({from}) => findFault(from, now) === undefined);
		const participants = mergeParticipants(reports.flatMap(({participant}) => participant === undefined ? [] : [[participant]]));
		let statement: LimitStatement | undefined;
		for (const report of reports) {
			statement = report.statement !== undefined && isNewerStatement(report.statement, statement) ? report.statement : statement;
		}

		for (const target of daemons.keys()) {
			deliverTo(target, target, now, (receiver, at) => {
				receive(receiver, -1, {participants, daemons: reports.length - 1, statement}, at);
			});
		}
	};

	const getHolding = (daemon: Daemon, now: number): Holding => {
		daemon.holding = updateHolding(daemon.holding, {
			perSecond: daemon.limit?.statement.perSecond, backend, history: daemon.history, daemon: daemon.id, now, propagationMs: propagationMs[mode],
		});
		return daemon.holding.value;
	};

	/** Returns whether the call was sent. */
	const send = (index: number, now: number): boolean => {
		const daemon = daemons[index]!;
		if (random() < (simulation.unsentRate ?? 0)) {
			daemon.suspendedUntil = now + Math.min(maxPauseMs, minPauseMs * (2 ** daemon.failedConnects));
			daemon.failedConnects++;
			return false;
		}

		daemon.failedConnects = 0;
		const arrivesAt = now + 2 + (random() * 18);
		const answeredAt = arrivesAt + 20 + (random() < 0.02 ? 2000 : random() * 300);
		arrivals.push({at: arrivesAt, daemon: daemon.id});
		scheduleAt(index, answeredAt, at => {
			if (daemons[index] === daemon) {
				learn(daemon, {perSecond: getLimit(answeredAt), statedAt: now}, at);
			}
		});
		return true;
	};

	const makeCall = (index: number, now: number): void => {
		const daemon = daemons[index]!;
		if (now < daemon.suspendedUntil) {
			return;
		}

		if (daemon.limit === undefined || !isLimited(daemon.limit, now)) {
			if (random() < simulation.usualPart) {
				send(index, now);
			}

			return;
		}

		const holding = getHolding(daemon, now);
		const refill = computeRefill(daemon.limit, {holding, daemons: simulation.daemons, now});
		daemon.limit = refillLimit(daemon.limit, refill, {holding, now});
		const chance = isConfirmationDue(daemon.limit, now) || isAlmostFull(daemon.limit, refill) ? 1 : choiceChance;
		if (daemon.limit.level >= computeNeededLevel(refill, {hasStarted: false, moreUrgentRanks: 0}) && random() < chance) {
			daemon.limit = takeCall(daemon.limit);
			daemon.limit = send(index, now) ? daemon.limit : returnCall(daemon.limit);
		}
	};

	const runDaemon = (index: number, now: number): void => {
		const daemon = daemons[index]!;
		const fault = findFault(index, now);
		if (fault?.kind === 'restart') {
			daemons[index] = startDaemon(index, fault.until);
			return;
		}

		let calls = daemon.heldCalls;
		daemon.heldCalls = 0;
		for (let left = simulation.getCallRate(index, now) * stepMs / 1000; left > 0; left--) {
			calls += random() < left ? 1 : 0;
		}

		if (fault?.kind === 'stall') {
			daemon.heldCalls = calls;
			return;
		}

		daemon.callRate = (daemon.callRate * Math.exp(-stepMs / rateDecayMs)) + (calls * 1000 / rateDecayMs);
		for (; calls > 0; calls--) {
			makeCall(index, now);
		}

		if (now >= daemon.nextReportAt) {
			daemon.nextReportAt += reportIntervalMs;
			sendReport(index, now);
			const own: readonly ReportedParticipant[] = mode === 'relayed' || daemon.level === undefined ? [] : [[daemon.id, daemon.zone, daemon.level]];
			daemon.history = followParticipants(daemon.history, {
				own, reports: [...daemon.reports.values()], startedAt: daemon.startedAt, hasPeers: simulation.daemons > 1, now, propagationMs: propagationMs[mode],
			});
			if (daemon.limit !== undefined && isLimited(daemon.limit, now)) {
				const holding = getHolding(daemon, now);
				daemon.limit = refillLimit(daemon.limit, computeRefill(daemon.limit, {holding, daemons: simulation.daemons, now}), {holding, now});
			}
		}
	};

	for (let now = -10_000; now < simulation.durationMs; now += stepMs) {
		const step = Math.round(now / stepMs);
		for (const deliver of deliveries.get(step) ?? []) {
			deliver();
		}

		deliveries.delete(step);
		if (mode === 'relayed' && now % reportIntervalMs === 0) {
			sendTotals(now);
		}

		for (const index of daemons.keys()) {
			runDaemon(index, now);
		}
	}

	return arrivals.toSorted((left, right) => left.at - right.at);
};
