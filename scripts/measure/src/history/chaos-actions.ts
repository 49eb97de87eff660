/** The actions of a chaos run. Each action repairs what it broke before it ends, except that stopped daemons are not replaced. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Daemon} from '@shallotpass/daemon/start-daemon.js';
import {applyConfiguration, makeConfigurationText} from '../local-fleet.js';
import {streamChatAndRecord} from './chaos-callers.js';
import {
	crashMarker, getDaemonId, pickRandom, replaceEngines, type ChaosEngine, type ChaosCluster,
} from './chaos-cluster.js';

export type ChaosAction = {
	readonly name: string;
	readonly perform: (cluster: ChaosCluster) => Promise<void>;
};

const noticeMs = 4000;
const outageMs = 800;
const settleMs = 300;
const maxClockJumpMs = 2 * 60 * 60 * 1000;

/** Minimum number of engines that no action holds, so that requests can be rerouted. */
const minFreeEngines = 3;

const acceptedStatus = 202;

/** Minimum number of daemons that stay available to callers. */
const minDaemons = 3;

/** Marks the matching engines as busy. Holds none if fewer than `minFreeEngines` would stay free. */
const holdEngines = (cluster: ChaosCluster, matches: (engine: ChaosEngine) => boolean): ChaosEngine[] => {
	const free = cluster.engines.filter(engine => !cluster.busyEngines.has(engine.id));
	const held = free.filter(engine => matches(engine));
	if (free.length - held.length < minFreeEngines) {
		return [];
	}

	for (const engine of held) {
		cluster.busyEngines.add(engine.id);
	}

	return held;
};

const holdRandomEngine = (cluster: ChaosCluster): ChaosEngine[] => {
	const {id} = pickRandom(cluster.engines, cluster.random);
	return holdEngines(cluster, engine => engine.id === id);
};

const closeAndReplace = async (cluster: ChaosCluster, engines: readonly ChaosEngine[]): Promise<void> => {
	await Promise.all(engines.map(async engine => engine.server.close()));
	await sleep(settleMs);
	await replaceEngines(cluster, engines);
};

const reclaimEngines = async (cluster: ChaosCluster, engines: readonly ChaosEngine[]): Promise<void> => {
	const at = Date.now();
	for (const {id} of engines) {
		cluster.history.notices.push({backend: id, at, leavesAt: at + noticeMs});
		cluster.fleet.platform.cloud.announceReclaim(id, at + noticeMs);
	}

	await sleep(engines.length === 0 ? 0 : noticeMs);
	await closeAndReplace(cluster, engines);
};

/** Injects a fault and records its period, including a margin after its end in which the outcome of a call may still be lost. */
const injectAndRecord = async (cluster: ChaosCluster, description: string, injectFault: () => Promise<void>, daemon?: string): Promise<void> => {
	const from = Date.now();
	try {
		await injectFault();
	} finally {
		cluster.history.faults.push({
			description, daemon, from, to: Date.now() + settleMs,
		});
	}
};

/** Removes a random daemon from those that receive calls, unless only `minDaemons` are left: the platform's load balancer always has one to choose. */
const removeDaemon = (cluster: ChaosCluster): Daemon | undefined => {
	const daemon = pickRandom(cluster.daemons, cluster.random);
	if (cluster.daemons.length <= minDaemons) {
		return undefined;
	}

	cluster.daemons = cluster.daemons.filter(other => other !== daemon);
	return daemon;
};

const makeLogFaultAction = (kind: 'refuse' | 'lose_reply' | 'delay', on: 'append' | 'read') => async (cluster: ChaosCluster): Promise<void> => {
	const {faults} = cluster.fleet.platform.log;
	await injectAndRecord(cluster, `log ${kind} ${on}`, async () => {
		faults.add({on, kind, delayMs: 400});
		await sleep(outageMs);
		faults.clear(on);
	});
};

const makeServiceFaultAction = (kind: 'lose_reply' | 'mismatch' | 'refuse') => async (cluster: ChaosCluster): Promise<void> => {
	await injectAndRecord(cluster, `service ${kind}`, async () => {
		const {faults} = pickRandom(cluster.services, cluster.random).server;
		faults.add({on: 'call', kind, times: 2});
		await sleep(settleMs);
		faults.clear('call');
	});
};

/** Applies a configuration and records it if accepted. The call may fail because its daemon is stopped meanwhile. */
const applyAndRecord = async (cluster: ChaosCluster, daemon: Daemon, label: string, base: number): Promise<void> => {
	try {
		const answer = await applyConfiguration(daemon, makeConfigurationText(`${label} ${cluster.random()}`), base);
		if (answer.status === acceptedStatus) {
			cluster.history.acceptedVersions.push({version: answer.body.version!, at: Date.now()});
		}
	} catch {
		// Without a response the operator was given no guarantee, so there is nothing to check.
	}
};

export const chaosActions: readonly ChaosAction[] = [
	{
		name: 'an engine dies without notice',
		perform: async cluster => closeAndReplace(cluster, holdRandomEngine(cluster)),
	},
	{
		name: 'an engine is reclaimed',
		perform: async cluster => reclaimEngines(cluster, holdRandomEngine(cluster)),
	},
	{
		name: 'a zone of engines is reclaimed',
		async perform(cluster) {
			const zone = pickRandom(cluster.fleet.zones, cluster.random).name;
			await reclaimEngines(cluster, holdEngines(cluster, engine => engine.zone === zone));
		},
	},
	{
		name: 'an engine dies in the middle of its reclaim',
		async perform(cluster) {
			const engines = holdRandomEngine(cluster);
			for (const {id} of engines) {
				cluster.fleet.platform.cloud.announceReclaim(id, Date.now() + noticeMs);
			}

			await sleep(cluster.random() * settleMs);
			await closeAndReplace(cluster, engines);
		},
	},
	{
		name: 'a daemon is stopped as planned',
		async perform(cluster) {
			const daemon = removeDaemon(cluster);
			if (daemon !== undefined) {
				cluster.history.stops.push({daemon: getDaemonId(daemon), isPlanned: true, at: Date.now()});
				await daemon.drain();
			}
		},
	},
	{
		name: 'a daemon dies in the middle of its drain',
		async perform(cluster) {
			const daemon = removeDaemon(cluster);
			if (daemon !== undefined) {
				void daemon.drain();
				await sleep(cluster.random() * outageMs);
				cluster.history.stops.push({daemon: getDaemonId(daemon), isPlanned: false, at: Date.now()});
				await injectAndRecord(cluster, 'daemon crash', async () => daemon.stop());
			}
		},
	},
	{
		name: 'a zone is cut off from the platform',
		async perform(cluster) {
			const zone = pickRandom(cluster.fleet.zones, cluster.random);
			await injectAndRecord(cluster, 'network partition from the platform', async () => {
				zone.setPlatformRelayMode('cut');
				await sleep(outageMs);
				zone.setPlatformRelayMode('open');
			});
		},
	},
	{
		name: 'a zone is cut off from the others',
		async perform(cluster) {
			await injectAndRecord(cluster, 'network partition between zones', async () => {
				cluster.fleet.isolateZones([pickRandom(cluster.fleet.zones, cluster.random)]);
				await sleep(outageMs);
				cluster.fleet.isolateZones([]);
			});
		},
	},
	{
		name: 'open connections go silent',
		async perform(cluster) {
			const zone = pickRandom(cluster.fleet.zones, cluster.random);
			await injectAndRecord(cluster, 'open connections dropped silently', async () => {
				zone.setPlatformRelayMode('forgetful');
				await sleep(outageMs);
				zone.setPlatformRelayMode('open');
			});
		},
	},
	{name: 'the log refuses appends', perform: makeLogFaultAction('refuse', 'append')},
	{name: 'the log loses replies', perform: makeLogFaultAction('lose_reply', 'append')},
	{name: 'the log reads slowly', perform: makeLogFaultAction('delay', 'read')},
	{name: 'a reservation server loses replies', perform: makeServiceFaultAction('lose_reply')},
	{name: 'a reservation server answers another request', perform: makeServiceFaultAction('mismatch')},
	{
		name: 'the clock of a daemon jumps',
		async perform(cluster) {
			const daemon = getDaemonId(pickRandom(cluster.daemons, cluster.random));
			await injectAndRecord(cluster, 'clock jump', async () => {
				cluster.clocks.get(daemon)!.jumpTo((cluster.random() - 0.5) * maxClockJumpMs);
				await sleep(outageMs);
				cluster.clocks.get(daemon)!.jumpTo(0);
			}, daemon);
		},
	},
	{
		name: 'operators race',
		async perform(cluster) {
			const [first, second] = [pickRandom(cluster.daemons, cluster.random), pickRandom(cluster.daemons, cluster.random)];
			const base = first.getVersion('default');
			await Promise.all([first, second].map(async (daemon, index) => applyAndRecord(cluster, daemon, `race ${index}`, base)));
		},
	},
	{
		name: 'a request ends engines and is sent again',
		async perform(cluster) {
			const key = `${crashMarker}${Math.floor(cluster.random() * 1_000_000)}`;
			for (let attempt = 0; attempt < 4; attempt++) {
				await streamChatAndRecord(cluster, key, 5); // eslint-disable-line no-await-in-loop -- each attempt follows the previous one's failure
			}

			const crashed = cluster.allEngines.filter(engine => engine.server.arrivals.some(arrival => arrival.marker === key));
			cluster.history.crashingRequests.push({key, backends: crashed.length});
			await replaceEngines(cluster, crashed.filter(engine => cluster.engines.includes(engine) && !cluster.busyEngines.has(engine.id)));
		},
	},
];
