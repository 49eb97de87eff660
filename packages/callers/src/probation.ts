/**
 * Probation: a suspected request runs on an engine without other suspects. If two suspects ran on an engine when it
 * crashed, both would be convicted although at most one caused the crash, and the caller of the other would be refused
 * for an hour. Reports of suspects reach the other daemons too late, so a claim in the log decides which one may use the engine.
 */
import {makeKeyName} from '@shallotpass/core/claims/claim-state.js';
import {addMilliseconds, type Deadline} from '@shallotpass/common/types.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {claimWithRetries, makeRunClaim} from './second-run.js';
import {type CallerServices} from './services.js';

export type Probation = {
	/** Makes the engine available to other suspects. */
	readonly release: () => void;
};

/** Maximum number of holders of one engine that may have crashed without releasing it while the log still keeps their claims. */
const maxLostHolders = 8;

const retryAfterMs = 5000;

/** Acquires the right to run a suspect on the engine; undefined if another suspect runs on it. */
export const acquireProbation = async (services: CallerServices, engineId: string, deadline: Deadline, signal: AbortSignal): Promise<Probation | undefined> => {
	const {claims, environment} = services;
	for (let generation = 0; generation < maxLostHolders; generation++) {
		const claim = makeRunClaim(services, 'probation', `${engineId} ${generation}`);
		const release = (): void => {
			void claims.recordOutcome(claim, {kind: 'not_sent', claimId: claim.id, key: makeKeyName(claim)});
		};

		const answer = await claimWithRetries(services, claim, deadline, signal); // eslint-disable-line no-await-in-loop -- the next generation is claimed only if the holder of this one is lost
		switch (answer.kind) {
			case 'won': {
				return {release};
			}

			case 'unknown': {
				// The holder crashed, and its run of the suspect ended with it. All daemons continue with the same next generation.
				break;
			}

			case 'running':
			case 'reused':
			case 'answered':
			case 'answered_not_kept': {
				return undefined;
			}

			case 'unsafe':
			case 'unavailable': {
				release();
				throw new ServingError('a request that may end backend servers waits until the log answers', {
					kind: 'claims_unavailable', retryAt: addMilliseconds(environment.clock.now(), retryAfterMs),
				});
			}
		}
	}

	return undefined;
};
