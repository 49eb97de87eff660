/** Picks the versions and the backend servers that a call may go to during a rollout. */
import {type Rollout} from './types.js';

/**
 * Versions of the backend servers that a call may go to. With `mayFallBack`, it may go to another version if no backend
 * server of the chosen ones is ready, but never to one that is withheld.
 */
export type VersionChoice =
	| {readonly kind: 'any'}
	| {readonly kind: 'only'; readonly version: string; readonly mayFallBack: boolean; readonly withheld: readonly string[]}
	| {readonly kind: 'except'; readonly versions: readonly string[]; readonly mayFallBack: boolean; readonly withheld: readonly string[]};

/** What decides about the versions of a call. */
export type VersionedCall = {
	/** Drawn uniformly from [0, 1) for each call. */
	readonly fraction: number;
	/** Whether the call may have arrived at a backend server before: repeats, retries and streams that go on. */
	readonly isRepeat: boolean;
};

/** Time after which a rollout that no lease holder has confirmed is paused, in milliseconds. */
const confirmationMs = 2000;

export const isConfirmed = ({confirmedAt}: Rollout, now: number): boolean => now < confirmedAt + confirmationMs;

/**
 * In a shift, from this long before the deadline on, repeats and the calls of daemons without a confirmation no longer go to the old
 * version, as its servers are terminated at the deadline and calls there would be cut.
 */
const lastOldMarginMs = 8000;

/**
 * Picks the versions that a call may go to. `now` is in true time. Repeats go to the old version, so a caller loses at most one attempt
 * to a bad one. In a trial, calls beyond the share don't fall back to the new version, as exposure would exceed the share.
 */
export const pickVersions = (rollout: Rollout | undefined, call: VersionedCall, now: number): VersionChoice => {
	if (rollout === undefined) {
		return {kind: 'any'};
	}

	const {toVersion, stage, share, withheldVersions: withheld} = rollout;
	const getsNew = !call.isRepeat && call.fraction < share;
	const toNew: VersionChoice = {
		kind: 'only', version: toVersion, mayFallBack: true, withheld,
	};
	const toOld = (mayFallBack: boolean): VersionChoice => ({
		kind: 'except', versions: [toVersion, ...withheld], mayFallBack, withheld,
	});
	switch (stage) {
		case 'trial': {
			return getsNew && isConfirmed(rollout, now) ? toNew : toOld(false);
		}

		case 'shift': {
			const isLate = now >= rollout.deadline - lastOldMarginMs;
			return isLate || (getsNew && isConfirmed(rollout, now)) ? toNew : toOld(true);
		}

		case 'completed': {
			return toNew;
		}

		case 'rolled_back': {
			return toOld(false);
		}
	}
};

/** Filters the backend servers by the versions that a call may go to. */
export const filterByVersion = <Server>(servers: readonly Server[], choice: VersionChoice, getVersion: (server: Server) => string | undefined): readonly Server[] => {
	if (choice.kind === 'any') {
		return servers;
	}

	const chosen = choice.kind === 'only'
		? servers.filter(server => getVersion(server) === choice.version)
		: servers.filter(server => !choice.versions.includes(getVersion(server) ?? ''));
	return chosen.length > 0 || !choice.mayFallBack ? chosen : servers.filter(server => !choice.withheld.includes(getVersion(server) ?? ''));
};

/** Time for which a trial uses the same few of the new servers, in milliseconds. */
const rotationMs = 2000;

/** What decides which of the new servers are in use during a trial. */
export type TrialConditions = {
	readonly share: number;
	/** Ready servers of the old version. */
	readonly oldServers: number;
	/** In true time, so that all daemons use the same ones. */
	readonly now: number;
};

/** Number of new servers in use during a trial, so that each has the load of an old one. The lower limit keeps the divisor from 0. */
export const countTrialServers = (share: number, oldServers: number): number => Math.max(1, Math.round(oldServers * share / Math.max(1 - share, 0.01)));

/** Picks the new servers that are in use during a trial. All of them are in turn, by their ids. */
export const pickTrialServers = (ids: readonly string[], {share, oldServers, now}: TrialConditions): string[] => {
	const sorted = ids.toSorted();
	const count = Math.min(sorted.length, countTrialServers(share, oldServers));
	const first = Math.floor(now / rotationMs) * count;
	return Array.from({length: count}, (_value, index) => sorted[(first + index) % sorted.length]!);
};
