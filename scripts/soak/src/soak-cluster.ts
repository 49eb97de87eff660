/** System under test of one run: stand-ins in this process, a relay in front of each, and daemons as child processes. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Relay, startRelay} from '@shallotpass/stand-ins/relay.js';
import {hashText} from '@shallotpass/core/routing/rank-by-rendezvous.js';
import {type BackendStandIn} from '@shallotpass/platform/stand-ins/backend-stand-in.js';
import {type StreamFraming, streamFramings} from '@shallotpass/platform/stand-ins/framed-stream.js';
import {
	announceBackend, makeConfiguration, makeSettings, type PlatformFixture, startPlatformFixture, waitUntil,
} from '@shallotpass/platform/stand-ins/platform-fixture.js';
import {type DatagramFaults, type LinkFailure} from './daemon-links.js';
import {type DaemonProcess, makeDaemonProcess} from './daemon-process.js';
import {eventsPerStream} from './format-events.js';
import {limitedTenant} from './limited-account.js';
import {
	type Ban, type BackendLimitSpan, type BrittleSpan, type Cut, type Disturbance, type LinkDisturbance, type PlannedWork, type StartingStop,
} from './history.js';

export type SoakBackend = {
	readonly standIn: BackendStandIn;
	readonly service: 'app' | 'llm';
	readonly relay: Relay;
	/** Start time announced to the store. It increases each time the backend server returns. */
	born: number;
	isLeaving: boolean;
};

export type SoakDaemon = {
	readonly process: DaemonProcess;
	readonly store: Relay;
	readonly cloud: Relay;
	/** Relays of its own links to the backend servers, by the address under which these are announced. */
	readonly links: ReadonlyMap<string, Relay>;
	/** How its links fail. */
	linkFailure: LinkFailure | undefined;
	/** Error of its clock, from a start of the process on. Steps come on top. */
	clockErrorMs: number;
	/** Faults of the datagrams that it sends. */
	readonly datagramFaults: Set<DatagramFaults>;
	/** Whether a fault currently affects the process. Further faults skip it. */
	hasActiveFault: boolean;
};

export type SoakCluster = {
	readonly fixture: PlatformFixture;
	readonly backends: readonly SoakBackend[];
	readonly daemons: readonly SoakDaemon[];
	readonly disturbances: Disturbance[];
	readonly bans: Ban[];
	readonly limits: BackendLimitSpan[];
	readonly linkDisturbances: LinkDisturbance[];
	/** Periods in which backend servers misbehaved. */
	readonly backendFaults: LinkDisturbance[];
	readonly plannedWork: PlannedWork[];
	readonly cuts: Cut[];
	readonly startingStops: StartingStop[];
	readonly brittleSpans: BrittleSpan[];
	/** When engines crashed under a prompt, and the addresses of those that are not back yet. */
	readonly crashes: number[];
	readonly crashed: Set<string>;
	version: number;
	/** Adds a line to the notes, which are written with the history of the run. */
	readonly addNote: (line: string) => void;
};

const engineCount = 3;
const appCount = 3;
export const backendCount = engineCount + appCount;

/** Delay between two events of an engine, and before the answer of an app. */
const backendDelayMs = 20;

/** Time for which an engine marks the ends of its streams in one way. */
const framingMs = 1500;

/** Framings that mark the end of a stream. The relays close the connections of a broken link in order, which ends any other as if it were whole. */
const markedFramings: readonly StreamFraming[] = ['chunks', 'length'];

/** Returns what draws how an engine marks the end of a stream that begins now. */
const makeFramingDraw = (seed: number, engine: string, framings: readonly StreamFraming[]): (() => StreamFraming) => {
	const startedAt = performance.now();
	return () => {
		const period = Math.floor((performance.now() - startedAt) / framingMs);
		return framings[hashText(`${seed} ${engine} ${period}`) % framings.length]!;
	};
};

export type SoakClusterOptions = {
	readonly seed: number;
	readonly daemons: number;
	/** Whether links stay sound. */
	readonly hasOnlyPlannedWork: boolean;
	/** Directory for the daemons' settings and logs. */
	readonly folder: string;
	readonly usageWindowMs: number;
	readonly addNote: (line: string) => void;
};

/** Software version of the engines but the last one, which has the other version and changes it with each start. */
export const lastingVersion = 'v1';
const otherVersion = 'v1.2';

const addBackend = async (fixture: PlatformFixture, standIn: BackendStandIn, service: 'app' | 'llm'): Promise<SoakBackend> => {
	const relay = await startRelay(standIn.address);
	standIn.delayMs = backendDelayMs;
	standIn.events = eventsPerStream;
	standIn.born = 1;
	standIn.softwareVersion = service === 'llm' ? lastingVersion : undefined;
	if (standIn.id === `engine-${engineCount - 1}`) {
		standIn.softwareVersion = otherVersion;
	}

	announceBackend(fixture.store, standIn, {
		service, address: relay.address, born: 1, version: standIn.softwareVersion ?? lastingVersion,
	});
	return {
		standIn, service, relay, born: 1, isLeaving: false,
	};
};

/** Lets a backend server start again as another incarnation, and announces it. The last engine comes back at the other version. */
export const announceReturn = ({fixture}: Pick<SoakCluster, 'fixture'>, backend: SoakBackend): void => {
	const {standIn, service, relay} = backend;
	backend.born++;
	if (standIn.id === `engine-${engineCount - 1}`) {
		standIn.softwareVersion = standIn.softwareVersion === lastingVersion ? otherVersion : lastingVersion;
	}

	announceBackend(fixture.store, standIn, {
		service, address: relay.address, born: backend.born, version: standIn.softwareVersion ?? lastingVersion,
	});
};

/** Lets the daemon connect to backend servers through its links, unless these fail or nothing listens at the other end. */
export const openLinks = ({process, links, linkFailure}: Pick<SoakDaemon, 'process' | 'links' | 'linkFailure'>, {crashed}: Pick<SoakCluster, 'crashed'>): void => {
	process.setLinks({failure: linkFailure, crashed: [...crashed], relays: Object.fromEntries([...links].map(([address, relay]) => [address, relay.address]))});
};

const startDaemon = async (fixture: PlatformFixture, backends: readonly SoakBackend[], index: number, {folder, usageWindowMs}: SoakClusterOptions): Promise<SoakDaemon> => {
	const storeRelay = await startRelay(fixture.store.address);
	const cloudRelay = await startRelay(fixture.cloud.address);
	const settings = makeSettings(`daemon-${index}`, storeRelay.address, cloudRelay.address);
	const process = makeDaemonProcess({...settings, bounds: {...settings.bounds, usageWindowMs}}, folder);
	const links = new Map(await Promise.all(backends.map(async ({relay}) => [relay.address, await startRelay(relay.address)] as const)));
	openLinks({process, links, linkFailure: undefined}, {crashed: new Set()});
	process.start();
	return {
		process, store: storeRelay, cloud: cloudRelay, links, linkFailure: undefined, clockErrorMs: 0, datagramFaults: new Set(), hasActiveFault: false,
	};
};

const isReady = async (daemon: SoakDaemon): Promise<boolean> => {
	try {
		const answer = await fetch(`http://${daemon.process.settings.listen.ready}/ready`);
		return answer.status === 200;
	} catch {
		// The daemon does not listen yet.
		return false;
	}
};

/** A daemon that is not ready within this time is reported as never ready. */
const readyTimeoutMs = 30_000;

/** Waits for all daemons and returns the ids of those that did not become ready. */
export const waitForReady = async (cluster: SoakCluster): Promise<string[]> => {
	const deadline = performance.now() + readyTimeoutMs;
	const notReady: string[] = [];
	for (const daemon of cluster.daemons) {
		let isDaemonReady = await isReady(daemon); // eslint-disable-line no-await-in-loop -- the total wait is that of the slowest daemon
		while (!isDaemonReady && performance.now() < deadline) {
			await sleep(50); // eslint-disable-line no-await-in-loop -- a poll
			isDaemonReady = await isReady(daemon); // eslint-disable-line no-await-in-loop -- a poll
		}

		if (!isDaemonReady) {
			notReady.push(daemon.process.id);
		}
	}

	return notReady;
};

export const startSoakCluster = async (options: SoakClusterOptions): Promise<SoakCluster> => {
	const configuration = makeConfiguration(1);
	const fixture = await startPlatformFixture({
		daemons: 0, engines: engineCount, apps: appCount, configuration: {...configuration, tenants: [...configuration.tenants, limitedTenant]},
	});
	const backends = await Promise.all([
		...fixture.engines.map(async standIn => addBackend(fixture, standIn, 'llm')),
		...fixture.apps.map(async standIn => addBackend(fixture, standIn, 'app')),
	]);
	for (const engine of fixture.engines) {
		engine.findFraming = makeFramingDraw(options.seed, engine.id, options.hasOnlyPlannedWork ? streamFramings : markedFramings);
	}

	const startedDaemons: SoakDaemon[] = [];
	for (let index = 0; index < options.daemons; index++) {
		startedDaemons.push(await startDaemon(fixture, backends, index, options)); // eslint-disable-line no-await-in-loop -- started in the order of their ids
	}

	const cluster: SoakCluster = {
		fixture, backends, daemons: startedDaemons, disturbances: [], bans: [], limits: [], linkDisturbances: [], backendFaults: [], plannedWork: [], cuts: [], startingStops: [], brittleSpans: [], crashes: [], crashed: new Set(), version: 1, addNote: options.addNote,
	};
	await waitForReady(cluster);
	await waitUntil('a daemon holds the lease and calls the cloud', () => fixture.cloud.calls.length > 0);
	return cluster;
};

export const closeSoakCluster = async (cluster: SoakCluster): Promise<void> => {
	await Promise.all(cluster.daemons.map(async ({process}) => {
		process.send('SIGCONT');
		await process.end('SIGKILL');
	}));
	await Promise.all([
		...cluster.backends.map(async ({relay}) => relay.close()),
		...cluster.daemons.flatMap(({store: storeRelay, cloud: cloudRelay, links}) => [storeRelay, cloudRelay, ...links.values()]).map(async relay => relay.close()),
		cluster.fixture.close(),
	]);
};
