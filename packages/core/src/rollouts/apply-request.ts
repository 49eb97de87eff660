/** Turns an operator's request into a rollout, which replaces an earlier one of the service. */
import {type Rollout, type RolloutRequest} from './types.js';

/** Largest number of withheld versions. Older ones have no backend servers any more. */
const maxWithheldVersions = 8;

/** Lists the versions that get no calls: those of earlier rollouts that were not completed, unless the request names them again. */
const listWithheld = (current: Rollout | undefined, toVersion: string): string[] => {
	if (current === undefined) {
		return [];
	}

	const {withheldVersions, stage} = current;
	const versions = stage === 'completed' ? withheldVersions : [...withheldVersions, current.toVersion];
	return [...new Set(versions)].filter(version => version !== toVersion).slice(-maxWithheldVersions);
};

/** Whether all ready backend servers whose version is not withheld have the version, so that calls have nowhere else to go. */
const servesAlone = (toVersion: string, readyVersions: readonly string[], withheld: readonly string[]): boolean =>
	readyVersions.includes(toVersion) && readyVersions.every(version => version === toVersion || withheld.includes(version));

/**
 * Returns the rollout after a request. One that is not newer changes nothing. `now` is in true time, `readyVersions` are the versions of the
 * service's ready backend servers. A request for the version that serves alone, such as one that cancels a rollout by naming the old version,
 * has no trial: a trial without another version would refuse all calls of the service until the lease holder has planned it.
 */
export const applyRequest = (current: Rollout | undefined, request: RolloutRequest, now: number, readyVersions: readonly string[] = []): Rollout => {
	if (current !== undefined && request.offset <= current.offset) {
		return current;
	}

	const withheldVersions = listWithheld(current, request.toVersion);
	const hasTrial = !servesAlone(request.toVersion, readyVersions, withheldVersions);
	return {
		service: request.service,
		toVersion: request.toVersion,
		offset: request.offset,
		orderedAt: now,
		deadline: now + request.durationMs,
		stage: hasTrial ? 'trial' : 'shift',
		// Nothing goes to a new version before the lease holder has planned it.
		share: hasTrial ? 0 : 1,
		revision: 0,
		withheldVersions,
		confirmedAt: now,
		stageAt: now,
	};
};
