/** Counts the software versions of the backend servers of each service. */
import {type VersionCapacity} from '@shallotpass/core/origins/compute-continuity-penalty.js';
import {type BackendEntry} from '@shallotpass/core/directory/types.js';

/** What serves of each software version, by service. */
export type VersionsByService = ReadonlyMap<string, ReadonlyMap<string, VersionCapacity>>;

/** Version under which backend servers are counted whose own is not known. */
export const unknownVersion = '';

const noCapacity: VersionCapacity = {ready: 0, leaving: 0, places: 0};

export const countVersions = (backends: Iterable<{readonly entry: BackendEntry}>): VersionsByService => {
	const counts = new Map<string, Map<string, VersionCapacity>>();
	for (const {entry} of backends) {
		const versions = counts.get(entry.service) ?? new Map<string, VersionCapacity>();
		const version = entry.softwareVersion ?? unknownVersion;
		const {ready, leaving, places} = versions.get(version) ?? noCapacity;
		versions.set(version, entry.isLeaving ? {ready, leaving: leaving + 1, places} : {ready: ready + 1, leaving, places: places + entry.places});
		counts.set(entry.service, versions);
	}

	return counts;
};

/** Whether backend servers of several software versions serve the service. */
export const hasSeveralVersions = (versionsByService: VersionsByService, service: string): boolean => (versionsByService.get(service)?.size ?? 0) > 1;

/** Lists how many backend servers of each software version are ready. */
export const listReadyBackends = (versionsByService: VersionsByService): Array<{service: string; version: string; ready: number}> =>
	[...versionsByService].flatMap(([service, versions]) => [...versions].map(([version, {ready}]) => ({service, version, ready})));
