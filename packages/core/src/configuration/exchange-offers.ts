/** Exchange of accepted configuration versions between daemons, so that a daemon that can't reach the log still gets new versions. */
import {getAcceptedVersion, settleTeam} from './configuration-state.js';
import {type ConfigurationOffer, type ConfigurationState} from './types.js';

/** Makes the offer that this daemon sends to its peers. */
export const makeOffer = (state: ConfigurationState): ConfigurationOffer => ({
	accepted: [...state.accepted.values()],
	foldedTo: state.foldedTo,
	history: state.history,
	isComplete: state.gap === undefined,
});

/** Returns the accepted version of each team. The result is small enough to be sent with every probe. */
export const makeVersionDigest = (state: ConfigurationState): Record<string, number> =>
	Object.fromEntries([...state.accepted].map(([team, accepted]) => [team, accepted.version]));

/** Whether the digest contains a version that is newer than the one this daemon has accepted. */
export const isBehindDigest = (state: ConfigurationState, digest: Readonly<Record<string, number>>): boolean =>
	Object.entries(digest).some(([team, version]) => version > getAcceptedVersion(state, team));

/**
 * Adopts the versions of an offer that are newer than the known ones, never older ones. While this daemon has a gap, it
 * cannot evaluate records that may be based on trimmed ones. If the peer has no gap and has read the log at least up to
 * the end of the trimmed part, its offer settles all teams and closes the gap.
 */
export const applyOffer = (state: ConfigurationState, offer: ConfigurationOffer, now: number): ConfigurationState => {
	let next = state;
	for (const accepted of offer.accepted) {
		if (accepted.version > getAcceptedVersion(next, accepted.team)) {
			next = {
				...next,
				accepted: new Map(next.accepted).set(accepted.team, accepted),
				lastWrittenAt: new Map(next.lastWrittenAt).set(accepted.team, next.lastWrittenAt.get(accepted.team) ?? now),
			};
		}
	}

	const {gap} = next;
	if (gap === undefined || !offer.isComplete || offer.foldedTo < gap.earliest) {
		return next;
	}

	for (const team of new Set([...next.accepted.keys(), ...gap.pending.map(pendingRecord => pendingRecord.team)])) {
		next = settleTeam({
			state: next, gap: next.gap!, team, from: offer.foldedTo,
		});
	}

	return {...next, gap: undefined};
};

/**
 * Initializes the state from a peer's offer if this daemon has not read any of the log, so that it continues reading
 * where the peer stopped instead of at the start. Newer versions that it has received from other peers are kept.
 */
export const initializeFromOffer = (state: ConfigurationState, offer: ConfigurationOffer, now: number): ConfigurationState => {
	if (state.foldedTo !== 0 || !offer.isComplete) {
		return applyOffer(state, offer, now);
	}

	const initialized: ConfigurationState = {
		foldedTo: offer.foldedTo,
		accepted: new Map(offer.accepted.map(accepted => [accepted.team, accepted])),
		history: offer.history,
		lastWrittenAt: new Map(offer.accepted.map(accepted => [accepted.team, now])),
	};
	return applyOffer(initialized, makeOffer(state), now);
};
