/** The world of one run: stand-ins in this process, relays before each of them, daemons as processes of their own. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Relay, startRelay} from '@shallotpass/stand-ins/relay.js';
import {type BackendStandIn} from '@shallotpass/platform/stand-ins/backend-stand-in.js';
import {
	announceBackend, makeSettings, type PlatformFixture, startPlatformFixture, waitUntil,
} from '@shallotpass/platform/stand-ins/platform-fixture.js';
import {type DaemonProcess, openDaemonProcess} from './daemon-process.js';
import {eventsPerStream} from './format-events.js';
import {type Ban, type Disturbance} from './history.js';

export type SoakBackend = {
	readonly standIn: BackendStandIn;
	readonly service: 'app' | 'llm';
	readonly relay: Relay;
	/** Grows with each return. */
	born: number;
	isLeaving: boolean;
};

export type SoakDaemon = {
	readonly process: DaemonProcess;
	readonly store: Relay;
	readonly cloud: Relay;
	/** Whether a fault holds the process: the next one leaves it alone. */
	isHeld: boolean;
};

export type SoakWorld = {
	readonly fixture: PlatformFixture;
	readonly backends: readonly SoakBackend[];
	readonly daemons: readonly SoakDaemon[];
	readonly disturbances: Disturbance[];
	readonly bans: Ban[];
	version: number;
	/** A line on what is done; kept with the logs of a run that broke a promise. */
	readonly tell: (line: string) => void;
};

const engines = 3;
const apps = 3;
export const backendCount = engines + apps;

/** An event comes so long after the one before it, and an app answers so late, in milliseconds. */
const workMs = 20;

export type WorldOptions = {
	readonly daemons: number;
	/** Settings and logs of the daemons go there. */
	readonly folder: string;
	readonly tell: (line: string) => void;
};

const openBackend = async (fixture: PlatformFixture, standIn: BackendStandIn, service: 'app' | 'llm'): Promise<SoakBackend> => {
	const relay = await startRelay(standIn.address);
	standIn.delayMs = workMs;
	standIn.events = eventsPerStream;
	announceBackend(fixture.store, standIn, {service, address: relay.address, born: 1});
	return {
		standIn, service, relay, born: 1, isLeaving: false,
	};
};

const openDaemon = async (fixture: PlatformFixture, index: number, folder: string): Promise<SoakDaemon> => {
	const store = await startRelay(fixture.store.address);
	const cloud = await startRelay(fixture.cloud.address);
	const process = openDaemonProcess(makeSettings(`daemon-${index}`, store.address, cloud.address), folder);
	process.start();
	return {
		process, store, cloud, isHeld: false,
	};
};

const isReady = async (daemon: SoakDaemon): Promise<boolean> => {
	try {
		const answer = await fetch(`http://${daemon.process.settings.listen.ready}/ready`);
		return answer.status === 200;
	} catch {
		// It does not listen yet.
		return false;
	}
};

/** A daemon that is not ready by then never will be, in milliseconds. */
const readyWithinMs = 30_000;

/** Gives the daemons that did not become ready. */
export const waitForReady = async (world: SoakWorld): Promise<string[]> => {
	const giveUpAt = performance.now() + readyWithinMs;
	const late: string[] = [];
	for (const daemon of world.daemons) {
		let hasAnswered = await isReady(daemon); // eslint-disable-line no-await-in-loop -- one after the other is as soon as the last
		while (!hasAnswered && performance.now() < giveUpAt) {
			await sleep(50); // eslint-disable-line no-await-in-loop -- a poll
			hasAnswered = await isReady(daemon); // eslint-disable-line no-await-in-loop -- a poll
		}

		if (!hasAnswered) {
			late.push(daemon.process.id);
		}
	}

	return late;
};

export const startSoakWorld = async ({daemons, folder, tell}: WorldOptions): Promise<SoakWorld> => {
	const fixture = await startPlatformFixture({daemons: 0, engines, apps});
	const backends = await Promise.all([
		...fixture.engines.map(async standIn => openBackend(fixture, standIn, 'llm')),
		...fixture.apps.map(async standIn => openBackend(fixture, standIn, 'app')),
	]);
	const opened: SoakDaemon[] = [];
	for (let index = 0; index < daemons; index++) {
		opened.push(await openDaemon(fixture, index, folder)); // eslint-disable-line no-await-in-loop -- ids in order
	}

	const world: SoakWorld = {
		fixture, backends, daemons: opened, disturbances: [], bans: [], version: 1, tell,
	};
	await waitForReady(world);
	await waitUntil('a daemon holds the lease', () => fixture.cloud.calls.length > 0);
	return world;
};

export const closeSoakWorld = async (world: SoakWorld): Promise<void> => {
	await Promise.all(world.daemons.map(async ({process}) => {
		process.send('SIGCONT');
		await process.end('SIGKILL');
	}));
	await Promise.all([
		...world.backends.map(async ({relay}) => relay.close()),
		...world.daemons.flatMap(({store, cloud}) => [store.close(), cloud.close()]),
		world.fixture.close(),
	]);
};
