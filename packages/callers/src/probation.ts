/**
 * An engine to oneself among suspects. Two suspects that run on one engine at its
 * second death are both convicted, though one of them did nothing; its caller would
 * be refused for an hour. Daemons cannot see each other's suspects in time, so the
 * log decides which of them has the engine.
 */
import {makeKeyName} from '@shallotpass/core/claims/fold-claims.js';
import {addMilliseconds, type Deadline} from '@shallotpass/common/types.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {claimPatiently, makeRunClaim} from './second-run.js';
import {type CallerServices} from './services.js';

export type Probation = {
	/** The engine is free for another suspect. */
	readonly leave: () => void;
};

/** Daemons that died while they held one engine, and were not heard of again, within the memory of the log. */
const mostLostHolders = 8;

const retryMs = 5000;

/** The right to run a suspect on the engine; undefined when another suspect is on it. */
export const acquireProbation = async (services: CallerServices, engineId: string, deadline: Deadline, signal: AbortSignal): Promise<Probation | undefined> => {
	const {claims, environment} = services;
	for (let turn = 0; turn < mostLostHolders; turn++) {
		const claim = makeRunClaim(services, 'probation', `${engineId} ${turn}`);
		const leave = (): void => {
			void claims.recordOutcome(claim, {kind: 'not_sent', claimId: claim.id, key: makeKeyName(claim)});
		};

		const answer = await claimPatiently(services, claim, deadline, signal); // eslint-disable-line no-await-in-loop -- the next turn only when the holder of this one is lost
		switch (answer.kind) {
			case 'won': {
				return {leave};
			}

			case 'unknown': {
				// The holder died with its turn, and the suspect with it; all who ask move on to the same next turn.
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
				leave();
				throw new ServingError('a request that may end backend servers waits until the log answers', {kind: 'claims_unavailable', retryAt: addMilliseconds(environment.clock.now(), retryMs)});
			}
		}
	}

	return undefined;
};
