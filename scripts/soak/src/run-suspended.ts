/** Runs streams while one daemon, a process of its own, is suspended again and again and engines start at other software versions meanwhile. */
import {setTimeout as sleep} from 'node:timers/promises';
import {makeRandom} from '@shallotpass/core/testing/make-random.js';
import {makeSettings, startPlatformFixture, waitUntil} from '@shallotpass/platform/stand-ins/platform-fixture.js';
import {runStreams, type TakenUpStream} from '@shallotpass/platform/stand-ins/stream-callers.js';
import {startVersionedEngines, type VersionedEngines} from '@shallotpass/platform/stand-ins/versioned-engines.js';
import {type DaemonProcess, makeDaemonProcess} from './daemon-process.js';

export type SuspendedRun = {
	readonly seed: number;
	readonly rounds: number;
	/** Directory for the settings and the log of the process. */
	readonly folder: string;
};

const streamEvents = 20;
const eventDelayMs = 30;
const perSecond = 30;
const cutShare = 0.2;

/** Longest time for which it is suspended, and the least. */
const longestPauseMs = 2500;
const shortestPauseMs = 300;

const isReady = async (address: string): Promise<boolean> => {
	try {
		const answer = await fetch(`http://${address}/ready`);
		return answer.status === 200;
	} catch {
		// It does not listen yet.
		return false;
	}
};

/** Suspends the daemon, lets engines change their version, join and crash, and continues it. */
const runRound = async (daemon: DaemonProcess, engines: VersionedEngines, random: () => number): Promise<void> => {
	daemon.send('SIGSTOP');
	const version = random() < 0.5 ? 'v1' : 'v2';
	const running = engines.list();
	const restarted = running[Math.floor(random() * running.length)]!;
	void engines.restart(restarted, {version: restarted.softwareVersion === 'v1' ? 'v2' : 'v1', downMs: 20, entryLagMs: Math.floor(random() * 1500)});
	const joined = await engines.start(version);
	await sleep(shortestPauseMs + (random() * (longestPauseMs - shortestPauseMs)));
	const crashed = engines.list().find(engine => engine !== joined && engine.id !== restarted.id)!;
	void engines.crash(crashed);
	daemon.send('SIGCONT');
	await sleep(1200);
	await engines.start(crashed.softwareVersion!);
	void engines.retire(joined, random() < 0.5);
};

/** Returns all streams of the callers of the suspended daemon and of two others. */
export const runSuspended = async ({seed, rounds, folder}: SuspendedRun): Promise<TakenUpStream[]> => {
	const random = makeRandom(seed);
	const fixture = await startPlatformFixture({daemons: 0, engines: 0});
	const engines = await startVersionedEngines({
		fixture, versions: ['v1', 'v2', 'v1', 'v2', 'v1', 'v2'], events: streamEvents, delayMs: eventDelayMs,
	});
	const others = [await fixture.startDaemon('daemon-0'), await fixture.startDaemon('daemon-1')];
	const daemon = makeDaemonProcess(makeSettings('suspended', fixture.store.address, fixture.cloud.address), folder);
	try {
		daemon.start();
		await waitUntil('the process is ready', async () => isReady(daemon.settings.listen.ready));
		await waitUntil('the daemons know each other', () => others.every(({state}) => state.peers.size === 2));
		const end = new AbortController();
		const addresses = [...others.map(({state}) => state.settings.listen.callers), daemon.settings.listen.callers];
		const traffic = runStreams({
			listAddresses: () => addresses, name: 's', random: makeRandom(seed + 1), cutShare, events: streamEvents, perSecond, signal: end.signal,
		});
		for (let round = 0; round < rounds; round++) {
			await sleep(600); // eslint-disable-line no-await-in-loop -- one round after the other
			await runRound(daemon, engines, random); // eslint-disable-line no-await-in-loop -- one round after the other
		}

		end.abort();
		return await traffic;
	} finally {
		daemon.send('SIGCONT');
		await daemon.end('SIGKILL');
		await fixture.close();
		await engines.close();
	}
};
