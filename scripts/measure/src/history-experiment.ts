/** A storm of everything that fails, at any moment and two at once, under load; the recorded history is checked against the promises. */
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {makeRandom} from '@shallotpass/core/testing/make-random.js';
import {findViolations} from './history/check-history.js';
import {chaosActions} from './history/storm-actions.js';
import {runReservationCaller, runStreamCaller, recordVersions} from './history/storm-callers.js';
import {
	closeChaosCluster, collectArrivals, getDaemonId, pickRandom, startChaosCluster, type ChaosCluster,
} from './history/storm-world.js';
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
	/** Actions that go on at once. */
	lanes: z.int().positive(),
	/** Actions of one lane, one after the other. */
	actions: z.int().positive(),
	/** Names of actions that this storm does without. */
	leaveOut: z.array(z.string()).default([]),
});

export type StormOptions = z.output<typeof schema>;

const restMs = 100;

const runLane = async (world: ChaosCluster, {actions, leaveOut}: StormOptions, tell: (line: string) => void): Promise<void> => {
	const possible = chaosActions.filter(action => !leaveOut.includes(action.name));
	for (let index = 0; index < actions; index++) {
		const action = pickRandom(possible, world.random);
		tell(action.name);
		/* eslint-disable no-await-in-loop -- one after the other */
		await action.perform(world);
		await sleep(world.random() * restMs);
		/* eslint-enable no-await-in-loop */
	}
};

const noteFinalVersions = async ({history, daemons}: ChaosCluster): Promise<void> => {
	const newest = Math.max(...history.accepted.map(entry => entry.version));
	try {
		await waitFor('the newest configuration is in force', () => daemons.every(daemon => daemon.getVersion('default') >= newest));
	} catch {
		// The check of the history says where it is not.
	}

	history.finalVersions.push(...daemons.map(daemon => ({daemon: getDaemonId(daemon), version: daemon.getVersion('default'), at: Date.now()})));
};

/** Runs the storm and gives its history. */
export const runStorm = async (options: StormOptions, tell: (line: string) => void): Promise<History> => {
	const random = makeRandom(options.seed);
	const world = await startChaosCluster({...options, random});
	try {
		const load = Promise.all([
			...Array.from({length: options.streams}, async (_value, index) => runStreamCaller(world, index, options.tokens)),
			...Array.from({length: options.reservers}, async (_value, index) => runReservationCaller(world, index)),
			recordVersions(world),
		]);
		await Promise.all(Array.from({length: options.lanes}, async () => runLane(world, options, tell)));
		await noteFinalVersions(world);
		world.isOver = true;
		await load;
		collectArrivals(world);
		return world.history;
	} finally {
		world.isOver = true;
		await closeChaosCluster(world);
	}
};

const countTold = (calls: readonly CallEvent[], told: CallOutcome): number => calls.filter(call => call.told === told).length;

const run = async (options: StormOptions, tell: (line: string) => void): Promise<Report> => {
	const history = await runStorm(options, tell);
	const violations = findViolations(history);
	for (const {promise, detail} of violations) {
		tell(`BROKEN ${promise}: ${detail}`);
	}

	return {
		experiment: 'history',
		seed: options.seed,
		violations: violations.length,
		calls: history.calls.length,
		answered: countTold(history.calls, 'answered'),
		notRun: countTold(history.calls, 'not_run'),
		unknown: countTold(history.calls, 'unknown'),
		cut: countTold(history.calls, 'cut'),
		notices: history.notices.length,
		stops: history.stops.length,
		harms: history.harms.length,
		versions: history.accepted.length,
	};
};

export const historyExperiment: Experiment<typeof schema> = {name: 'history', schema, run};
