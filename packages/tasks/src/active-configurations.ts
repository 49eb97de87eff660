/** The active configurations of all teams, parsed and indexed for lookups. */
import {
	configurationSchema, type Account, type Configuration, type ConfiguredBackend, type LatencyClass, type Service,
} from '@shallotpass/common/configuration-schema.js';
import {formatMistake, readToml} from '@shallotpass/common/toml-file.js';
import {type ConfigurationVersion} from '@shallotpass/common/types.js';
import {type AcceptedConfiguration} from '@shallotpass/core/configuration/types.js';

export type ActiveTeamConfiguration = {
	readonly team: string;
	readonly version: ConfigurationVersion;
	readonly configuration: Configuration;
	/** When this daemon activated the version, in milliseconds since the epoch. */
	readonly since: number;
};

export type TeamAccount = {
	readonly team: string;
	readonly account: Account;
};

export type ActiveConfigurations = {
	readonly teams: ReadonlyMap<string, ActiveTeamConfiguration>;
	readonly accountsByDigest: ReadonlyMap<string, TeamAccount>;
};

export const noActiveConfigurations: ActiveConfigurations = {teams: new Map(), accountsByDigest: new Map()};

export const defaultTeam = 'default';

/**
 * Makes the id of a service that is unique across teams. Services of the default team keep their plain name,
 * which is the name that the instance list uses.
 */
export const makeServiceId = (team: string, service: string): string => team === defaultTeam ? service : `${team}/${service}`;

export type ActivationResult =
	| {readonly kind: 'done'; readonly inForce: ActiveConfigurations}
	/** This daemon cannot parse the version, so the previous version stays active. */
	| {readonly kind: 'unreadable'; readonly mistakes: readonly string[]};

const indexAccounts = (teams: ReadonlyMap<string, ActiveTeamConfiguration>): Map<string, TeamAccount> => {
	const accountsByDigest = new Map<string, TeamAccount>();
	for (const {team, configuration} of teams.values()) {
		for (const account of configuration.account) {
			for (const digest of account.keySha256) {
				accountsByDigest.set(digest, {team, account});
			}
		}
	}

	return accountsByDigest;
};

/** Parses an accepted version and makes it the active configuration of its team. */
export const activateConfiguration = (activeConfigurations: ActiveConfigurations, accepted: AcceptedConfiguration, now: number): ActivationResult => {
	const parsed = readToml(accepted.toml, configurationSchema);
	if (parsed.kind === 'mistakes') {
		return {kind: 'unreadable', mistakes: parsed.mistakes.map(mistake => formatMistake(`version ${accepted.version}`, mistake))};
	}

	const teams = new Map(activeConfigurations.teams);
	teams.set(accepted.team, {
		team: accepted.team, version: accepted.version, configuration: parsed.value, since: now,
	});
	return {kind: 'done', inForce: {teams, accountsByDigest: indexAccounts(teams)}};
};

export const findService = (activeConfigurations: ActiveConfigurations, team: string, name: string): Service | undefined =>
	activeConfigurations.teams.get(team)?.configuration.service.find(service => service.name === name);

export const findServiceByModel = (activeConfigurations: ActiveConfigurations, {team, account}: TeamAccount, model: string): Service | undefined =>
	activeConfigurations.teams.get(team)?.configuration.service.find(service =>
		service.kind === 'model' && service.models.includes(model) && account.services.includes(service.name));

export const findClass = (activeConfigurations: ActiveConfigurations, team: string, name: string | undefined): LatencyClass | undefined =>
	activeConfigurations.teams.get(team)?.configuration.class.find(item => item.name === name);

export type TeamBackend = ConfiguredBackend & {readonly serviceIds: readonly string[]};

/** Lists the backend servers that the configurations of all teams declare. */
export const listConfiguredBackends = (activeConfigurations: ActiveConfigurations): TeamBackend[] =>
	[...activeConfigurations.teams.values()].flatMap(({team, configuration}) =>
		configuration.backend.map(backend => ({...backend, serviceIds: backend.services.map(service => makeServiceId(team, service))})));

/** Returns the price of a reclaimable instance in credits per hour, or 0 if no team configures a price. */
export const findPrice = (activeConfigurations: ActiveConfigurations, availabilityZone: string, machineClass: string): number => {
	for (const {configuration} of activeConfigurations.teams.values()) {
		const price = configuration.price.find(item => item.availabilityZone === availabilityZone && item.machineClass === machineClass);
		if (price !== undefined) {
			return price.reclaimable;
		}
	}

	return 0;
};
