/** Time until an applied configuration is in force in each zone, with zones cut off from the platform and healed. */
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {applyThrough, makeConfigurationText, waitFor} from './local-fleet.js';
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
	/** Numbers of zones cut off, one scenario each. */
	cutZones: z.array(z.int().nonnegative()),
});

type Options = z.output<typeof schema>;

/** Watches that no daemon ever goes back to a lower version. */
const watchVersions = (fleet: ZonedFleet) => {
	const highest = new Map<string, number>();
	let reverted = 0;
	const timer = setInterval(() => {
		for (const [index, daemon] of fleet.daemons.entries()) {
			const version = daemon.getVersion('default');
			const known = highest.get(String(index)) ?? -1;
			reverted += version < known ? 1 : 0;
			highest.set(String(index), Math.max(known, version));
		}
	}, 2);
	return {
		stop() {
			clearInterval(timer);
			return reverted;
		},
	};
};

const waitForZone = async (zone: Zone, version: number, startedAt: number, into: Latencies): Promise<void> => {
	await waitFor(`version ${version} in ${zone.name}`, () => zone.daemons.every(daemon => daemon.getVersion('default') >= version), 30_000);
	into.record(performance.now() - startedAt);
};

type Cut = 'platform' | 'platform_and_peers';

const setCut = (fleet: ZonedFleet, zones: readonly Zone[], cut: Cut, isCut: boolean): void => {
	for (const zone of zones) {
		zone.setPlatform(isCut ? 'cut' : 'open');
	}

	if (cut === 'platform_and_peers') {
		fleet.separate(isCut ? zones : []);
	}
};

const runScenario = async (fleet: ZonedFleet, cutCount: number, cut: Cut, changes: number) => {
	const cutOff = fleet.zones.slice(0, cutCount);
	const others = fleet.zones.slice(cutCount);
	const zoneLatencies = fleet.zones.map(() => makeLatencies());
	const afterHeal = makeLatencies();
	let leaked = 0;
	for (let index = 0; index < changes; index++) {
		setCut(fleet, cutOff, cut, true);
		/* eslint-disable no-await-in-loop -- one change after the other */
		await sleep(50);
		const startedAt = performance.now();
		const applied = await applyThrough(others[0]!.daemons[0]!, makeConfigurationText(`${cut} ${cutCount} ${index}`));
		const version = applied.body.version!;
		const reachable = cut === 'platform' ? fleet.zones : others;
		await Promise.all(reachable.map(async zone => waitForZone(zone, version, startedAt, zoneLatencies[fleet.zones.indexOf(zone)]!)));
		const early = cut === 'platform' ? [] : cutOff.filter(zone => zone.daemons.some(daemon => daemon.getVersion('default') >= version));
		leaked += early.length;
		setCut(fleet, cutOff, cut, false);
		if (cut === 'platform_and_peers') {
			const healedAt = performance.now();
			await Promise.all(cutOff.map(async zone => waitForZone(zone, version, healedAt, afterHeal)));
		}
		/* eslint-enable no-await-in-loop */
	}

	return {
		cutFrom: cutCount === 0 ? 'nothing' : cut,
		zonesCut: cutCount,
		/** Zones that had the version although they were cut off; 0, or the cut is none. */
		leaked,
		inForceMs: zoneLatencies.map((latencies, index) => ({zone: fleet.zones[index]!.name, isCut: index < cutCount, ...latencies.count() === 0 ? {} : getQuantiles(latencies)})),
		afterHealMs: afterHeal.count() === 0 ? undefined : getQuantiles(afterHeal),
	};
};

const run = async (options: Options, tell: (line: string) => void): Promise<Report> => {
	const fleet = await startZonedFleet(options);
	const watch = watchVersions(fleet);
	try {
		const scenarios = [];
		for (const cutCount of options.cutZones) {
			const kinds: Cut[] = cutCount === 0 ? ['platform'] : ['platform', 'platform_and_peers'];
			for (const cut of kinds) {
				const scenario = await runScenario(fleet, cutCount, cut, options.changes); // eslint-disable-line no-await-in-loop -- one after the other
				scenarios.push(scenario);
				tell(`${cutCount} zones cut from ${scenario.cutFrom}: ${JSON.stringify(scenario.inForceMs)}${scenario.afterHealMs === undefined ? '' : ` after healing ${JSON.stringify(scenario.afterHealMs)}`}`);
			}
		}

		const worst = scenarios.flatMap(scenario => [...scenario.inForceMs.map(zone => zone.p99 ?? 0), scenario.afterHealMs?.p99 ?? 0]);
		return {
			experiment: 'configuration',
			seed: options.seed,
			daemons: fleet.daemons.length,
			scenarios,
			worstMs: round(Math.max(...worst), 1),
			versionsReverted: watch.stop(),
		};
	} finally {
		watch.stop();
		await fleet.close();
	}
};

export const configurationExperiment: Experiment<typeof schema> = {name: 'configuration', schema, run};
