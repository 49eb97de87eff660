/** What can befall the system, each by its name. An action puts right what it did before it ends, but for daemons, which stay away. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Daemon} from '@shallotpass/daemon/start-daemon.js';
import {applyThrough, makeConfigurationText} from '../local-fleet.js';
import {askRecorded} from './storm-callers.js';
import {
	crashMarker, getDaemonId, pickOne, replaceEngines, type StormEngine, type StormWorld,
} from './storm-world.js';

export type StormAction = {
	readonly name: string;
	readonly perform: (world: StormWorld) => Promise<void>;
};

const noticeMs = 4000;
const outageMs = 800;
const settleMs = 300;
const mostJumpMs = 2 * 60 * 60 * 1000;

/** Engines that must stay, so that there is somewhere to go. */
const leastEngines = 3;

const acceptedStatus = 202;

/** Daemons that must stay. */
const leastDaemons = 3;

const takeEngines = (world: StormWorld, pick: (engine: StormEngine) => boolean): StormEngine[] => {
	const free = world.engines.filter(engine => !world.busyEngines.has(engine.id));
	const taken = free.filter(engine => pick(engine));
	if (free.length - taken.length < leastEngines) {
		return [];
	}

	for (const engine of taken) {
		world.busyEngines.add(engine.id);
	}

	return taken;
};

const takeOneEngine = (world: StormWorld): StormEngine[] => {
	const {id} = pickOne(world.engines, world.random);
	return takeEngines(world, engine => engine.id === id);
};

const closeAndReplace = async (world: StormWorld, engines: readonly StormEngine[]): Promise<void> => {
	await Promise.all(engines.map(async engine => engine.server.close()));
	await sleep(settleMs);
	await replaceEngines(world, engines);
};

const reclaim = async (world: StormWorld, engines: readonly StormEngine[]): Promise<void> => {
	const at = Date.now();
	for (const {id} of engines) {
		world.history.notices.push({backend: id, at, leavesAt: at + noticeMs});
		world.fleet.platform.cloud.giveNotice(id, at + noticeMs);
	}

	await sleep(engines.length === 0 ? 0 : noticeMs);
	await closeAndReplace(world, engines);
};

/** Does harm for a while and notes from when to when; the outcome of a call may be lost in that time and shortly after. */
const harm = async (world: StormWorld, what: string, act: () => Promise<void>, daemon?: string): Promise<void> => {
	const from = Date.now();
	try {
		await act();
	} finally {
		world.history.harms.push({
			what, daemon, from, to: Date.now() + settleMs,
		});
	}
};

/** Leaves one daemon at least in each zone, for the platform's balancer always has one. */
const takeDaemon = (world: StormWorld): Daemon | undefined => {
	const daemon = pickOne(world.daemons, world.random);
	if (world.daemons.length <= leastDaemons) {
		return undefined;
	}

	world.daemons = world.daemons.filter(other => other !== daemon);
	return daemon;
};

const withLogFault = (kind: 'refuse' | 'lose_reply' | 'delay', on: 'append' | 'read') => async (world: StormWorld): Promise<void> => {
	const {faults} = world.fleet.platform.log;
	await harm(world, `log ${kind} ${on}`, async () => {
		faults.add({on, kind, delayMs: 400});
		await sleep(outageMs);
		faults.clear(on);
	});
};

const withServiceFault = (kind: 'lose_reply' | 'mismatch' | 'refuse') => async (world: StormWorld): Promise<void> => {
	await harm(world, `service ${kind}`, async () => {
		const {faults} = pickOne(world.services, world.random).server;
		faults.add({on: 'call', kind, times: 2});
		await sleep(settleMs);
		faults.clear('call');
	});
};

/** An operator whose daemon goes away under the call has no answer, and was told nothing. */
const applyRecorded = async (world: StormWorld, daemon: Daemon, note: string, base: number): Promise<void> => {
	try {
		const answer = await applyThrough(daemon, makeConfigurationText(`${note} ${world.random()}`), base);
		if (answer.status === acceptedStatus) {
			world.history.accepted.push({version: answer.body.version!, at: Date.now()});
		}
	} catch {
		// Whether it was accepted shows in the versions; nothing was promised.
	}
};

export const stormActions: readonly StormAction[] = [
	{
		name: 'an engine dies without notice',
		perform: async world => closeAndReplace(world, takeOneEngine(world)),
	},
	{
		name: 'an engine is reclaimed',
		perform: async world => reclaim(world, takeOneEngine(world)),
	},
	{
		name: 'a zone of engines is reclaimed',
		async perform(world) {
			const zone = pickOne(world.fleet.zones, world.random).name;
			await reclaim(world, takeEngines(world, engine => engine.zone === zone));
		},
	},
	{
		name: 'an engine dies in the middle of its reclaim',
		async perform(world) {
			const engines = takeOneEngine(world);
			for (const {id} of engines) {
				world.fleet.platform.cloud.giveNotice(id, Date.now() + noticeMs);
			}

			await sleep(world.random() * settleMs);
			await closeAndReplace(world, engines);
		},
	},
	{
		name: 'a daemon is stopped as planned',
		async perform(world) {
			const daemon = takeDaemon(world);
			if (daemon !== undefined) {
				world.history.stops.push({daemon: getDaemonId(daemon), isPlanned: true, at: Date.now()});
				await daemon.drain();
			}
		},
	},
	{
		name: 'a daemon dies in the middle of its drain',
		async perform(world) {
			const daemon = takeDaemon(world);
			if (daemon !== undefined) {
				void daemon.drain();
				await sleep(world.random() * outageMs);
				world.history.stops.push({daemon: getDaemonId(daemon), isPlanned: false, at: Date.now()});
				await harm(world, 'a daemon dies', async () => daemon.stop());
			}
		},
	},
	{
		name: 'a zone is cut off from the platform',
		async perform(world) {
			const zone = pickOne(world.fleet.zones, world.random);
			await harm(world, 'cut from the platform', async () => {
				zone.setPlatform('cut');
				await sleep(outageMs);
				zone.setPlatform('open');
			});
		},
	},
	{
		name: 'a zone is cut off from the others',
		async perform(world) {
			await harm(world, 'cut from the zones', async () => {
				world.fleet.separate([pickOne(world.fleet.zones, world.random)]);
				await sleep(outageMs);
				world.fleet.separate([]);
			});
		},
	},
	{
		name: 'open connections go silent',
		async perform(world) {
			const zone = pickOne(world.fleet.zones, world.random);
			await harm(world, 'forgotten connections', async () => {
				zone.setPlatform('forgetful');
				await sleep(outageMs);
				zone.setPlatform('open');
			});
		},
	},
	{name: 'the log refuses appends', perform: withLogFault('refuse', 'append')},
	{name: 'the log loses replies', perform: withLogFault('lose_reply', 'append')},
	{name: 'the log reads slowly', perform: withLogFault('delay', 'read')},
	{name: 'a reservation server loses replies', perform: withServiceFault('lose_reply')},
	{name: 'a reservation server answers another request', perform: withServiceFault('mismatch')},
	{
		name: 'the clock of a daemon jumps',
		async perform(world) {
			const daemon = getDaemonId(pickOne(world.daemons, world.random));
			await harm(world, 'a clock jumps', async () => {
				world.clocks.get(daemon)!.jumpTo((world.random() - 0.5) * mostJumpMs);
				await sleep(outageMs);
				world.clocks.get(daemon)!.jumpTo(0);
			}, daemon);
		},
	},
	{
		name: 'operators race',
		async perform(world) {
			const [left, right] = [pickOne(world.daemons, world.random), pickOne(world.daemons, world.random)];
			const base = left.getVersion('default');
			await Promise.all([left, right].map(async (daemon, index) => applyRecorded(world, daemon, `race ${index}`, base)));
		},
	},
	{
		name: 'a request ends engines and is sent again',
		async perform(world) {
			const key = `${crashMarker}${Math.floor(world.random() * 1_000_000)}`;
			for (let sending = 0; sending < 4; sending++) {
				await askRecorded(world, key, 5); // eslint-disable-line no-await-in-loop -- sent again after its refusal
			}

			const crashed = world.allEngines.filter(engine => engine.server.arrivals.some(arrival => arrival.marker === key));
			world.history.crashedBy.push({key, backends: crashed.length});
			await replaceEngines(world, crashed.filter(engine => world.engines.includes(engine) && !world.busyEngines.has(engine.id)));
		},
	},
];
