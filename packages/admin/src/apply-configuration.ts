/** One apply: checked, appended once, and judged by the fold alone. */
import {randomUUID} from 'node:crypto';
import {configurationSchema, type Configuration} from '@shallotpass/common/configuration-schema.js';
import {configurationStream} from '@shallotpass/common/constants.js';
import {type ConfigurationRecord} from '@shallotpass/common/log-records.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {formatMistake, readToml} from '@shallotpass/common/toml-file.js';
import {addMilliseconds} from '@shallotpass/common/types.js';
import {diffConfigurations, type ConfigurationChange} from '@shallotpass/core/configuration/diff-configurations.js';
import {getAcceptedVersion} from '@shallotpass/core/configuration/fold-configuration.js';
import {type HistoryEntry} from '@shallotpass/core/configuration/types.js';
import {type AdminServices} from './admin-services.js';

export type ApplyRequest = {
	readonly team: string;
	readonly toml: string;
	/** Version the file was made from; the accepted one when the operator names none. */
	readonly base: number | undefined;
	/** Unique id of this apply; the same id is never applied twice. */
	readonly id: string | undefined;
	readonly by: string;
};

export type ApplyResult = {
	readonly id: string;
	readonly version: number;
};

export type PlanResult = {
	readonly base: number;
	readonly changes: readonly ConfigurationChange[];
};

const judgedWithinMs = 3000;
const lookEveryMs = 10;
const retryMs = 2000;

const readConfiguration = (toml: string): Configuration => {
	const reading = readToml(toml, configurationSchema);
	if (reading.kind === 'mistakes') {
		throw new ServingError(reading.mistakes.map(mistake => formatMistake('configuration', mistake)).join('\n'), {kind: 'configuration_invalid'});
	}

	return reading.value;
};

export const planConfiguration = (services: AdminServices, team: string, toml: string): PlanResult => {
	const current = services.configuration.getInForce().teams.get(team);
	return {
		base: getAcceptedVersion(services.configuration.getState(), team),
		changes: diffConfigurations(current?.configuration, readConfiguration(toml)),
	};
};

const findEntry = (services: AdminServices, id: string): HistoryEntry | undefined =>
	services.configuration.getState().history.find(entry => entry.id === id);

const waitForEntry = async (services: AdminServices, id: string): Promise<HistoryEntry | undefined> => {
	const {clock, signal} = services.environment;
	const giveUpAt = clock.now() + judgedWithinMs;
	while (clock.now() < giveUpAt) {
		const entry = findEntry(services, id);
		if (entry !== undefined) {
			return entry;
		}

		await clock.waitUntil(addMilliseconds(clock.now(), lookEveryMs), signal); // eslint-disable-line no-await-in-loop -- looks at the fold until it has judged
	}

	return findEntry(services, id);
};

const toResult = (entry: HistoryEntry): ApplyResult => {
	if (entry.verdict === 'conflict') {
		throw new ServingError(`the file was made from version ${entry.base}; version ${entry.current} is accepted`, {kind: 'configuration_conflict'});
	}

	return {id: entry.id, version: entry.offset};
};

export const applyConfiguration = async (services: AdminServices, request: ApplyRequest): Promise<ApplyResult> => {
	const {environment, configuration, log} = services;
	const id = request.id ?? randomUUID();
	const earlier = findEntry(services, id);
	if (earlier !== undefined) {
		return toResult(earlier);
	}

	readConfiguration(request.toml);
	const accepted = getAcceptedVersion(configuration.getState(), request.team);
	const base = request.base ?? accepted;
	if (base < accepted) {
		throw new ServingError(`the file was made from version ${base}; version ${accepted} is accepted`, {kind: 'configuration_conflict'});
	}

	const record: ConfigurationRecord = {
		kind: 'configuration', id, team: request.team, base, toml: request.toml, by: request.by, at: environment.clock.now(),
	};
	let cause: unknown;
	try {
		await log.append({stream: configurationStream, record});
	} catch (error) {
		// The reply may have been lost after the effect; the fold tells, by the id.
		cause = error;
	}

	const entry = await waitForEntry(services, id);
	if (entry === undefined) {
		throw new ServingError(`apply ${id} has not been seen in the log yet; ask for it again with the same id`, {
			kind: 'configuration_unconfirmed',
			retryAt: addMilliseconds(environment.clock.now(), retryMs),
			cause,
		});
	}

	return toResult(entry);
};
