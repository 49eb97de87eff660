/** One run of the soak: starts daemons and callers, injects overlapping faults, waits for recovery and checks the recorded history. */
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {makeRandom} from '@shallotpass/core/testing/make-random.js';
import {runStreams} from '@shallotpass/platform/stand-ins/stream-callers.js';
import {runCrashingCaller} from './crashing-part.js';
import {leavingCallers, runLeavingCaller} from './leaving-callers.js';
import {pipeliningCallers, runPipeliningCaller} from './pipelining-callers.js';
import {judgeKeptStreams, keepingCallers, runKeepingCaller} from './kept-streams.js';
import {limitedCallers, runLimitedCaller} from './limited-account.js';
import {eventsPerStream} from './format-events.js';
import {runCaller} from './run-caller.js';
import {findViolations} from './check-history.js';
import {type CompletedCall, type History, type BackendRun} from './history.js';
import {
	hasStreamPauses, planFaults, planLimitAfterFaults, type PlannedFault,
} from './plan-faults.js';
import {
	backendCount, closeSoakCluster, lastingVersion, type SoakCluster, startSoakCluster, waitForReady,
} from './soak-cluster.js';
import {injectFault} from './inject-fault.js';
import {startLoadBalancer} from './load-balancer.js';
import {drawUsageWindowMs} from './plan-lease-faults.js';

export type SoakOptions = {
	readonly seed: number;
	readonly daemons: number;
	readonly callers: number;
	/** Length of the period in which faults start. */
	readonly faultsMs: number;
	readonly hasOnlyPlannedWork: boolean;
	/** Directory for the daemons' settings and logs and for the recorded history. */
	readonly folder: string;
};

export type SoakReport = {
	readonly seed: number;
	readonly violations: readonly string[];
	readonly calls: number;
	readonly served: number;
	readonly faults: number;
	/** Engines that crashed under prompts. */
	readonly crashes: number;
	/** Streams of sound engines, paused or not, that were judged around planned work. */
	readonly judgedStreams: number;
};

/** Added to the seeds of the callers that exceed their limit. */
const limitedSeedOffset = 500;

/** Added to the seeds of the callers that leave. */
const leavingSeedOffset = 800;

/** Added to the seeds of the callers that send several requests at once. */
const pipeliningSeedOffset = 900;

/** Added to the seeds of the callers that keep their connections open. */
const keepingSeedOffset = 950;

/** Added to the seed of the callers that take up streams, how many streams begin, and the share of their attempts that lose the connection. */
const streamSeedOffset = 700;
const streamsPerSecond = 6;
const streamCutShare = 0.4;

/** Time allowed for recovery after the last fault, as in the users' requirements. */
const recoveryMs = 12_000;

/** Time between the end of a limit and the fault-free period. */
const limitEndMs = 3000;

/** Length of the fault-free period, in which calls must be served. */
const faultFreeMs = 2000;

/** Interval of the stall check. If a check is late by more than `stallThresholdMs`, the machine was too busy for time bounds to hold. */
const checkIntervalMs = 100;
const stallThresholdMs = 400;

/** Records stalls of the whole machine as disturbances, so that they are not attributed to a daemon. */
const recordStalls = async (cluster: SoakCluster, signal: AbortSignal): Promise<void> => {
	let lastCheckedAt = performance.now();
	while (!signal.aborted) {
		await sleep(checkIntervalMs); // eslint-disable-line no-await-in-loop -- a periodic check
		const now = performance.now();
		if (now > lastCheckedAt + checkIntervalMs + stallThresholdMs) {
			cluster.disturbances.push({daemon: undefined, from: lastCheckedAt, until: now});
			cluster.addNote(`${Math.round(now)} the machine stalled for ${Math.round(now - lastCheckedAt)} ms`);
		}

		lastCheckedAt = now;
	}
};

const listRuns = (cluster: SoakCluster): BackendRun[] => cluster.backends.flatMap(({standIn, service}) => standIn.executions.map(execution => ({
	id: execution.id,
	backend: standIn.id,
	service,
	path: execution.path,
	body: execution.body,
	account: execution.account,
	hasKey: execution.hasKey,
	at: execution.at,
	endedAt: execution.endedAt,
	isClosedByPeer: execution.isClosedByPeer,
	memory: execution.kvCache,
})));

const injectFaults = async (cluster: SoakCluster, plannedFaults: readonly PlannedFault[]): Promise<void> => {
	const startedAt = performance.now();
	await Promise.all(plannedFaults.map(async ({at, fault}) => {
		await sleep(Math.max(0, startedAt + at - performance.now()));
		await injectFault(cluster, fault);
	}));
};

/** Waits for recovery. A limit that a backend server states meanwhile is over before the fault-free period. */
const recover = async (cluster: SoakCluster, {seed, hasOnlyPlannedWork}: SoakOptions): Promise<void> => {
	const limit = planLimitAfterFaults({seed, backends: backendCount}, recoveryMs - limitEndMs);
	await Promise.all([sleep(recoveryMs), hasOnlyPlannedWork ? undefined : injectFault(cluster, limit)]);
};

export const runSoak = async (options: SoakOptions): Promise<SoakReport> => {
	mkdirSync(options.folder, {recursive: true});
	const notes: string[] = [];
	const closeController = new AbortController();
	const cluster = await startSoakCluster({
		seed: options.seed, daemons: options.daemons, hasOnlyPlannedWork: options.hasOnlyPlannedWork, folder: options.folder, usageWindowMs: drawUsageWindowMs(options), addNote(line) {
			notes.push(line);
		},
	});
	try {
		void recordStalls(cluster, closeController.signal);
		const balancer = startLoadBalancer(cluster.daemons.map(({process}) => process.settings.listen), closeController.signal);
		const callersController = new AbortController();
		const faultsController = new AbortController();
		let isFaultFree = false;
		const callerRuns = Array.from({length: options.callers}, async (_value, index) => runCaller({
			cluster, name: `caller-${index}`, random: makeRandom((options.seed * 1000) + index), signal: callersController.signal, isLimitedToFirstKey: () => isFaultFree,
		}));
		const limitedRuns = Array.from({length: limitedCallers}, async (_value, index) => runLimitedCaller({
			cluster, name: `limited-${index}`, random: makeRandom((options.seed * 1000) + limitedSeedOffset + index), signal: callersController.signal,
		}));
		const leavingRuns = Array.from({length: leavingCallers}, async (_value, index) => runLeavingCaller({
			cluster, name: `leaving-${index}`, random: makeRandom((options.seed * 1000) + leavingSeedOffset + index), signal: faultsController.signal,
		}));
		const pipeliningRuns = Array.from({length: pipeliningCallers}, async (_value, index) => runPipeliningCaller({
			cluster, name: `pipelining-${index}`, random: makeRandom((options.seed * 1000) + pipeliningSeedOffset + index), signal: faultsController.signal,
		}));
		const plannedFaults = planFaults({...options, backends: backendCount, forMs: options.faultsMs});
		const keepingRuns = Array.from({length: hasStreamPauses(plannedFaults) ? keepingCallers : 0}, async (_value, index) => runKeepingCaller({
			cluster, name: String(index), random: makeRandom((options.seed * 1000) + keepingSeedOffset + index), signal: faultsController.signal,
		}));
		const streamsRun = runStreams({
			listAddresses: balancer.listAddresses,
			name: 'stream', random: makeRandom((options.seed * 1000) + streamSeedOffset), cutShare: streamCutShare, events: eventsPerStream, perSecond: streamsPerSecond, signal: callersController.signal,
		});
		const crashingRun = runCrashingCaller(cluster, {seed: options.seed, hasOnlyPlannedWork: options.hasOnlyPlannedWork, signal: faultsController.signal});
		await injectFaults(cluster, plannedFaults);
		const neverReady = await waitForReady(cluster);
		await recover(cluster, options);
		isFaultFree = true;
		faultsController.abort();
		const calmFrom = performance.now();
		await sleep(faultFreeMs);
		callersController.abort();
		const callsByCaller = await Promise.all(callerRuns);
		const calls: CompletedCall[] = callsByCaller.flat();
		const limitedCallsByCaller = await Promise.all(limitedRuns);
		const leavingCallsByCaller = await Promise.all(leavingRuns);
		const pipelinedCallsByCaller = await Promise.all(pipeliningRuns);
		const keptByCaller = await Promise.all(keepingRuns);
		const keptStreams = keptByCaller.flat();
		const history: History = {
			calls,
			limitedCalls: limitedCallsByCaller.flat(),
			crashingCalls: await crashingRun,
			leavingCalls: [...leavingCallsByCaller.flat(), ...keptStreams.filter(({hasLeft}) => hasLeft).map(({endedAt, ...stream}) => ({...stream, leftAt: endedAt}))],
			keptStreams,
			plannedWork: cluster.plannedWork,
			backendFaults: cluster.backendFaults,
			pipelinedCalls: pipelinedCallsByCaller.flat(),
			crashes: cluster.crashes,
			streams: await streamsRun,
			lastingVersions: [lastingVersion],
			runs: listRuns(cluster),
			duties: cluster.fixture.cloud.calls,
			disturbances: cluster.disturbances,
			bans: cluster.bans,
			arrivals: cluster.backends.flatMap(({standIn}) => standIn.arrivals.map(({id, at}) => ({backend: standIn.id, id, at}))),
			limits: cluster.limits,
			linkDisturbances: cluster.linkDisturbances,
			cuts: cluster.cuts,
			startingStops: cluster.startingStops,
			brittleSpans: cluster.brittleSpans,
			rejections: cluster.backends.flatMap(({standIn}) => standIn.rejections.map(({id, at}) => ({backend: standIn.id, id, at}))),
			neverReady,
			ownEnds: cluster.daemons.filter(({process}) => process.countUnexpectedExits() > 0).map(({process}) => process.id),
			calmFrom,
			hasOnlyPlannedWork: options.hasOnlyPlannedWork,
		};
		const violations = findViolations(history);
		writeFileSync(path.join(options.folder, 'history.json'), JSON.stringify({
			options, violations, notes, history,
		}));
		return {
			seed: options.seed,
			violations,
			calls: calls.length,
			served: calls.filter(({end}) => end?.kind === 'answered' && end.status === 200 && end.isWhole).length,
			faults: plannedFaults.length,
			crashes: cluster.crashes.length,
			judgedStreams: judgeKeptStreams(history).judged,
		};
	} finally {
		closeController.abort();
		await closeSoakCluster(cluster);
	}
};
