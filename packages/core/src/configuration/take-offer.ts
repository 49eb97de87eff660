/** Versions that daemons pass on to each other, so that one without the log still learns of them. */
import {getAcceptedVersion, settleTeam} from './fold-configuration.js';
import {type ConfigurationOffer, type ConfigurationState} from './types.js';

export const makeOffer = (state: ConfigurationState): ConfigurationOffer => ({
	accepted: [...state.accepted.values()],
	foldedTo: state.foldedTo,
	history: state.history,
	isComplete: state.gap === undefined,
});

/** Versions by team; small enough to travel with every probe. */
export const makeVersionDigest = (state: ConfigurationState): Record<string, number> =>
	Object.fromEntries([...state.accepted].map(([team, accepted]) => [team, accepted.version]));

/** Whether the digest names a version that this daemon does not have yet. */
export const hasNewerVersion = (state: ConfigurationState, digest: Readonly<Record<string, number>>): boolean =>
	Object.entries(digest).some(([team, version]) => version > getAcceptedVersion(state, team));

/**
 * Takes from an offer what is newer than what is known. A lower version is never
 * taken, whoever offers it. When this daemon could not judge records after a
 * trim and the peer has read at least as far, the peer's word settles them.
 */
export const takeOffer = (state: ConfigurationState, offer: ConfigurationOffer, now: number): ConfigurationState => {
	let next = state;
	for (const accepted of offer.accepted) {
		if (accepted.version > getAcceptedVersion(next, accepted.team)) {
			next = {
				...next,
				accepted: new Map(next.accepted).set(accepted.team, accepted),
				statedAt: new Map(next.statedAt).set(accepted.team, next.statedAt.get(accepted.team) ?? now),
			};
		}
	}

	const {gap} = next;
	if (gap === undefined || !offer.isComplete || offer.foldedTo < gap.earliest) {
		return next;
	}

	for (const team of new Set([...next.accepted.keys(), ...gap.pending.map(held => held.team)])) {
		next = settleTeam({
			state: next, gap: next.gap!, team, from: offer.foldedTo,
		});
	}

	return {...next, gap: undefined};
};

/**
 * What a daemon that has read nothing of the log takes over from a peer, so that it
 * reads on from there instead of from the log's beginning. What it has heard from
 * another peer meanwhile stays if it is newer.
 */
export const startFromOffer = (state: ConfigurationState, offer: ConfigurationOffer, now: number): ConfigurationState => {
	if (state.foldedTo !== 0 || !offer.isComplete) {
		return takeOffer(state, offer, now);
	}

	const started: ConfigurationState = {
		foldedTo: offer.foldedTo,
		accepted: new Map(offer.accepted.map(accepted => [accepted.team, accepted])),
		history: offer.history,
		statedAt: new Map(offer.accepted.map(accepted => [accepted.team, now])),
	};
	return takeOffer(started, makeOffer(state), now);
};
