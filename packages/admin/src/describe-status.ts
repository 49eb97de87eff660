/** Builds the status responses for operators, limited to the teams that an operator may see. */
import {canSeeTeam, type Operator} from './authorize.js';
import {type AdminServices} from './admin-services.js';

const filterVisibleTeams = (versions: Readonly<Record<string, number>>, operator: Operator): Record<string, number> =>
	Object.fromEntries(Object.entries(versions).filter(([team]) => canSeeTeam(operator, team)));

const listVersionsInForce = (services: AdminServices): Record<string, number> =>
	Object.fromEntries([...services.configuration.getActiveConfigurations().teams.values()].map(({team, version}) => [team, version]));

/** Returns the lowest version in force for each team, by availability zone. Members that do not respond are listed as silent. */
export const describeZones = async (services: AdminServices, operator: Operator) => {
	const {availabilityZone, id} = services.environment.settings.instance;
	const statuses = [{id, availabilityZone, versions: listVersionsInForce(services)}, ...await services.fetchPeerStatuses()];
	const zones: Record<string, {members: number; silent: string[]; versions: Record<string, number>}> = {};
	for (const status of statuses) {
		const zone = zones[status.availabilityZone] ?? {members: 0, silent: [], versions: {}};
		zones[status.availabilityZone] = zone;
		zone.members++;
		if (status.versions === undefined) {
			zone.silent.push(status.id);
			continue;
		}

		const teams = new Set([...Object.keys(zone.versions), ...Object.keys(status.versions)]);
		const isFirstResponse = zone.members - zone.silent.length === 1;
		for (const team of teams) {
			const version = status.versions[team] ?? -1;
			zone.versions[team] = isFirstResponse ? version : Math.min(zone.versions[team] ?? -1, version);
		}
	}

	for (const zone of Object.values(zones)) {
		zone.versions = filterVisibleTeams(zone.versions, operator);
	}

	return zones;
};

export const describeStatus = async (services: AdminServices, operator: Operator) => {
	const {settings} = services.environment;
	const accepted = Object.fromEntries([...services.configuration.getState().accepted].map(([team, {version}]) => [team, version as number]));
	return {
		instance: settings.instance,
		platform: services.isEmbedded ? 'embedded in memory; nothing outlives this daemon' : 'external',
		isLogReachable: services.configuration.isLogReachable(),
		isDraining: services.isDraining(),
		inFlight: services.countInFlight(),
		waiting: services.countWaiting(),
		accepted: filterVisibleTeams(accepted, operator),
		inForce: filterVisibleTeams(listVersionsInForce(services), operator),
		zones: await describeZones(services, operator),
	};
};

export const describeMembers = (services: AdminServices) => {
	const {self, members} = services.membership.getState();
	return {
		members: [self, ...members.values()].map(({id, address, availabilityZone, region, status, epoch}) => ({
			id, address, availabilityZone, region, status, startedAt: epoch,
		})),
	};
};

/** Service ids have the form `team/name`, or only the name for the default team. */
const getTeamOfService = (serviceId: string): string => serviceId.includes('/') ? serviceId.slice(0, serviceId.indexOf('/')) : 'default';

export const describeBackends = (services: AdminServices, operator: Operator) => ({
	backends: services.registry.list()
		.map(view => ({...view, services: view.services.filter(service => canSeeTeam(operator, getTeamOfService(service)))}))
		.filter(view => view.services.length > 0 || operator.role === 'administrator')
		.map(({id, address, availabilityZone, machineClass, services: served, isLeaving, running, limit, report, speed, price}) => ({
			id, address, availabilityZone, machineClass, services: served, isLeaving, running, limit, report, speed, price,
		})),
});
