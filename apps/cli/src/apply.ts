/** Implements `shallotpass apply`. All attempts carry the same id, so that a lost response does not cause the file to be applied twice. */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callAdmin, CliError, exitCodes, makeResponseError, fetchJson, type AdminResponse, type AdminTarget,
} from './admin-client.js';
import {printJson, printLine} from './print.js';

export type ApplyOptions = {
	readonly target: AdminTarget;
	readonly team: string;
	readonly toml: string;
	readonly wait: boolean;
	readonly json: boolean;
	/** Version that the file is based on. Defaults to the accepted version. */
	readonly base: number | undefined;
};

type ApplyResult = {readonly id: string; readonly version: number};

type ZoneStatus = {readonly members: number; readonly silent: readonly string[]; readonly versions: Readonly<Record<string, number>>};

const maxAttempts = 3;
const retryDelayMs = 500;
const waitTimeoutMs = 30_000;
const pollIntervalMs = 100;

const makeConfigurationPath = (team: string): string => `/admin/v1/teams/${encodeURIComponent(team)}/configuration`;

/** Returns -1 if the team has no configuration. */
const fetchAcceptedVersion = async (target: AdminTarget, team: string): Promise<number> => {
	const response = await callAdmin(target, makeConfigurationPath(team));
	if (response.status === 404) {
		return -1;
	}

	if (response.status >= 300 || response.etag === undefined) {
		throw makeResponseError(response);
	}

	return Number(response.etag);
};

const isOutcomeUnknown = (response: AdminResponse | undefined): boolean =>
	response === undefined || response.status === 504 || response.status === 503;

/** Sends the file, and sends it again under the same id while the outcome is unknown. The daemon applies an id at most once. */
const applyWithRetries = async (options: ApplyOptions, base: number): Promise<ApplyResult> => {
	const id = randomUUID();
	let lastFailure = 'no response';
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		let response: AdminResponse | undefined;
		try {
			// eslint-disable-next-line no-await-in-loop -- the next attempt depends on the outcome of this one
			response = await callAdmin(options.target, makeConfigurationPath(options.team), {
				method: 'PUT',
				body: options.toml,
				headers: {'if-match': String(base), 'x-apply-id': id},
			});
		} catch (error) {
			lastFailure = error instanceof Error ? error.message : lastFailure;
		}

		if (response !== undefined && !isOutcomeUnknown(response)) {
			if (response.status >= 300) {
				throw makeResponseError(response);
			}

			return JSON.parse(response.text) as ApplyResult;
		}

		lastFailure = response === undefined ? lastFailure : makeResponseError(response).message;
		await sleep(retryDelayMs); // eslint-disable-line no-await-in-loop -- pause between attempts
	}

	throw new CliError(`not known whether apply ${id} was recorded (${lastFailure}); check with: shallotpass history --team ${options.team}`, exitCodes.unknown);
};

const fetchZones = async (target: AdminTarget): Promise<Readonly<Record<string, ZoneStatus>>> => {
	const status = await fetchJson(target, '/admin/v1/status') as {zones: Readonly<Record<string, ZoneStatus>>};
	return status.zones;
};

const isInForce = (zone: ZoneStatus, team: string, version: number): boolean =>
	zone.silent.length === 0 && (zone.versions[team] ?? -1) >= version;

const describeZone = (name: string, zone: ZoneStatus, team: string, version: number): string => {
	if (isInForce(zone, team, version)) {
		return `${name}: in force on ${zone.members} of ${zone.members}`;
	}

	const silent = zone.silent.length > 0 ? `, no response from ${zone.silent.join(', ')}` : '';
	return `${name}: not confirmed to be in force on all ${zone.members}${silent}`;
};

/** Polls the daemon until the version is in force in every zone, or until the timeout. Returns the last known state of the zones. */
const waitUntilInForce = async ({target, team}: ApplyOptions, version: number): Promise<Readonly<Record<string, ZoneStatus>>> => {
	const deadline = Date.now() + waitTimeoutMs;
	for (;;) {
		const zones = await fetchZones(target); // eslint-disable-line no-await-in-loop -- polls
		const isInForceEverywhere = Object.values(zones).every(zone => isInForce(zone, team, version));
		if (isInForceEverywhere || Date.now() > deadline) {
			return zones;
		}

		await sleep(pollIntervalMs); // eslint-disable-line no-await-in-loop -- polls
	}
};

/** Prints the state of the zones. Throws if the version is not in force in all of them. */
const printZones = (options: ApplyOptions, applied: ApplyResult, zones: Readonly<Record<string, ZoneStatus>>): void => {
	const isInForceEverywhere = Object.values(zones).every(zone => isInForce(zone, options.team, applied.version));
	if (options.json) {
		printJson({...applied, isInForce: isInForceEverywhere, zones});
	} else {
		for (const [name, zone] of Object.entries(zones)) {
			printLine(describeZone(name, zone, options.team, applied.version));
		}
	}

	if (!isInForceEverywhere) {
		throw new CliError(`version ${applied.version} is accepted, but not confirmed to be in force in every availability zone`, exitCodes.unknown);
	}
};

export const runApply = async (options: ApplyOptions): Promise<void> => {
	const base = options.base ?? await fetchAcceptedVersion(options.target, options.team);
	const applied = await applyWithRetries(options, base);
	if (!options.json) {
		printLine(`accepted as version ${applied.version} (apply ${applied.id})`);
	}

	if (options.wait) {
		printZones(options, applied, await waitUntilInForce(options, applied.version));
		return;
	}

	if (options.json) {
		printJson(applied);
	}
};
