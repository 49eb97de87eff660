/** The accepted configurations of all teams, compiled for looking up. */
import {
	configurationSchema, type Account, type Configuration, type ConfiguredBackend, type LatencyClass, type Service,
} from '@shallotpass/common/configuration-schema.js';
import {formatMistake, readToml} from '@shallotpass/common/toml-file.js';
import {type ConfigurationVersion} from '@shallotpass/common/types.js';
import {type AcceptedConfiguration} from '@shallotpass/core/configuration/types.js';

export type TeamInForce = {
	readonly team: string;
	readonly version: ConfigurationVersion;
	readonly configuration: Configuration;
	/** When it came into force here, milliseconds since the epoch. */
	readonly since: number;
};

export type AccountInForce = {
	readonly team: string;
	readonly account: Account;
};

export type InForce = {
	readonly teams: ReadonlyMap<string, TeamInForce>;
	readonly accountsByDigest: ReadonlyMap<string, AccountInForce>;
};

export const nothingInForce: InForce = {teams: new Map(), accountsByDigest: new Map()};

export const defaultTeam = 'default';

/** Name of a service across teams; that of the default team is the bare name, as the instance list has it. */
export const makeServiceId = (team: string, service: string): string => team === defaultTeam ? service : `${team}/${service}`;

export type PutInForce =
	| {readonly kind: 'done'; readonly inForce: InForce}
	/** A version that this daemon cannot read; the one before stays in force here. */
	| {readonly kind: 'unreadable'; readonly mistakes: readonly string[]};

const indexAccounts = (teams: ReadonlyMap<string, TeamInForce>): Map<string, AccountInForce> => {
	const index = new Map<string, AccountInForce>();
	for (const {team, configuration} of teams.values()) {
		for (const account of configuration.account) {
			for (const digest of account.keySha256) {
				index.set(digest, {team, account});
			}
		}
	}

	return index;
};

export const putInForce = (inForce: InForce, accepted: AcceptedConfiguration, now: number): PutInForce => {
	const reading = readToml(accepted.toml, configurationSchema);
	if (reading.kind === 'mistakes') {
		return {kind: 'unreadable', mistakes: reading.mistakes.map(mistake => formatMistake(`version ${accepted.version}`, mistake))};
	}

	const teams = new Map(inForce.teams);
	teams.set(accepted.team, {
		team: accepted.team, version: accepted.version, configuration: reading.value, since: now,
	});
	return {kind: 'done', inForce: {teams, accountsByDigest: indexAccounts(teams)}};
};

export const findService = (inForce: InForce, team: string, name: string): Service | undefined =>
	inForce.teams.get(team)?.configuration.service.find(service => service.name === name);

export const findServiceByModel = (inForce: InForce, {team, account}: AccountInForce, model: string): Service | undefined =>
	inForce.teams.get(team)?.configuration.service.find(service =>
		service.kind === 'model' && service.models.includes(model) && account.services.includes(service.name));

export const findClass = (inForce: InForce, team: string, name: string | undefined): LatencyClass | undefined =>
	inForce.teams.get(team)?.configuration.class.find(item => item.name === name);

export type TeamBackend = ConfiguredBackend & {readonly serviceIds: readonly string[]};

/** Fixed backend servers of all teams. */
export const listConfiguredBackends = (inForce: InForce): TeamBackend[] =>
	[...inForce.teams.values()].flatMap(({team, configuration}) =>
		configuration.backend.map(backend => ({...backend, serviceIds: backend.services.map(service => makeServiceId(team, service))})));

/** Credits an hour by availability zone and machine class; 0 where no price is given. */
export const findPrice = (inForce: InForce, availabilityZone: string, machineClass: string): number => {
	for (const {configuration} of inForce.teams.values()) {
		const price = configuration.price.find(item => item.availabilityZone === availabilityZone && item.machineClass === machineClass);
		if (price !== undefined) {
			return price.reclaimable;
		}
	}

	return 0;
};
