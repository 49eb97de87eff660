/** `apply`: one file, once, whatever happens to replies; with `--wait` until it is in force everywhere. */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callAdmin, CliError, exitCodes, makeRefusal, readJson, type AdminResponse, type Target,
} from './admin-client.js';
import {printJson, printLine} from './print.js';

export type ApplyOptions = {
	readonly target: Target;
	readonly team: string;
	readonly toml: string;
	readonly wait: boolean;
	readonly json: boolean;
	/** Version the file was made from; the accepted one when not given. */
	readonly base: number | undefined;
};

type Applied = {readonly id: string; readonly version: number};

type Zone = {readonly members: number; readonly silent: readonly string[]; readonly versions: Readonly<Record<string, number>>};

const mostTries = 3;
const retryMs = 500;
const waitWithinMs = 30_000;
const lookEveryMs = 100;

const makePath = (team: string): string => `/admin/v1/teams/${encodeURIComponent(team)}/configuration`;

const readBase = async (target: Target, team: string): Promise<number> => {
	const response = await callAdmin(target, makePath(team));
	if (response.status === 404) {
		return -1;
	}

	if (response.status >= 300 || response.etag === undefined) {
		throw makeRefusal(response);
	}

	return Number(response.etag);
};

const isUnclear = (response: AdminResponse | undefined): boolean =>
	response === undefined || response.status === 504 || response.status === 503;

/** Sends with one id until the answer is clear. The same id is never applied twice. */
const sendUntilClear = async (options: ApplyOptions, base: number): Promise<Applied> => {
	const id = randomUUID();
	let lastReason = 'no answer';
	for (let tries = 0; tries < mostTries; tries++) {
		let response: AdminResponse | undefined;
		try {
			// eslint-disable-next-line no-await-in-loop -- the next only when this answer is unclear
			response = await callAdmin(options.target, makePath(options.team), {
				method: 'PUT',
				body: options.toml,
				headers: {'if-match': String(base), 'x-apply-id': id},
			});
		} catch (error) {
			lastReason = error instanceof Error ? error.message : lastReason;
		}

		if (response !== undefined && !isUnclear(response)) {
			if (response.status >= 300) {
				throw makeRefusal(response);
			}

			return JSON.parse(response.text) as Applied;
		}

		lastReason = response === undefined ? lastReason : makeRefusal(response).message;
		await sleep(retryMs); // eslint-disable-line no-await-in-loop -- between tries
	}

	throw new CliError(`not known whether apply ${id} was recorded (${lastReason}); look for it with: shallotpass history --team ${options.team}`, exitCodes.unknown);
};

const readZones = async (target: Target): Promise<Readonly<Record<string, Zone>>> => {
	const status = await readJson(target, '/admin/v1/status') as {zones: Readonly<Record<string, Zone>>};
	return status.zones;
};

const isInForce = (zone: Zone, team: string, version: number): boolean =>
	zone.silent.length === 0 && (zone.versions[team] ?? -1) >= version;

const describeZone = (name: string, zone: Zone, team: string, version: number): string => {
	if (isInForce(zone, team, version)) {
		return `${name}: in force on ${zone.members} of ${zone.members}`;
	}

	const silent = zone.silent.length > 0 ? `, no answer from ${zone.silent.join(', ')}` : '';
	return `${name}: not known to be in force on all ${zone.members}${silent}`;
};

const waitUntilInForce = async ({target, team}: ApplyOptions, version: number): Promise<Readonly<Record<string, Zone>>> => {
	const giveUpAt = Date.now() + waitWithinMs;
	for (;;) {
		const zones = await readZones(target); // eslint-disable-line no-await-in-loop -- polls
		const isEverywhere = Object.values(zones).every(zone => isInForce(zone, team, version));
		if (isEverywhere || Date.now() > giveUpAt) {
			return zones;
		}

		await sleep(lookEveryMs); // eslint-disable-line no-await-in-loop -- polls
	}
};

const reportZones = (options: ApplyOptions, applied: Applied, zones: Readonly<Record<string, Zone>>): void => {
	const isEverywhere = Object.values(zones).every(zone => isInForce(zone, options.team, applied.version));
	if (options.json) {
		printJson({...applied, isInForce: isEverywhere, zones});
	} else {
		for (const [name, zone] of Object.entries(zones)) {
			printLine(describeZone(name, zone, options.team, applied.version));
		}
	}

	if (!isEverywhere) {
		throw new CliError(`version ${applied.version} is accepted; not known yet to be in force everywhere`, exitCodes.unknown);
	}
};

export const runApply = async (options: ApplyOptions): Promise<void> => {
	const base = options.base ?? await readBase(options.target, options.team);
	const applied = await sendUntilClear(options, base);
	if (!options.json) {
		printLine(`accepted as version ${applied.version} (apply ${applied.id})`);
	}

	if (options.wait) {
		reportZones(options, applied, await waitUntilInForce(options, applied.version));
		return;
	}

	if (options.json) {
		printJson(applied);
	}
};
