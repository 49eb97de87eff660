/** Measures throughput, latency and executions of calls that must run at most once, without faults and then with faults and duplicate requests. */
import {Agent} from 'undici';
import {z} from 'zod';
import {makeRandom} from '@shallotpass/core/testing/make-random.js';
import {sendReservation, type CallResult} from './caller-client.js';
import {
	applyConfiguration,
	countMembers,
	makeConfigurationText,
	makeSettings,
	waitFor,
} from './local-fleet.js';
import {getQuantiles, makeLatencies, round} from './latencies.js';
import {startWorker, type HostedWorker} from './worker-host.js';
import {type Experiment, type Report} from './experiment.js';

const schema = z.strictObject({
	experiment: z.literal('claims'),
	seed: z.int(),
	daemons: z.int().positive(),
	/** Batch windows to compare, in milliseconds. */
	windowsMs: z.array(z.int().nonnegative()),
	calls: z.int().positive(),
	concurrency: z.int().positive(),
	/** Number of calls in the run with faults that follows the comparison. */
	faultyCalls: z.int().nonnegative(),
	/** Probability of injecting a log fault before each call; appends and reads are drawn separately. */
	logFaults: z.number().min(0).max(1),
	/** Probability of injecting a fault of the backend server before each call. */
	serviceFaults: z.number().min(0).max(1),
});

type Options = z.output<typeof schema>;

type Fleet = {
	readonly platform: HostedWorker;
	readonly daemons: readonly HostedWorker[];
	readonly close: () => Promise<void>;
};

/** Starts each daemon, and the platform with the service, in its own thread. */
const startFleet = async (count: number, claimWindowMs: number): Promise<Fleet> => {
	const platform = await startWorker({kind: 'platform'});
	const daemons: HostedWorker[] = [];
	for (let index = 0; index < count; index++) {
		const settings = makeSettings({
			id: `entry-${index}`,
			availabilityZone: `zone-${(index % 3) + 1}`,
			platform: undefined,
			platformUrls: {log: platform.addresses.log!, instances: platform.addresses.list!, cloud: platform.addresses.cloud!},
			seeds: daemons.slice(0, 1).map(other => other.peers!),
			limits: {claimWindowMs},
		});
		daemons.push(await startWorker({kind: 'daemon', settings, configurationText: undefined})); // eslint-disable-line no-await-in-loop -- each daemon is a seed of the next
	}

	await waitFor('all daemons know each other', async () => {
		const counts = await Promise.all(daemons.map(async daemon => countMembers(daemon.admin!)));
		return counts.every(known => known === count);
	});
	await applyConfiguration({admin: daemons[0]!.admin!}, makeConfigurationText());
	await waitFor('all daemons serve reservations', async () => {
		const results = await Promise.all(daemons.map(async (daemon, index) => sendReservation({address: daemon.address, key: `ready-${index}-${Math.random()}`, body: '{}'})));
		return results.every(result => result.status === 200);
	});
	return {
		platform,
		daemons,
		async close() {
			await Promise.all([platform, ...daemons].map(async worker => worker.close()));
		},
	};
};

const countExecutions = async (fleet: Fleet): Promise<Map<string, number>> =>
	await fleet.platform.control({kind: 'count_executions'}) as Map<string, number>;

const countAppends = async (fleet: Fleet): Promise<number> =>
	await fleet.platform.control({kind: 'count_appends'}) as number;

type Tally = {
	answered: number;
	replayed: number;
	refusedNotRun: number;
	unknown: number;
	other: number;
	falselyNotRun: number;
};

const countOutcome = (tally: Tally, result: CallResult): void => {
	if (result.status === 200) {
		tally.answered++;
		tally.replayed += result.isReplayed ? 1 : 0;
	} else if (result.body.executed === 'no') {
		tally.refusedNotRun++;
	} else if (result.body.executed === 'unknown') {
		tally.unknown++;
	} else {
		tally.other++;
	}
};

type LoadOptions = {
	readonly fleet: Fleet;
	readonly calls: number;
	readonly concurrency: number;
	readonly label: string;
	/** Number of concurrent requests with the same idempotency key. */
	readonly copies: number;
	readonly random: () => number;
	readonly beforeCall?: () => void;
};

const runLoad = async ({fleet, calls, concurrency, label, copies, random, beforeCall}: LoadOptions) => {
	const latencies = makeLatencies();
	const tally: Tally = {
		answered: 0, replayed: 0, refusedNotRun: 0, unknown: 0, other: 0, falselyNotRun: 0,
	};
	// Callers, daemons and services share the process's limit of open files, often 1,024. Use fewer connections when latency is not measured.
	const connections = copies > 1 ? Math.ceil(concurrency * copies / fleet.daemons.length) : concurrency;
	const dispatcher = new Agent({connections, pipelining: 1});
	const appendsBefore = await countAppends(fleet);
	const startedAt = performance.now();
	let next = 0;
	const refusedKeys = new Map<string, number>();

	const callOnce = async (name: string): Promise<void> => {
		beforeCall?.();
		const daemon = fleet.daemons[Math.floor(random() * fleet.daemons.length)]!;
		const callStartedAt = performance.now();
		const result = await sendReservation({
			address: daemon.address, key: name, body: JSON.stringify({name}), dispatcher,
		});
		latencies.record(performance.now() - callStartedAt);
		countOutcome(tally, result);
		if (result.body.executed === 'no') {
			refusedKeys.set(name, (refusedKeys.get(name) ?? 0) + 1);
		}
	};

	const runCaller = async (): Promise<void> => {
		while (next < calls) {
			const name = `${label}-${next}`;
			next += copies;
			await Promise.all(Array.from({length: copies}, async () => callOnce(name))); // eslint-disable-line no-await-in-loop -- a caller waits for its responses
		}
	};

	await Promise.all(Array.from({length: concurrency}, async () => runCaller()));
	const milliseconds = performance.now() - startedAt;
	const appends = await countAppends(fleet) - appendsBefore;
	const counts = await countExecutions(fleet);
	for (const [name, refusals] of refusedKeys) {
		// Every copy of the call was reported as not executed, but the service executed it.
		tally.falselyNotRun += refusals === copies && counts.has(JSON.stringify({name})) ? 1 : 0;
	}

	await dispatcher.close();
	return {
		calls: latencies.count(),
		callsPerSecond: Math.round(latencies.count() / milliseconds * 1000),
		appendsPerSecond: Math.round(appends / milliseconds * 1000),
		latencyMs: getQuantiles(latencies),
		...tally,
	};
};

/** Measures calls to a repeatable service, which need no claim, as the baseline for the added latency. */
const measureRepeatableService = async (fleet: Fleet, options: Options) => {
	const latencies = makeLatencies();
	const dispatcher = new Agent({connections: options.concurrency, pipelining: 1});
	await Promise.all(Array.from({length: options.concurrency}, async (_value, index) => {
		for (let count = 0; count < options.calls / options.concurrency; count++) {
			const startedAt = performance.now();
			// eslint-disable-next-line no-await-in-loop -- a caller waits for its response
			await sendReservation({
				address: fleet.daemons[index % fleet.daemons.length]!.address, key: undefined, body: '{}', path: '/services/catalogue/x', dispatcher,
			});
			latencies.record(performance.now() - startedAt);
		}
	}));
	await dispatcher.close();
	return getQuantiles(latencies);
};

const measureWindow = async (options: Options, windowMs: number) => {
	const fleet = await startFleet(options.daemons, windowMs);
	try {
		const commonOptions = {
			fleet, concurrency: options.concurrency, random: makeRandom(options.seed), copies: 1,
		};
		await runLoad({...commonOptions, calls: options.calls / 4, label: 'warm'});
		const repeatable = await measureRepeatableService(fleet, options);
		const claimed = await runLoad({...commonOptions, calls: options.calls, label: 'w'});
		return {
			windowMs, ...claimed, repeatableMs: repeatable, addedP95Ms: round(claimed.latencyMs.p95 - repeatable.p95),
		};
	} finally {
		await fleet.close();
	}
};

const runFaults = async (options: Options) => {
	const fleet = await startFleet(options.daemons, 5);
	const random = makeRandom(options.seed);
	const injectFaults = (): void => {
		if (random() < options.logFaults) {
			void fleet.platform.control({kind: 'fault', target: 'log', fault: {on: 'append', kind: random() < 0.5 ? 'lose_reply' : 'refuse', times: 1}});
		}

		if (random() < options.logFaults) {
			void fleet.platform.control({kind: 'fault', target: 'log', fault: {on: 'read', kind: 'refuse', times: 1}});
		}

		if (random() < options.serviceFaults) {
			void fleet.platform.control({kind: 'fault', target: 'service', fault: {on: 'call', kind: random() < 0.5 ? 'lose_reply' : 'mismatch', times: 1}});
		}
	};

	try {
		const result = await runLoad({
			fleet, calls: options.faultyCalls, concurrency: options.concurrency, label: 'f', copies: 2, random, beforeCall: injectFaults,
		});
		const counts = [...await countExecutions(fleet)].filter(([body]) => body !== '{}');
		return {...result, keys: counts.length, executionsMoreThanOnce: counts.filter(([, count]) => count > 1).length};
	} finally {
		await fleet.close();
	}
};

const run = async (options: Options, printLine: (line: string) => void): Promise<Report> => {
	const windows = [];
	for (const windowMs of options.windowsMs) {
		const result = await measureWindow(options, windowMs); // eslint-disable-line no-await-in-loop -- windows are measured sequentially
		windows.push(result);
		printLine(`window ${windowMs} ms: ${result.callsPerSecond} calls/s, ${result.appendsPerSecond} appends/s, p95 ${result.latencyMs.p95} ms, added ${result.addedP95Ms} ms`);
	}

	const faulty = options.faultyCalls === 0 ? undefined : await runFaults(options);
	return {
		experiment: 'claims',
		seed: options.seed,
		windows,
		faulty,
		executionsMoreThanOnce: faulty?.executionsMoreThanOnce ?? 0,
	};
};

export const claimsExperiment: Experiment<typeof schema> = {name: 'claims', schema, run};
