/** Runs random chaos actions under load, several at once, and checks the recorded history against the service's guarantees. */
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {makeRandom} from '@shallotpass/core/testing/make-random.js';
import {findViolations} from './history/check-history.js';
import {chaosActions} from './history/chaos-actions.js';
import {runReservationCaller, runStreamCaller, recordVersions} from './history/chaos-callers.js';
import {
	closeChaosCluster, collectArrivals, getDaemonId, pickRandom, startChaosCluster, type ChaosCluster,
} from './history/chaos-cluster.js';
import {type CallEvent, type History, type CallOutcome} from './history/types.js';
import {waitFor} from './local-fleet.js';
import {type Experiment, type Report} from './experiment.js';

const schema = z.strictObject({
	experiment: z.literal('history'),
	seed: z.int(),
	daemonsPerZone: z.int().positive(),
	enginesPerZone: z.int().positive(),
	streams: z.int().positive(),
	reservers: z.int().positive(),
	tokens: z.int().positive(),
	stepMs: z.number().positive(),
	/** Number of concurrent sequences of actions. */
	lanes: z.int().positive(),
	/** Number of actions of each lane, run sequentially. */
	actions: z.int().positive(),
	/** Names of actions to leave out. */
	leaveOut: z.array(z.string()).default([]),
});

export type ChaosOptions = z.output<typeof schema>;

const maxPauseMs = 100;

const runLane = async (cluster: ChaosCluster, {actions, leaveOut}: ChaosOptions, printLine: (line: string) => void): Promise<void> => {
	const candidates = chaosActions.filter(action => !leaveOut.includes(action.name));
	for (let index = 0; index < actions; index++) {
		const action = pickRandom(candidates, cluster.random);
		printLine(action.name);
		/* eslint-disable no-await-in-loop -- actions of a lane are sequential */
		await action.perform(cluster);
		await sleep(cluster.random() * maxPauseMs);
		/* eslint-enable no-await-in-loop */
	}
};

const recordFinalVersions = async ({history, daemons}: ChaosCluster): Promise<void> => {
	const newest = Math.max(...history.acceptedVersions.map(entry => entry.version));
	try {
		await waitFor('the newest configuration is in force', () => daemons.every(daemon => daemon.getVersion('default') >= newest));
	} catch {
		// The history check reports the daemons that have an older version.
	}

	history.finalVersions.push(...daemons.map(daemon => ({daemon: getDaemonId(daemon), version: daemon.getVersion('default'), at: Date.now()})));
};

/** Runs the actions and callers of a chaos run and returns its history. */
export const runChaos = async (options: ChaosOptions, printLine: (line: string) => void): Promise<History> => {
	const random = makeRandom(options.seed);
	const cluster = await startChaosCluster({...options, random});
	try {
		const callers = Promise.all([
			...Array.from({length: options.streams}, async (_value, index) => runStreamCaller(cluster, index, options.tokens)),
			...Array.from({length: options.reservers}, async (_value, index) => runReservationCaller(cluster, index)),
			recordVersions(cluster),
		]);
		await Promise.all(Array.from({length: options.lanes}, async () => runLane(cluster, options, printLine)));
		await recordFinalVersions(cluster);
		cluster.isOver = true;
		await callers;
		collectArrivals(cluster);
		return cluster.history;
	} finally {
		cluster.isOver = true;
		await closeChaosCluster(cluster);
	}
};

const countOutcome = (calls: readonly CallEvent[], outcome: CallOutcome): number => calls.filter(call => call.outcome === outcome).length;

const run = async (options: ChaosOptions, printLine: (line: string) => void): Promise<Report> => {
	const history = await runChaos(options, printLine);
	const violations = findViolations(history);
	for (const {guarantee, detail} of violations) {
		printLine(`BROKEN ${guarantee}: ${detail}`);
	}

	return {
		experiment: 'history',
		seed: options.seed,
		violations: violations.length,
		calls: history.calls.length,
		answered: countOutcome(history.calls, 'answered'),
		notRun: countOutcome(history.calls, 'not_run'),
		unknown: countOutcome(history.calls, 'unknown'),
		cut: countOutcome(history.calls, 'cut'),
		notices: history.notices.length,
		stops: history.stops.length,
		harms: history.faults.length,
		versions: history.acceptedVersions.length,
	};
};

export const historyExperiment: Experiment<typeof schema> = {name: 'history', schema, run};
