/** Faults of what a successor of the lease holder goes by: its clock, the records in the store, the holder itself. */
import {setTimeout as sleep} from 'node:timers/promises';
import {leaseTopic} from '@shallotpass/platform/stand-ins/keyed-log-stand-in.js';
import {recordDisturbance, restartDaemon, withUndisturbedDaemon} from './disturb-daemon.js';
import {type Fault} from './plan-faults.js';
import {type SoakCluster, type SoakDaemon} from './soak-cluster.js';

const noteStop = (cluster: SoakCluster, {process}: SoakDaemon, signal: 'SIGTERM' | 'SIGKILL'): void => {
	if (signal === 'SIGTERM') {
		cluster.plannedWork.push({kind: 'stop', daemon: process.id, at: performance.now()});
	}
};

/** Returns the index of the daemon that has called the cloud last. */
const findHolder = ({fixture, daemons}: SoakCluster): number => {
	const holder = fixture.cloud.calls.at(-1)?.holder;
	return daemons.findIndex(({process}) => process.id === holder);
};

/**
 * Ends the daemon and starts it with a wrong clock, with which it also restarts until the clock is set right by a step. A clock that is wrong
 * already is left as it is.
 */
export const startWithWrongClock = async (cluster: SoakCluster, {daemon: planned, signal, forMs, errorMs, lastsMs}: Fault & {kind: 'start_with_wrong_clock'}): Promise<void> => {
	const index = planned === 'holder' ? findHolder(cluster) : planned;
	const daemon = cluster.daemons[index]!;
	if (daemon.hasActiveFault || daemon.clockErrorMs !== 0) {
		return;
	}

	await withUndisturbedDaemon(cluster, index, async () => {
		noteStop(cluster, daemon, signal);
		await daemon.process.end(signal);
		daemon.clockErrorMs = errorMs;
		daemon.process.setClockAtStart(errorMs);
		await sleep(forMs);
		daemon.process.start();
	}, signal === 'SIGTERM');
	if (lastsMs === undefined) {
		return;
	}

	await sleep(lastsMs);
	await recordDisturbance(cluster, daemon.process.id, async () => {
		daemon.clockErrorMs = 0;
		daemon.process.setClock(0);
	});
};

/** Ends the daemon that has called the cloud last, and starts it again. */
export const endHolder = async (cluster: SoakCluster, {signal, forMs}: Fault & {kind: 'end_holder'}): Promise<void> => {
	await withUndisturbedDaemon(cluster, findHolder(cluster), async daemon => {
		noteStop(cluster, daemon, signal);
		await restartDaemon(daemon, signal, forMs);
	}, signal === 'SIGTERM');
};

/** Puts values that cannot be read in place of the records of the lease. */
export const spoilLease = ({fixture}: SoakCluster, {keys, value}: Fault & {kind: 'spoil_lease'}): void => {
	for (const key of keys) {
		fixture.store.put(leaseTopic, key, value);
	}
};
