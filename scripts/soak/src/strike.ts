/** Makes one planned fault happen, and takes it back. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Relay} from '@shallotpass/stand-ins/relay.js';
import {
	announceBackend, putAccountKeys, secondKey, removeBackend,
} from '@shallotpass/platform/stand-ins/platform-fixture.js';
import {shopKey} from '@shallotpass/platform/stand-ins/send-call.js';
import {type Fault, type LinkFault} from './plan-faults.js';
import {type SoakDaemon, type SoakWorld} from './soak-world.js';

/** What a slow path adds each way, in milliseconds. */
const slowMs = 150;

/** Bound within which a configuration is in force and a leaving backend server gets no more calls, as the settings say. */
const inForceMs = 2000;

/** Room for a busy processor: the bound itself is measured at the bench, here it must not depend on the load. */
const boundMarginMs = 1500;

/** A backend server that left without a word serves on for the time of a drain. */
const lastingMs = 2500;

const breakLink = async (relays: readonly Relay[], how: LinkFault, forMs: number): Promise<void> => {
	for (const relay of relays) {
		if (how === 'slow') {
			relay.setDelay(slowMs);
		} else {
			relay.setMode(how);
		}
	}

	await sleep(forMs);
	for (const relay of relays) {
		relay.setDelay(0);
		// What hung is closed, so that both ends learn of it at last.
		relay.setMode('cut');
		relay.setMode('open');
	}
};

const disturb = async (world: SoakWorld, daemon: string | undefined, act: () => Promise<void>): Promise<void> => {
	const from = performance.now();
	// An open end until it is over: the check may run meanwhile.
	const open = {daemon, from, until: Number.POSITIVE_INFINITY};
	world.disturbances.push(open);
	await act();
	open.until = performance.now();
};

/** Leaves daemons alone that another fault holds. */
const withDaemon = async (world: SoakWorld, index: number, act: (daemon: SoakDaemon) => Promise<void>): Promise<void> => {
	const daemon = world.daemons[index]!;
	if (daemon.isHeld) {
		return;
	}

	daemon.isHeld = true;
	try {
		await disturb(world, daemon.process.id, async () => act(daemon));
	} finally {
		daemon.isHeld = false;
	}
};

const restart = async (daemon: SoakDaemon, signal: 'SIGTERM' | 'SIGKILL', forMs: number): Promise<void> => {
	await daemon.process.end(signal);
	await sleep(forMs);
	daemon.process.start();
};

const leave = async (world: SoakWorld, index: number, isTold: boolean, forMs: number): Promise<void> => {
	const backend = world.backends[index]!;
	// The others of its service must be there for the callers.
	if (backend.isLeaving || world.backends.some(other => other.service === backend.service && other.isLeaving)) {
		return;
	}

	const {store} = world.fixture;
	const entry = {service: backend.service, address: backend.relay.address, born: backend.born};
	backend.isLeaving = true;
	if (isTold) {
		announceBackend(store, backend.standIn, {...entry, isLeaving: true});
	} else {
		removeBackend(store, backend.standIn);
	}

	const told = performance.now();
	await sleep(forMs + boundMarginMs);
	removeBackend(store, backend.standIn);
	await sleep(lastingMs);
	world.bans.push({
		kind: 'backend', backend: backend.standIn.id, from: told + inForceMs + boundMarginMs, until: performance.now(),
	});
	backend.born++;
	announceBackend(store, backend.standIn, {...entry, born: backend.born});
	backend.isLeaving = false;
};

const configure = (world: SoakWorld, hasSecondKey: boolean): void => {
	world.version++;
	putAccountKeys(world.fixture.store, world.version, hasSecondKey ? [shopKey, secondKey] : [shopKey]);
	const now = performance.now();
	for (const ban of world.bans.filter(({kind, until}) => kind === 'key' && until === Number.POSITIVE_INFINITY)) {
		world.bans[world.bans.indexOf(ban)] = {...ban, until: now};
	}

	if (!hasSecondKey) {
		world.bans.push({
			kind: 'key', key: secondKey, from: now + inForceMs + boundMarginMs, until: Number.POSITIVE_INFINITY,
		});
	}
};

const misbehave = async (world: SoakWorld, fault: Fault & {kind: 'misbehave'}): Promise<void> => {
	const {standIn} = world.backends[fault.backend]!;
	standIn.failureMode = fault.how;
	await sleep(fault.forMs);
	standIn.failureMode = undefined;
};

export const strike = async (world: SoakWorld, fault: Fault): Promise<void> => {
	world.tell(`${Math.round(performance.now())} ${JSON.stringify(fault)}`);
	switch (fault.kind) {
		case 'pause': {
			await withDaemon(world, fault.daemon, async ({process}) => {
				process.send('SIGSTOP');
				await sleep(fault.forMs);
				process.send('SIGCONT');
			});
			return;
		}

		case 'kill': {
			await withDaemon(world, fault.daemon, async daemon => restart(daemon, 'SIGKILL', fault.forMs));
			return;
		}

		case 'stop': {
			await withDaemon(world, fault.daemon, async daemon => restart(daemon, 'SIGTERM', fault.forMs));
			return;
		}

		case 'reload': {
			const {process} = world.daemons[fault.daemon]!;
			process.writeSettings('whole', String(performance.now()));
			if (fault.isTold) {
				process.send('SIGHUP');
			}

			return;
		}

		case 'spoil_settings': {
			await withDaemon(world, fault.daemon, async ({process}) => {
				process.writeSettings('cut_short');
				process.send('SIGHUP');
				await sleep(fault.forMs);
				process.writeSettings('whole');
				process.send('SIGHUP');
			});
			return;
		}

		case 'step_clock': {
			await withDaemon(world, fault.daemon, async ({process}) => {
				process.setClock(fault.stepMs);
				await sleep(fault.forMs);
				process.setClock(0);
			});
			return;
		}

		case 'store': {
			const daemons = fault.daemon === undefined ? world.daemons : [world.daemons[fault.daemon]!];
			const id = fault.daemon === undefined ? undefined : daemons[0]!.process.id;
			await disturb(world, id, async () => breakLink(daemons.map(({store}) => store), fault.how, fault.forMs));
			return;
		}

		case 'cloud': {
			await breakLink(world.daemons.map(({cloud}) => cloud), fault.how, fault.forMs);
			return;
		}

		case 'link': {
			await breakLink([world.backends[fault.backend]!.relay], fault.how, fault.forMs);
			return;
		}

		case 'misbehave': {
			await misbehave(world, fault);
			return;
		}

		case 'leave': {
			await leave(world, fault.backend, fault.isTold, fault.forMs);
			return;
		}

		case 'configure': {
			configure(world, fault.hasSecondKey);
		}
	}
};
