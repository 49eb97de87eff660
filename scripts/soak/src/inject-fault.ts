/** Injects planned faults into a running cluster and reverts them. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Relay} from '@shallotpass/stand-ins/relay.js';
import {putAccountKeys, secondKey} from '@shallotpass/platform/stand-ins/platform-fixture.js';
import {shopKey} from '@shallotpass/platform/stand-ins/send-call.js';
import {recordDisturbance, restartDaemon, withUndisturbedDaemon} from './disturb-daemon.js';
import {
	applyBackendFault, boundMarginMs, makeBrittle, pauseStreams, propagationBoundMs, removeBackendTemporarily, stateLimit,
} from './inject-backend-fault.js';
import {endHolder, spoilLease, startWithWrongClock} from './inject-lease-fault.js';
import {limitedTenant} from './limited-account.js';
import {loseDatagrams, separateDaemons} from './lose-datagrams.js';
import {type Fault, type LinkFault} from './plan-faults.js';
import {openLinks, type SoakCluster, type SoakDaemon} from './soak-cluster.js';

/** Latency that a slow link adds in each direction. */
const addedLatencyMs = 150;

/** Disrupts the links for the given time, then restores them. */
const disruptLinks = async (relays: readonly Relay[], mode: LinkFault, forMs: number): Promise<void> => {
	for (const relay of relays) {
		if (mode === 'slow') {
			relay.setDelay(addedLatencyMs);
		} else {
			relay.setMode(mode);
		}
	}

	await sleep(forMs);
	for (const relay of relays) {
		relay.setDelay(0);
		// Closes hanging connections so that both ends notice.
		relay.setMode('cut');
		relay.setMode('open');
	}
};

/** Stops the daemon and starts it again, and stops it so long after each start; then it may run. */
const stopStartingDaemon = async (cluster: SoakCluster, {process}: SoakDaemon, afterMs: readonly number[]): Promise<void> => {
	await process.end('SIGTERM');
	for (const ms of afterMs) {
		const from = performance.now();
		process.start();
		await sleep(ms); // eslint-disable-line no-await-in-loop -- one start after the other
		const signalledAt = performance.now();
		await process.end('SIGTERM'); // eslint-disable-line no-await-in-loop -- one start after the other
		cluster.startingStops.push({
			daemon: process.id, from, signalledAt, until: performance.now(),
		});
	}

	process.start();
};

/** Writes a new configuration version with or without the second key. A ban of the second key from an earlier version ends now. */
const changeAccountKeys = (cluster: SoakCluster, hasSecondKey: boolean): void => {
	cluster.version++;
	putAccountKeys(cluster.fixture.store, cluster.version, hasSecondKey ? [shopKey, secondKey] : [shopKey], [limitedTenant]);
	const now = performance.now();
	for (const ban of cluster.bans.filter(({kind, until}) => kind === 'key' && until === Number.POSITIVE_INFINITY)) {
		cluster.bans[cluster.bans.indexOf(ban)] = {...ban, until: now};
	}

	if (!hasSecondKey) {
		cluster.bans.push({
			kind: 'key', key: secondKey, from: now + propagationBoundMs + boundMarginMs, until: Number.POSITIVE_INFINITY,
		});
	}
};

/** Makes the links of the daemons to all backend servers fail for the given time. Daemons that are cut off already are left as they are. */
const isolateDaemons = async (cluster: SoakCluster, {daemons: indexes, how, forMs}: Fault & {kind: 'cut_off'}): Promise<void> => {
	const cutNow = new Set(cluster.cuts.filter(({until}) => until === Infinity).flatMap(({daemons}) => daemons));
	const daemons = indexes.map(index => cluster.daemons[index]!).filter(({process}) => !cutNow.has(process.id));
	const cut = {daemons: daemons.map(({process}) => process.id), from: performance.now(), until: Infinity};
	cluster.cuts.push(cut);
	for (const daemon of daemons) {
		daemon.linkFailure = how;
		openLinks(daemon, cluster);
		for (const relay of daemon.links.values()) {
			relay.setMode(how === 'refused' ? 'open' : how);
		}
	}

	await sleep(forMs);
	for (const daemon of daemons) {
		for (const relay of daemon.links.values()) {
			if (how === 'silent') {
				// Closes hanging connections so that both ends notice.
				relay.setMode('cut');
			}

			relay.setMode('open');
		}

		daemon.linkFailure = undefined;
		openLinks(daemon, cluster);
	}

	cut.until = performance.now();
};

/** Injects a fault. Resolves when it has been reverted. */
export const injectFault = async (cluster: SoakCluster, fault: Fault): Promise<void> => {
	cluster.addNote(`${Math.round(performance.now())} ${JSON.stringify(fault)}`);
	switch (fault.kind) {
		case 'pause': {
			await withUndisturbedDaemon(cluster, fault.daemon, async ({process}) => {
				process.send('SIGSTOP');
				await sleep(fault.forMs);
				process.send('SIGCONT');
			});
			return;
		}

		case 'kill': {
			await withUndisturbedDaemon(cluster, fault.daemon, async daemon => restartDaemon(daemon, 'SIGKILL', fault.forMs));
			return;
		}

		case 'stop': {
			if (fault.sparesLast === true && cluster.daemons.every((daemon, index) => index === fault.daemon || daemon.hasActiveFault)) {
				return;
			}

			await withUndisturbedDaemon(cluster, fault.daemon, async daemon => {
				cluster.plannedWork.push({kind: 'stop', daemon: daemon.process.id, at: performance.now()});
				await restartDaemon(daemon, 'SIGTERM', fault.forMs);
			}, true);
			return;
		}

		case 'stop_starting': {
			await withUndisturbedDaemon(cluster, fault.daemon, async daemon => stopStartingDaemon(cluster, daemon, fault.afterMs));
			return;
		}

		case 'reload': {
			const {process} = cluster.daemons[fault.daemon]!;
			process.writeSettings('whole', String(performance.now()));
			if (fault.isTold) {
				cluster.plannedWork.push({kind: 'reload', daemon: process.id, at: performance.now()});
				process.send('SIGHUP');
			}

			return;
		}

		case 'spoil_settings': {
			await withUndisturbedDaemon(cluster, fault.daemon, async ({process}) => {
				process.writeSettings('cut_short');
				process.send('SIGHUP');
				await sleep(fault.forMs);
				process.writeSettings('whole');
				process.send('SIGHUP');
			});
			return;
		}

		case 'step_clock': {
			await withUndisturbedDaemon(cluster, fault.daemon, async daemon => {
				daemon.process.setClock(daemon.clockErrorMs + fault.stepMs);
				await sleep(fault.forMs);
				daemon.process.setClock(daemon.clockErrorMs);
			});
			return;
		}

		case 'store': {
			const daemons = fault.daemon === undefined ? cluster.daemons : [cluster.daemons[fault.daemon]!];
			const id = fault.daemon === undefined ? undefined : daemons[0]!.process.id;
			await recordDisturbance(cluster, id, async () => disruptLinks(daemons.map(({store}) => store), fault.how, fault.forMs));
			return;
		}

		case 'cloud': {
			await disruptLinks(cluster.daemons.map(({cloud}) => cloud), fault.how, fault.forMs);
			return;
		}

		case 'link': {
			const {relay, standIn} = cluster.backends[fault.backend]!;
			const from = performance.now();
			await disruptLinks([relay], fault.how, fault.forMs);
			cluster.linkDisturbances.push({backend: standIn.id, from, until: performance.now()});
			return;
		}

		case 'misbehave': {
			await applyBackendFault(cluster, fault);
			return;
		}

		case 'leave': {
			await removeBackendTemporarily(cluster, fault);
			return;
		}

		case 'limit': {
			await stateLimit(cluster, fault);
			return;
		}

		case 'brittle': {
			await makeBrittle(cluster, fault);
			return;
		}

		case 'cut_off': {
			await isolateDaemons(cluster, fault);
			return;
		}

		case 'pause_streams': {
			await pauseStreams(cluster, fault);
			return;
		}

		case 'lose_datagrams': {
			await recordDisturbance(cluster, undefined, async () => loseDatagrams(cluster, fault));
			return;
		}

		case 'start_with_wrong_clock': {
			await startWithWrongClock(cluster, fault);
			return;
		}

		case 'end_holder': {
			await endHolder(cluster, fault);
			return;
		}

		case 'spoil_lease': {
			spoilLease(cluster, fault);
			return;
		}

		case 'separate': {
			const separated = fault.daemons.map(index => cluster.daemons[index]!.process.id);
			const action = async (): Promise<void> => separateDaemons(cluster, fault);
			await recordDisturbance(cluster, separated.length === 1 ? separated[0] : undefined, action);
			return;
		}

		case 'configure': {
			changeAccountKeys(cluster, fault.hasSecondKey);
		}
	}
};
