/** Lets streams begin where they can go on, and keeps room for those that come back, while several software versions serve. */

/** Backend servers of a service that have one software version. */
export type VersionCapacity = {
	readonly ready: number;
	readonly leaving: number;
	/** Places of the ready ones. */
	readonly places: number;
};

export type ContinuityView = {
	/** The versions of the service. */
	readonly versions: Iterable<VersionCapacity>;
	/** The version of the backend server. */
	readonly own: VersionCapacity;
	/** Calls that run at the backend server, and its places. */
	readonly running: number;
	readonly places: number;
};

/** Additional wait that is accepted to begin a stream where another backend server can continue it. */
const fragilePenaltyMs = 150;

/** Additional wait that is accepted to leave the last places of a scarce version to streams that can go on nowhere else. */
const scarcePenaltyMs = 400;

/** A version with a smaller share of the service's places is scarce. */
const scarceShare = 1 / 3;

/** Part of the places beyond which a backend server counts as nearly full. */
const nearlyFullShare = 0.75;

/** Whether a stream that begins there could soon go on nowhere: one backend server is left, or the others are leaving. */
const isFragile = ({ready, leaving}: VersionCapacity): boolean => ready - (leaving > 0 ? 1 : 0) <= 1;

/** Computes the penalty of beginning a stream at a backend server, in milliseconds: 0 if one version serves. */
export const computeContinuityPenalty = ({versions, own, running, places}: ContinuityView): number => {
	const all = [...versions];
	if (all.length < 2) {
		return 0;
	}

	const totalPlaces = all.reduce((sum, version) => sum + version.places, 0);
	const isScarce = own.places < totalPlaces * scarceShare;
	const isNearlyFull = running + 1 > places * nearlyFullShare;
	return (isFragile(own) ? fragilePenaltyMs : 0) + (isScarce && isNearlyFull ? scarcePenaltyMs : 0);
};
