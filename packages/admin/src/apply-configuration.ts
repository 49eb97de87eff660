/** One apply: checked, appended once, and judged by the fold alone. */
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

/** Time for a record whose append failed to show all the same. */
const seenWithinMs = 500;
const mostAppends = 3;
const lookEveryMs = 10;
const readEveryMs = 200;
const retryMs = 2000;

const readConfiguration = (toml: string): Configuration => {
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
		changes: diffConfigurations(current?.configuration, readConfiguration(toml)),
	};
};

const findEntry = (services: AdminServices, id: string): HistoryEntry | undefined =>
	services.configuration.getState().history.find(entry => entry.id === id);

const waitForEntry = async (services: AdminServices, id: string, withinMs: number): Promise<HistoryEntry | undefined> => {
	const {clock, signal} = services.environment;
	const giveUpAt = clock.now() + withinMs;
	// The poll that follows the log usually brings the record first.
	let readAt = clock.now() + readEveryMs;
	while (clock.now() < giveUpAt) {
		const entry = findEntry(services, id);
		if (entry !== undefined) {
			return entry;
		}

		/* eslint-disable no-await-in-loop -- looks at the fold until it has judged */
		if (clock.now() >= readAt) {
			await services.configuration.catchUp();
			readAt = clock.now() + readEveryMs;
		}

		await clock.waitUntil(addMilliseconds(clock.now(), lookEveryMs), signal);
		/* eslint-enable no-await-in-loop */
	}

	return findEntry(services, id);
};

const toResult = (entry: HistoryEntry): ApplyResult => {
	if (entry.verdict === 'conflict') {
		throw new ServingError(`the file was made from version ${entry.base}; version ${entry.current} is accepted`, {kind: 'configuration_conflict'});
	}

	return {id: entry.id, version: entry.offset};
};

type Seen = {readonly entry: HistoryEntry | undefined; readonly cause: unknown};

/**
 * Appends, and again when the append failed and the record has not been seen. The
 * first may still take effect then: the later of the two is judged a conflict, since
 * its base is no longer accepted, and the id's first verdict stands.
 */
const appendUntilSeen = async (services: AdminServices, record: ConfigurationRecord): Promise<Seen> => {
	let cause: unknown;
	for (let tries = 0; tries < mostAppends; tries++) {
		let isAppended = true;
		/* eslint-disable no-await-in-loop -- the next only when this one is not seen */
		try {
			await services.log.append({stream: configurationStream, record});
		} catch (error) {
			isAppended = false;
			cause = error;
		}

		const entry = await waitForEntry(services, record.id, isAppended ? judgedWithinMs : seenWithinMs);
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
	const {entry, cause} = await appendUntilSeen(services, record);
	if (entry === undefined) {
		throw new ServingError(`apply ${id} has not been seen in the log yet; ask for it again with the same id`, {
			kind: 'configuration_unconfirmed',
			retryAt: addMilliseconds(environment.clock.now(), retryMs),
			cause,
		});
	}

	return toResult(entry);
};
