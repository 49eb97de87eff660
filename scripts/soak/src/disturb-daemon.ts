/** Records the times at which faults affect daemons, and ends and restarts these. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type SoakCluster, type SoakDaemon} from './soak-cluster.js';

/** Runs the action and records its duration as a disturbance of the daemon, or of all daemons if none is given. */
export const recordDisturbance = async (cluster: SoakCluster, daemon: string | undefined, action: () => Promise<void>, isPlanned = false): Promise<void> => {
	const from = performance.now();
	// The end stays open until the action is over, because the history may be checked in the meantime.
	const disturbance = {
		daemon, from, until: Number.POSITIVE_INFINITY, isPlanned,
	};
	cluster.disturbances.push(disturbance);
	await action();
	disturbance.until = performance.now();
};

/** Runs the action and records the disturbance, unless another fault already affects the daemon. */
export const withUndisturbedDaemon = async (cluster: SoakCluster, index: number, action: (daemon: SoakDaemon) => Promise<void>, isPlanned = false): Promise<void> => {
	const daemon = cluster.daemons[index]!;
	if (daemon.hasActiveFault) {
		return;
	}

	daemon.hasActiveFault = true;
	try {
		await recordDisturbance(cluster, daemon.process.id, async () => action(daemon), isPlanned);
	} finally {
		daemon.hasActiveFault = false;
	}
};

export const restartDaemon = async (daemon: SoakDaemon, signal: 'SIGTERM' | 'SIGKILL', forMs: number): Promise<void> => {
	await daemon.process.end(signal);
	await sleep(forMs);
	daemon.process.start();
};
