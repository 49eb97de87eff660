/**
 * Simulates daemons that send plain calls to backend servers of unequal speed, on machines that are slow at times, in virtual time.
 * Daemons know of a server what its responses to them state, and reports of the others that arrive late.
 */
import {
	computeMeanSlowness, estimateCurrentSlowness, type SpeedReading,
} from '../placement/current-speed.js';
import {chooseBackend, predictPlainAnswer} from '../placement/choose-backend.js';
import {emptyPrefillRecord} from '../placement/engine-latency.js';
import {
	addPlainSamples, combinePlainMs, decayPlainRecord, emptyPlainSample, mayShareDurations, type PlainRecord, type PlainSample, recordPlainCall,
} from '../placement/plain-durations.js';
import {updateMovingMean} from '../placement/moving-averages.js';
import {type BackendView} from '../placement/types.js';
import {decideHedge} from '../retries/decide-hedge.js';
import {makeRandom} from './make-random.js';

export type PlainServicePlan = {
	readonly seed: number;
	readonly forMs: number;
	readonly daemons: number;
	readonly callsPerSecond: number;
	/** Share of the calls that may be repeated. */
	readonly idempotentShare: number;
	readonly places: number;
	/** Speed of each server as a multiple of the mean. */
	readonly speeds: readonly number[];
	/** Work that takes `slowness` times as long on a share of the machines, redrawn every `periodMs`. */
	readonly noise: {readonly slowness: number; readonly share: number; readonly periodMs: number};
	readonly oneWayMs: number;
	readonly targetMs: number;
	/** Time until the reports of other daemons arrive. */
	readonly reportDelayMs: number;
	/** Draws the work of a call, in milliseconds at the mean speed. */
	readonly drawWork: (random: () => number) => number;
	readonly usesReadings: boolean;
	readonly hedges: boolean;
	/** Age of a reading beyond which the daemon queries the health endpoint before it sends a call. */
	readonly checksHealthAfterMs?: number;
	/** Age at which readings of other daemons arrive. Undefined if they are not shared. */
	readonly sharesReadingsAfterMs?: number;
	/** Whether daemons report the durations that they have measured. */
	readonly sharesDurations?: boolean;
};

type Server = {
	readonly id: number;
	slowness: number;
	readonly runs: Run[];
};

type Run = {
	readonly call: SimulatedCall;
	readonly server: Server;
	readonly daemon: Daemon;
	readonly sentAt: number;
	leftMs: number;
};

type SimulatedCall = {
	readonly arrivedAt: number;
	readonly work: number;
	readonly isIdempotent: boolean;
	readonly runs: Run[];
	tookMs: number | undefined;
};

type Knowledge = {
	reading: SpeedReading | undefined;
	plainMs: number;
	plainAt: number;
	durations: PlainRecord;
	running: number;
	checkedAt: number;
};

type Daemon = {readonly known: Knowledge[]};

export type PlainServiceResult = {
	readonly onTime: number;
	/** On-time share of calls that must not be repeated, and of those that may be. */
	readonly onceOnTime: number;
	readonly idempotentOnTime: number;
	readonly hedgesPerCall: number;
	readonly checksPerCall: number;
	readonly meanMs: number;
	/** Share of the calls that went to the fastest server, in each second. */
	readonly fastestShares: readonly number[];
};

const stepMs = 0.5;

/** Interval of the reports of other daemons. */
const reportIntervalMs = 333;

const initialPlainMs = 30;

/** As in the daemons: an estimate that no answer has renewed for this long is replaced by the next one. */
const outdatedAfterMs = 2000;

export const simulatePlainService = (plan: PlainServicePlan): PlainServiceResult => {
	const random = makeRandom(plan.seed);
	const servers = plan.speeds.map((_speed, id): Server => ({id, slowness: 1, runs: []}));
	const makeKnowledge = (): Knowledge => ({
		reading: undefined, plainMs: initialPlainMs, plainAt: Number.NEGATIVE_INFINITY, durations: emptyPrefillRecord, running: 0, checkedAt: Number.NEGATIVE_INFINITY,
	});
	const daemons = Array.from({length: plan.daemons}, (): Daemon => ({known: servers.map(() => makeKnowledge())}));
	/** Scheduled actions by the step in which they are due. */
	const actionsByStep = new Map<number, Array<() => void>>();
	let now = 0;
	const schedule = (delayMs: number, act: () => void): void => {
		const step = Math.round((now + Math.max(stepMs, delayMs)) / stepMs);
		actionsByStep.set(step, [...actionsByStep.get(step) ?? [], act]);
	};

	const reported = servers.map(() => 0);
	const reportedDurations = servers.map((): PlainSample => emptyPlainSample);
	const calls: SimulatedCall[] = [];
	const fastestCounts: Array<{all: number; fastest: number}> = [];
	const fastest = plan.speeds.indexOf(Math.max(...plan.speeds));
	let [hedges, checks] = [0, 0];

	const getPlainMs = ({plainMs, durations}: Knowledge, {id}: Server): number => {
		const own = decayPlainRecord(durations, now);
		const all = reportedDurations[id]!;
		const isUsed = plan.sharesDurations === true && mayShareDurations(reported.reduce((sum, count) => sum + count, 0), plan.places);
		return isUsed ? combinePlainMs(plainMs, own, {calls: Math.max(0, all.calls - own.calls), ms: Math.max(0, all.ms - own.ms)}) : plainMs;
	};

	const makeView = (daemon: Daemon, server: Server): BackendView => {
		const {id} = server;
		const known = daemon.known[id]!;
		const {reading, running} = known;
		return {
			id: String(id), isInOtherZone: false, places: plan.places, isReclaimable: false, latencyModel: {tokensPerMs: 1, fixedMs: 0}, plainMs: getPlainMs(known, server),
			currentSlowness: plan.usesReadings ? estimateCurrentSlowness(reading, now) : undefined,
			own: {running, pendingTokens: []}, others: {running: Math.max(0, reported[id]! - running), pendingTokens: []},
			failureRate: 0, isAtConnectionLimit: false, cachedTokens: 0, spreadPenaltyMs: 0, limitPreferenceMs: 0, silentMs: 0,
		};
	};

	const choose = (daemon: Daemon, usable: readonly Server[]) => chooseBackend(usable.map(server => makeView(daemon, server)), {
		rank: 2, promptTokens: 0, isStream: false, isPinned: false,
	}, random);

	const finish = (run: Run, waiting: number): void => {
		const {call, daemon, server} = run;
		const isFirst = call.tookMs === undefined;
		call.tookMs ??= now - call.arrivedAt;
		const known = daemon.known[server.id]!;
		known.running--;
		if (!isFirst) {
			return;
		}

		const tookMs = now - run.sentAt;
		const usualMs = plan.usesReadings ? tookMs / computeMeanSlowness(known.reading, run.sentAt, now) : tookMs;
		known.plainMs = run.sentAt > known.plainAt + outdatedAfterMs ? usualMs : updateMovingMean(known.plainMs, usualMs);
		known.plainAt = now;
		if (waiting === 0) {
			known.durations = recordPlainCall(known.durations, usualMs, now);
		}

		for (const unused of call.runs.filter(other => other !== run)) {
			schedule(plan.oneWayMs, () => {
				const index = unused.server.runs.indexOf(unused);
				if (index !== -1) {
					unused.server.runs.splice(index, 1);
					daemon.known[unused.server.id]!.running--;
				}
			});
		}
	};

	const observe = (daemon: Daemon, server: Server, slowness: number): void => {
		const reading = {slowness, at: now};
		daemon.known[server.id]!.reading = reading;
		if (plan.sharesReadingsAfterMs === undefined) {
			return;
		}

		schedule(plan.sharesReadingsAfterMs, () => {
			for (const {known} of daemons) {
				const other = known[server.id]!;
				other.reading = other.reading !== undefined && other.reading.at >= reading.at ? other.reading : reading;
			}
		});
	};

	const send = (daemon: Daemon, call: SimulatedCall, server: Server): void => {
		const run: Run = {
			call, server, daemon, sentAt: now, leftMs: call.work / plan.speeds[server.id]!,
		};
		call.runs.push(run);
		daemon.known[server.id]!.running++;
		schedule(plan.oneWayMs, () => {
			server.runs.push(run);
		});
	};

	const place = (daemon: Daemon, call: SimulatedCall, mayCheckHealth: boolean): void => {
		const server = servers[Number(choose(daemon, servers)!.id)]!;
		const known = daemon.known[server.id]!;
		const heardAt = Math.max(known.reading?.at ?? Number.NEGATIVE_INFINITY, known.checkedAt);
		if (mayCheckHealth && plan.checksHealthAfterMs !== undefined && now - heardAt > plan.checksHealthAfterMs) {
			checks++;
			known.checkedAt = now;
			schedule(plan.oneWayMs, () => {
				const {slowness} = server;
				schedule(plan.oneWayMs, () => {
					observe(daemon, server, slowness);
					place(daemon, call, false);
				});
			});
			return;
		}

		const second = Math.floor(now / 1000);
		const counts = fastestCounts[second] ?? {all: 0, fastest: 0};
		fastestCounts[second] = counts;
		counts.all++;
		counts.fastest += server.id === fastest ? 1 : 0;
		send(daemon, call, server);
	};

	const tryHedge = (daemon: Daemon, call: SimulatedCall): void => {
		const [run] = call.runs;
		if (call.tookMs !== undefined || run === undefined || call.runs.length > 1) {
			return;
		}

		const choice = choose(daemon, servers.filter(server => server !== run.server));
		const decision = decideHedge({
			sentAt: run.sentAt, targetAt: call.arrivedAt + plan.targetMs, now,
			currentMs: predictPlainAnswer(makeView(daemon, run.server)), alternativeMs: choice?.predictedMs,
		});
		if (decision.kind === 'repeat') {
			hedges++;
			send(daemon, call, servers[Number(choice!.id)]!);
		} else if (decision.kind === 'wait') {
			schedule(decision.until - now, () => {
				tryHedge(daemon, call);
			});
		}
	};

	const receive = (): void => {
		const daemon = daemons[Math.floor(random() * daemons.length)]!;
		const call: SimulatedCall = {
			arrivedAt: now, work: plan.drawWork(random), isIdempotent: random() < plan.idempotentShare, runs: [], tookMs: undefined,
		};
		calls.push(call);
		place(daemon, call, true);
		if (plan.hedges && call.isIdempotent) {
			schedule(plan.targetMs / 4, () => {
				tryHedge(daemon, call);
			});
		}
	};

	const work = (server: Server): void => {
		for (const run of server.runs.slice(0, plan.places)) {
			run.leftMs -= stepMs / server.slowness;
			if (run.leftMs <= 0) {
				server.runs.splice(server.runs.indexOf(run), 1);
				const {slowness} = server;
				const waiting = Math.max(0, server.runs.length - plan.places);
				schedule(plan.oneWayMs, () => {
					observe(run.daemon, server, slowness);
					finish(run, waiting);
				});
			}
		}
	};

	const report = (): void => {
		const counts = servers.map(({runs}) => runs.length);
		const durations = servers.map(({id}): PlainSample => {
			const samples = daemons.map(({known}) => decayPlainRecord(known[id]!.durations, now));
			let sum = emptyPlainSample;
			for (const sample of samples) {
				sum = addPlainSamples(sum, sample);
			}

			return sum;
		});
		schedule(plan.reportDelayMs, () => {
			reported.splice(0, reported.length, ...counts);
			reportedDurations.splice(0, reportedDurations.length, ...durations);
		});
	};

	const isDue = (periodMs: number): boolean => now % periodMs < stepMs;
	for (let step = 0; now < plan.forMs; step++) {
		now = step * stepMs;
		for (const server of servers) {
			if (isDue(plan.noise.periodMs)) {
				server.slowness = random() < plan.noise.share ? plan.noise.slowness : 1;
			}

			work(server);
		}

		if (isDue(reportIntervalMs)) {
			report();
		}

		for (const act of actionsByStep.get(step) ?? []) {
			act();
		}

		actionsByStep.delete(step);
		if (random() < plan.callsPerSecond * stepMs / 1000) {
			receive();
		}
	}

	const ended = calls.filter(({arrivedAt}) => arrivedAt < plan.forMs - 2000);
	const computeOnTime = (counted: readonly SimulatedCall[]): number => counted.filter(({tookMs}) => tookMs !== undefined && tookMs <= plan.targetMs).length / counted.length;
	return {
		onTime: computeOnTime(ended),
		onceOnTime: computeOnTime(ended.filter(({isIdempotent}) => !isIdempotent)),
		idempotentOnTime: computeOnTime(ended.filter(({isIdempotent}) => isIdempotent)),
		hedgesPerCall: hedges / calls.length,
		checksPerCall: checks / calls.length,
		meanMs: ended.reduce((sum, {tookMs}) => sum + (tookMs ?? plan.targetMs), 0) / ended.length,
		fastestShares: fastestCounts.map(({all, fastest: count}) => count / all),
	};
};
