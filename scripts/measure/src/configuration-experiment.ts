/** Measures the time until an applied configuration is in force in each zone, with and without network partitions. */
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {applyConfiguration, makeConfigurationText, waitFor} from './local-fleet.js';
import {
	getQuantiles, makeLatencies, round, type Latencies,
} from './latencies.js';
import {type Experiment, type Report} from './experiment.js';
import {startZonedFleet, type Zone, type ZonedFleet} from './zoned-fleet.js';

const schema = z.strictObject({
	experiment: z.literal('configuration'),
	seed: z.int(),
	zones: z.int().positive(),
	daemonsPerZone: z.int().positive(),
	changes: z.int().positive(),
	/** Numbers of partitioned zones. Each number is measured in separate scenarios. */
	cutZones: z.array(z.int().nonnegative()),
});

type Options = z.output<typeof schema>;

/** Polls the configuration versions of all daemons and counts the readings below a daemon's highest version so far. The count must be 0. */
const watchForReversions = (fleet: ZonedFleet) => {
	const highestVersions = new Map<string, number>();
	let reverted = 0;
	const timer = setInterval(() => {
		for (const [index, daemon] of fleet.daemons.entries()) {
			const version = daemon.getVersion('default');
			const highestVersion = highestVersions.get(String(index)) ?? -1;
			reverted += version < highestVersion ? 1 : 0;
			highestVersions.set(String(index), Math.max(highestVersion, version));
		}
	}, 2);
	return {
		stop() {
			clearInterval(timer);
			return reverted;
		},
	};
};

/** Records the time from `startedAt` until the version is in force on all daemons of the zone. */
const waitForZone = async (zone: Zone, version: number, startedAt: number, latencies: Latencies): Promise<void> => {
	await waitFor(`version ${version} is in force in ${zone.name}`, () => zone.daemons.every(daemon => daemon.getVersion('default') >= version), 30_000);
	latencies.record(performance.now() - startedAt);
};

/** What a zone is partitioned from. A zone that is partitioned from the platform alone still receives configurations from other daemons. */
type PartitionKind = 'platform' | 'platform_and_peers';

/** Starts or heals the partition of the zones. */
const setPartition = (fleet: ZonedFleet, zones: readonly Zone[], partition: PartitionKind, isPartitioned: boolean): void => {
	for (const zone of zones) {
		zone.setPlatformRelayMode(isPartitioned ? 'cut' : 'open');
	}

	if (partition === 'platform_and_peers') {
		fleet.isolateZones(isPartitioned ? zones : []);
	}
};

const runScenario = async (fleet: ZonedFleet, partitionedCount: number, partition: PartitionKind, changes: number) => {
	const partitionedZones = fleet.zones.slice(0, partitionedCount);
	const connectedZones = fleet.zones.slice(partitionedCount);
	const zoneLatencies = fleet.zones.map(() => makeLatencies());
	const afterHeal = makeLatencies();
	let leaked = 0;
	for (let index = 0; index < changes; index++) {
		setPartition(fleet, partitionedZones, partition, true);
		/* eslint-disable no-await-in-loop -- changes are sequential */
		await sleep(50);
		const startedAt = performance.now();
		const applied = await applyConfiguration(connectedZones[0]!.daemons[0]!, makeConfigurationText(`${partition} ${partitionedCount} ${index}`));
		const version = applied.body.version!;
		const reachableZones = partition === 'platform' ? fleet.zones : connectedZones;
		await Promise.all(reachableZones.map(async zone => waitForZone(zone, version, startedAt, zoneLatencies[fleet.zones.indexOf(zone)]!)));
		const leakedZones = partition === 'platform' ? [] : partitionedZones.filter(zone => zone.daemons.some(daemon => daemon.getVersion('default') >= version));
		leaked += leakedZones.length;
		setPartition(fleet, partitionedZones, partition, false);
		if (partition === 'platform_and_peers') {
			const healedAt = performance.now();
			await Promise.all(partitionedZones.map(async zone => waitForZone(zone, version, healedAt, afterHeal)));
		}
		/* eslint-enable no-await-in-loop */
	}

	return {
		cutFrom: partitionedCount === 0 ? 'nothing' : partition,
		zonesCut: partitionedCount,
		/** Number of times that a zone received the version while it was partitioned from the platform and its peers. If it isn't 0, the partition was not effective. */
		leaked,
		inForceMs: zoneLatencies.map((latencies, index) => ({zone: fleet.zones[index]!.name, isCut: index < partitionedCount, ...latencies.count() === 0 ? {} : getQuantiles(latencies)})),
		afterHealMs: afterHeal.count() === 0 ? undefined : getQuantiles(afterHeal),
	};
};

const run = async (options: Options, printLine: (line: string) => void): Promise<Report> => {
	const fleet = await startZonedFleet(options);
	const reversionWatch = watchForReversions(fleet);
	try {
		const scenarios = [];
		for (const partitionedCount of options.cutZones) {
			const partitionKinds: PartitionKind[] = partitionedCount === 0 ? ['platform'] : ['platform', 'platform_and_peers'];
			for (const partition of partitionKinds) {
				const scenario = await runScenario(fleet, partitionedCount, partition, options.changes); // eslint-disable-line no-await-in-loop -- scenarios are sequential
				scenarios.push(scenario);
				printLine(`${partitionedCount} zones partitioned from ${scenario.cutFrom}: in force after ${JSON.stringify(scenario.inForceMs)}${scenario.afterHealMs === undefined ? '' : `, after the partition healed ${JSON.stringify(scenario.afterHealMs)}`}`);
			}
		}

		const p99s = scenarios.flatMap(scenario => [...scenario.inForceMs.map(zone => zone.p99 ?? 0), scenario.afterHealMs?.p99 ?? 0]);
		return {
			experiment: 'configuration',
			seed: options.seed,
			daemons: fleet.daemons.length,
			scenarios,
			worstMs: round(Math.max(...p99s), 1),
			versionsReverted: reversionWatch.stop(),
		};
	} finally {
		reversionWatch.stop();
		await fleet.close();
	}
};

export const configurationExperiment: Experiment<typeof schema> = {name: 'configuration', schema, run};
