/** Merges the states of rollouts that different daemons know. */
import {mergeRecords} from '@shallotpass/common/records.js';
import {type Rollout} from './types.js';

type Rollouts = Readonly<Record<string, Rollout>>;

/**
 * Final stages win over others whatever their revision: a lease holder that lost the store rolls back in memory while its successor may
 * go on. `completed` wins over all, as it is written to the store before it is told, and the platform then terminates the old servers.
 */
const rankStage = ({stage}: Rollout): number => ['rolled_back', 'completed'].indexOf(stage);

const compareRollouts = (left: Rollout, right: Rollout): number => left.offset - right.offset
	|| rankStage(left) - rankStage(right)
	|| left.revision - right.revision
	// Two states differ at the same revision only if two lease holders planned them. The one that exposes less wins.
	|| right.share - left.share;

/** Returns the newer of two states of the rollouts of a service: by the offset of the request, a final stage, the revision. */
export const pickNewerRollout = (left: Rollout, right: Rollout): Rollout => {
	const newer = compareRollouts(left, right) >= 0 ? left : right;
	return left.offset === right.offset ? {...newer, confirmedAt: Math.max(left.confirmedAt, right.confirmedAt)} : newer;
};

/** Merges the rollouts of two daemons, by service. */
export const mergeRollouts = (left: Rollouts, right: Rollouts): Record<string, Rollout> =>
	mergeRecords(left, right, (rollout, known) => known === undefined ? rollout : pickNewerRollout(known, rollout));
