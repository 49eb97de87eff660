/** Lets daemons hear little or nothing of each other for a while. Faults may overlap: each one ends by itself. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type DatagramFaults} from './daemon-links.js';
import {type Fault} from './plan-faults.js';
import {type SoakCluster, type SoakDaemon} from './soak-cluster.js';

const applyDatagramFaults = ({process, datagramFaults}: SoakDaemon): void => {
	process.setDatagramFaults({
		lossShare: Math.max(0, ...[...datagramFaults].map(({lossShare}) => lossShare)),
		unreachable: [...new Set([...datagramFaults].flatMap(({unreachable}) => unreachable))],
	});
};

/** Applies the faults to the daemons, and removes them after the given time. */
const applyFor = async (faults: ReadonlyMap<SoakDaemon, DatagramFaults>, forMs: number): Promise<void> => {
	for (const [daemon, fault] of faults) {
		daemon.datagramFaults.add(fault);
		applyDatagramFaults(daemon);
	}

	await sleep(forMs);
	for (const [daemon, fault] of faults) {
		daemon.datagramFaults.delete(fault);
		applyDatagramFaults(daemon);
	}
};

const toHosts = (daemons: readonly SoakDaemon[]): string[] => daemons.map(({process}) => process.settings.listen.peers.split(':')[0]!);

/** Lets datagrams between daemons be lost for the given time. */
export const loseDatagrams = async ({daemons}: SoakCluster, {daemons: indexes, lossShare, isSplit, forMs}: Fault & {kind: 'lose_datagrams'}): Promise<void> => {
	const inside = indexes.map(index => daemons[index]!);
	const outside = daemons.filter(daemon => !inside.includes(daemon));
	await applyFor(new Map([
		...inside.map(daemon => [daemon, {lossShare, unreachable: isSplit ? toHosts(outside) : []}] as const),
		...(isSplit ? outside : []).map(daemon => [daemon, {lossShare: 0, unreachable: toHosts(inside)}] as const),
	]), forMs);
};

/** Lets these daemons hear nothing of any other one, and no other one of them, for the given time. */
export const separateDaemons = async ({daemons}: SoakCluster, {daemons: indexes, forMs}: Fault & {kind: 'separate'}): Promise<void> => {
	const apart = indexes.map(index => daemons[index]!);
	await applyFor(new Map(daemons.map(daemon => [daemon, {
		lossShare: 0, unreachable: toHosts((apart.includes(daemon) ? daemons : apart).filter(other => other !== daemon)),
	}])), forMs);
};
