/** Validates a configuration and appends it to the log. Whether it is accepted follows only from replaying the log, so that all daemons agree. */
import {randomUUID} from 'node:crypto';
import {configurationSchema, type Configuration} from '@shallotpass/common/configuration-schema.js';
import {configurationStream} from '@shallotpass/common/constants.js';
import {type ConfigurationRecord} from '@shallotpass/common/log-records.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {formatMistake, readToml} from '@shallotpass/common/toml-file.js';
import {addMilliseconds} from '@shallotpass/common/types.js';
import {diffConfigurations, type ConfigurationChange} from '@shallotpass/core/configuration/diff-configurations.js';
import {getAcceptedVersion} from '@shallotpass/core/configuration/configuration-state.js';
import {type HistoryEntry} from '@shallotpass/core/configuration/types.js';
import {type AdminServices} from './admin-services.js';

export type ApplyRequest = {
	readonly team: string;
	readonly toml: string;
	/** Version that the file is based on. Defaults to the accepted version. */
	readonly base: number | undefined;
	/** Unique id of this apply. A configuration is applied at most once per id. */
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

/** Time limit for an appended record to be accepted or rejected. */
const verdictTimeoutMs = 3000;

/** Time to wait for a record whose append failed. It may have been written although the reply was lost. */
const failedAppendTimeoutMs = 500;
const maxAppends = 3;
const pollIntervalMs = 10;
const logReadIntervalMs = 200;
const retryDelayMs = 2000;

const parseConfiguration = (toml: string): Configuration => {
	const reading = readToml(toml, configurationSchema);
	if (reading.kind === 'mistakes') {
		throw new ServingError(reading.mistakes.map(mistake => formatMistake('configuration', mistake)).join('\n'), {kind: 'configuration_invalid'});
	}

	return reading.value;
};

export const planConfiguration = (services: AdminServices, team: string, toml: string): PlanResult => {
	const current = services.configuration.getActiveConfigurations().teams.get(team);
	return {
		base: getAcceptedVersion(services.configuration.getState(), team),
		changes: diffConfigurations(current?.configuration, parseConfiguration(toml)),
	};
};

const findEntry = (services: AdminServices, id: string): HistoryEntry | undefined =>
	services.configuration.getState().history.find(entry => entry.id === id);

const waitForEntry = async (services: AdminServices, id: string, timeoutMs: number): Promise<HistoryEntry | undefined> => {
	const {clock, signal} = services.environment;
	const deadline = clock.now() + timeoutMs;
	// The configuration task follows the log and usually receives the record before this read is due.
	let nextReadAt = clock.now() + logReadIntervalMs;
	while (clock.now() < deadline) {
		const entry = findEntry(services, id);
		if (entry !== undefined) {
			return entry;
		}

		/* eslint-disable no-await-in-loop -- polls until the record is replayed */
		if (clock.now() >= nextReadAt) {
			await services.configuration.catchUp();
			nextReadAt = clock.now() + logReadIntervalMs;
		}

		await clock.waitUntil(addMilliseconds(clock.now(), pollIntervalMs), signal);
		/* eslint-enable no-await-in-loop */
	}

	return findEntry(services, id);
};

const makeResult = (entry: HistoryEntry): ApplyResult => {
	if (entry.verdict === 'conflict') {
		throw new ServingError(`the file was made from version ${entry.base}; version ${entry.current} is accepted`, {kind: 'configuration_conflict'});
	}

	return {id: entry.id, version: entry.offset};
};

type AppendResult = {readonly entry: HistoryEntry | undefined; readonly cause: unknown};

/**
 * Appends the record, and repeats this if the append failed and the record does not appear in the log.
 * The failed append may still take effect later. In that case the second record is a conflict, because
 * its base is no longer the accepted version, and the first verdict for the id remains valid.
 */
const appendUntilVisible = async (services: AdminServices, record: ConfigurationRecord): Promise<AppendResult> => {
	let cause: unknown;
	for (let attempt = 0; attempt < maxAppends; attempt++) {
		let isAppended = true;
		/* eslint-disable no-await-in-loop -- the next attempt depends on the outcome of this one */
		try {
			await services.log.append({stream: configurationStream, record});
		} catch (error) {
			isAppended = false;
			cause = error;
		}

		const entry = await waitForEntry(services, record.id, isAppended ? verdictTimeoutMs : failedAppendTimeoutMs);
		/* eslint-enable no-await-in-loop */
		if (entry !== undefined || isAppended) {
			return {entry, cause};
		}
	}

	return {entry: findEntry(services, record.id), cause};
};

export const applyConfiguration = async (services: AdminServices, request: ApplyRequest): Promise<ApplyResult> => {
	const {environment, configuration} = services;
	const id = request.id ?? randomUUID();
	const earlierEntry = findEntry(services, id);
	if (earlierEntry !== undefined) {
		return makeResult(earlierEntry);
	}

	parseConfiguration(request.toml);
	const acceptedVersion = getAcceptedVersion(configuration.getState(), request.team);
	const base = request.base ?? acceptedVersion;
	if (base < acceptedVersion) {
		throw new ServingError(`the file was made from version ${base}; version ${acceptedVersion} is accepted`, {kind: 'configuration_conflict'});
	}

	const record: ConfigurationRecord = {
		kind: 'configuration', id, team: request.team, base, toml: request.toml, by: request.by, at: environment.clock.now(),
	};
	const {entry, cause} = await appendUntilVisible(services, record);
	if (entry === undefined) {
		throw new ServingError(`apply ${id} has not been seen in the log yet; ask for it again with the same id`, {
			kind: 'configuration_unconfirmed',
			retryAt: addMilliseconds(environment.clock.now(), retryDelayMs),
			cause,
		});
	}

	return makeResult(entry);
};
