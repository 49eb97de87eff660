/** One run of the soak: daemons, callers, faults that overlap, a calm end, and the check of what was seen. */
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {makeRandom} from '@shallotpass/core/testing/make-random.js';
import {runCaller} from './callers.js';
import {findViolations} from './check-history.js';
import {type EndedCall, type History, type Run} from './history.js';
import {planFaults} from './plan-faults.js';
import {
	backendCount, closeSoakWorld, type SoakWorld, startSoakWorld, waitForReady,
} from './soak-world.js';
import {strike} from './strike.js';

export type SoakOptions = {
	readonly seed: number;
	readonly daemons: number;
	readonly callers: number;
	/** Time in which faults begin, in milliseconds. */
	readonly faultsMs: number;
	readonly hasOnlyPlannedWork: boolean;
	/** Settings and logs go there. */
	readonly folder: string;
};

export type SoakReport = {
	readonly seed: number;
	readonly violations: readonly string[];
	readonly calls: number;
	readonly served: number;
	readonly faults: number;
};

/** Time that daemons have to recover after the last disturbance, as the users' sheets say, and the calm time in which all must be served, in milliseconds. */
const recoveryMs = 12_000;
const calmMs = 2000;

/** This process looks at the clock so often; when it is late by more than `stalledMs`, the machine was too busy for any bound of time, in milliseconds. */
const pulseMs = 100;
const stalledMs = 400;

/** Records when the whole machine stood still, so that no daemon is blamed for it. */
const watchStalls = async (world: SoakWorld, signal: AbortSignal): Promise<void> => {
	let last = performance.now();
	while (!signal.aborted) {
		await sleep(pulseMs); // eslint-disable-line no-await-in-loop -- a pulse
		const now = performance.now();
		if (now > last + pulseMs + stalledMs) {
			world.disturbances.push({daemon: undefined, from: last, until: now});
			world.tell(`${Math.round(now)} the machine stood still for ${Math.round(now - last)} ms`);
		}

		last = now;
	}
};

const listRuns = (world: SoakWorld): Run[] => world.backends.flatMap(({standIn, service}) => standIn.executions.map(execution => ({
	id: execution.id,
	backend: standIn.id,
	service,
	path: execution.path,
	body: execution.body,
	account: execution.account,
	hasKey: execution.hasKey,
	at: execution.at,
	memory: execution.memory,
})));

const playFaults = async (world: SoakWorld, options: SoakOptions): Promise<number> => {
	const planned = planFaults({...options, backends: backendCount, forMs: options.faultsMs});
	const begun = performance.now();
	await Promise.all(planned.map(async ({at, fault}) => {
		await sleep(Math.max(0, begun + at - performance.now()));
		await strike(world, fault);
	}));
	return planned.length;
};

export const runSoak = async (options: SoakOptions): Promise<SoakReport> => {
	mkdirSync(options.folder, {recursive: true});
	const notes: string[] = [];
	const closing = new AbortController();
	const world = await startSoakWorld({
		daemons: options.daemons, folder: options.folder, tell(line) {
			notes.push(line);
		},
	});
	try {
		void watchStalls(world, closing.signal);
		const callersEnd = new AbortController();
		let isCalm = false;
		const running = Array.from({length: options.callers}, async (_value, index) => runCaller({
			world, name: `caller-${index}`, random: makeRandom((options.seed * 1000) + index), signal: callersEnd.signal, hasOneKey: () => isCalm,
		}));
		const faults = await playFaults(world, options);
		const neverReady = await waitForReady(world);
		await sleep(recoveryMs);
		isCalm = true;
		const calmFrom = performance.now();
		await sleep(calmMs);
		callersEnd.abort();
		const ended = await Promise.all(running);
		const calls: EndedCall[] = ended.flat();
		const history: History = {
			calls,
			runs: listRuns(world),
			duties: world.fixture.cloud.calls,
			disturbances: world.disturbances,
			bans: world.bans,
			neverReady,
			ownEnds: world.daemons.filter(({process}) => process.countOwnEnds() > 0).map(({process}) => process.id),
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
			faults,
		};
	} finally {
		closing.abort();
		await closeSoakWorld(world);
	}
};
