/** Simulates, in virtual time, daemons and backend servers that end under prompts with some parts, and of other causes. */
import {
	findVerdict, makeCrashLedger, recordDeath, recordSurvival, removeOldEvidence, type CrashLedger, type RequestTraits,
} from '../crashes/crash-ledger.js';
import {planTrial} from '../crashes/plan-trial.js';
import {type CrashVerdict} from '../crashes/types.js';
import {
	adoptReportedCrashes, mergeReportedCrashes, noReportedCrashes, reportCrashes, type ReportedCrashes,
} from '../crashes/reported-evidence.js';
import {needsRelays} from '../gossip/pick-relays.js';

export type CrashPlan = {
	readonly daemons: number;
	readonly backends: number;
	readonly zones: number;
	/** Calls per second that crash backend servers, from `beforeMs` on, and the parts of their prompts before the last. */
	readonly crashingPerSecond: number;
	readonly crashingPrompts: readonly string[][];
	/** Share of the answers on such a part that end the backend server. */
	readonly crashShare: number;
	readonly soundPerSecond: number;
	/** Makes the parts of a sound prompt before the last. */
	readonly makeSoundPrompt: (random: () => number) => readonly string[];
	/** Deaths of other causes: time after `beforeMs`, and how many backend servers of the first zone end. */
	readonly otherDeaths: ReadonlyArray<{readonly at: number; readonly count: number}>;
	/** Share of the reports that are lost. */
	readonly lossShare: number;
	readonly beforeMs: number;
	readonly duringMs: number;
	readonly random: () => number;
};

export type CrashOutcome = {
	/** Backend servers that ended under prompts that crash them. */
	readonly crashes: number;
	/** Such calls that reached backend servers later than `stableMs` after the fifth of these. */
	readonly lateArrivals: number;
	readonly soundCalls: number;
	/** Sound calls that were refused for a verdict, after the time in which verdicts become known. */
	readonly refusedSoundCalls: number;
	readonly longestReport: number;
};

const tickMs = 10;
const stableMs = 3000;
const restartMs = 3000;

/** Time from the send of a call to the beginning of its answer, and to its end. */
const beginMs = 60;
const answerMs = 300;

/** A report is made this long after a crash was seen, and is heard directly or through relays. */
const earlyReportMs = 50;
const roundMs = 300;
const directDelayMs = 10;
const relayedDelayMs = 150;

/** Verdicts of one moment that the reports of others correct are not counted. */
const settledMs = 2500;

type RunningCall = {
	readonly daemon: number;
	readonly traits: RequestTraits;
	readonly sentAt: number;
	readonly isCrashing: boolean;
};

type SimulatedBackend = {
	readonly zone: number;
	incarnation: number;
	aliveAt: number;
	readonly running: Set<RunningCall>;
};

type Delivery = {readonly at: number; readonly daemon: number; readonly report: ReportedCrashes};

export const simulateCrashingParts = (plan: CrashPlan): CrashOutcome => {
	const {random} = plan;
	const ledgers: CrashLedger[] = Array.from({length: plan.daemons}, makeCrashLedger);
	const dirtySince = new Map<number, number>();
	const tryingUntil = new Map<string, number>();
	const backends: SimulatedBackend[] = Array.from({length: plan.backends}, (_value, index) => ({
		zone: index % plan.zones, incarnation: index, aliveAt: 0, running: new Set(),
	}));
	let deliveries: Delivery[] = [];
	let nextIncarnation = plan.backends;
	let nextRequest = 0;
	let crashes = 0;
	let fifthAt = Infinity;
	const outcome = {
		lateArrivals: 0, soundCalls: 0, refusedSoundCalls: 0, longestReport: 0,
	};
	const draw = (share: number): boolean => random() < share;
	const endBackend = (backend: SimulatedBackend, now: number): void => {
		for (const {daemon, traits, sentAt} of backend.running) {
			recordDeath(ledgers[daemon]!, traits, {
				incarnation: backend.incarnation, at: now, request: Number.parseInt(traits.digest, 10), hasBegun: now >= sentAt + beginMs,
			}, now);
			dirtySince.set(daemon, dirtySince.get(daemon) ?? now);
		}

		backend.running.clear();
		backend.aliveAt = now + restartMs;
		backend.incarnation = nextIncarnation++;
	};

	/** One daemon tries a verdict, one request at a time. */
	const canTry = (verdict: CrashVerdict, daemon: number, now: number): boolean => {
		const name = verdict.keys.join(',');
		if (daemon !== 0 || now < planTrial(verdict) || (tryingUntil.get(name) ?? 0) > now) {
			return false;
		}

		tryingUntil.set(name, now + answerMs);
		return true;
	};

	const sendCall = (now: number, prompt: readonly string[], isCrashing: boolean): void => {
		nextRequest++;
		const daemon = Math.floor(random() * plan.daemons);
		const traits = {digest: String(nextRequest), account: 1, partIds: [...prompt, `own-${nextRequest}`]};
		const verdict = findVerdict(ledgers[daemon]!, traits);
		const isRefused = verdict !== undefined && !canTry(verdict, daemon, now);
		if (!isCrashing) {
			outcome.soundCalls++;
			outcome.refusedSoundCalls += isRefused && now > plan.beforeMs + settledMs ? 1 : 0;
		}

		const alive = backends.filter(({aliveAt}) => aliveAt <= now);
		if (isRefused || alive.length === 0) {
			return;
		}

		outcome.lateArrivals += isCrashing && now > fifthAt + stableMs ? 1 : 0;
		alive[Math.floor(random() * alive.length)]!.running.add({
			daemon, traits, sentAt: now, isCrashing,
		});
	};

	const runBackend = (backend: SimulatedBackend, now: number): void => {
		for (const call of backend.running) {
			if (call.isCrashing && now === call.sentAt + beginMs && draw(plan.crashShare)) {
				crashes++;
				fifthAt = crashes === 5 ? now : fifthAt;
				endBackend(backend, now);
				return;
			}

			if (now >= call.sentAt + answerMs) {
				backend.running.delete(call);
				recordSurvival(ledgers[call.daemon]!, call.traits, {answer: Number.parseInt(call.traits.digest, 10), at: now}, now);
			}
		}
	};

	const deliver = (report: ReportedCrashes, daemons: Iterable<number>, at: number): void => {
		for (const daemon of daemons) {
			if (!draw(plan.lossShare)) {
				deliveries.push({at, daemon, report});
			}
		}
	};

	const sendReports = (now: number): void => {
		const isRound = now % roundMs === 0;
		const senders = isRound ? ledgers.keys() : [...dirtySince].filter(([, since]) => now >= since + earlyReportMs).map(([daemon]) => daemon);
		const isRelayed = needsRelays(plan.daemons);
		if (isRound) {
			for (const ledger of ledgers) {
				removeOldEvidence(ledger, now);
			}
		}

		let sum = noReportedCrashes;
		for (const daemon of senders) {
			dirtySince.delete(daemon);
			const report = reportCrashes(ledgers[daemon]!, {now, hasVerdicts: now % (7 * roundMs) === 0});
			if (report.entries.length === 0 && report.refuted.length === 0) {
				continue;
			}

			outcome.longestReport = Math.max(outcome.longestReport, JSON.stringify(report).length);
			if (!isRelayed) {
				deliver(report, ledgers.keys(), now + directDelayMs);
			} else if (!draw(plan.lossShare)) {
				sum = mergeReportedCrashes(sum, report);
			}
		}

		if (sum.entries.length > 0) {
			outcome.longestReport = Math.max(outcome.longestReport, JSON.stringify(sum).length);
			deliver(sum, ledgers.keys(), now + (2 * relayedDelayMs));
		}
	};

	const receiveReports = (now: number): void => {
		const due = deliveries.filter(({at}) => at <= now);
		deliveries = deliveries.filter(({at}) => at > now);
		for (const {daemon, report} of due) {
			adoptReportedCrashes(ledgers[daemon]!, report, now);
		}
	};

	const endAt = plan.beforeMs + plan.duringMs;
	for (let now = 0; now < endAt; now += tickMs) {
		receiveReports(now);
		for (const backend of backends) {
			runBackend(backend, now);
		}

		for (const {count} of plan.otherDeaths.filter(({at}) => at + plan.beforeMs === now)) {
			for (const backend of backends.filter(({zone, aliveAt}) => zone === 0 && aliveAt <= now).slice(0, count)) {
				endBackend(backend, now);
			}
		}

		for (let due = plan.soundPerSecond * tickMs / 1000; due > 0; due--) {
			if (draw(due)) {
				sendCall(now, plan.makeSoundPrompt(random), false);
			}
		}

		if (now >= plan.beforeMs && plan.crashingPrompts.length > 0 && draw(plan.crashingPerSecond * tickMs / 1000)) {
			sendCall(now, plan.crashingPrompts[Math.floor(random() * plan.crashingPrompts.length)]!, true);
		}

		sendReports(now);
	}

	return {...outcome, crashes};
};
