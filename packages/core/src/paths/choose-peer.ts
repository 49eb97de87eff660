/** Chooses the daemon through which a call is sent that reaches no backend server from here. */

export type PeerCandidate = {
	readonly address: string;
	readonly availabilityZone: string;
	/** Calls that it last said it can take. Undefined if it does not report to this daemon. */
	readonly room: number | undefined;
	/** Calls of this daemon that it is serving. */
	readonly inFlight: number;
};

export type PeerChoice = {
	readonly ownZone: string;
	/** Zones whose daemons could not take a call a moment ago. */
	readonly avoidedZones?: ReadonlySet<string>;
	/** Returns a number from 0 up to, but not including, 1. */
	readonly random: () => number;
};

/** Candidates that are compared. The best of a small sample spreads calls evenly without messages, whatever the number of daemons. */
const sampleSize = 2;

const countFree = ({room, inFlight}: PeerCandidate): number => (room ?? Number.MAX_SAFE_INTEGER) - inFlight;

/** Returns the less busy of two random candidates of the own availability zone, or of the other zones if it has none or is avoided. */
export const choosePeer = (candidates: readonly PeerCandidate[], {ownZone, avoidedZones, random}: PeerChoice): PeerCandidate | undefined => {
	const free = candidates.filter(candidate => countFree(candidate) > 0);
	const usual = free.filter(({availabilityZone}) => avoidedZones?.has(availabilityZone) !== true);
	const near = usual.filter(({availabilityZone}) => availabilityZone === ownZone);
	const pool = [near, usual, free].find(({length}) => length > 0);
	if (pool === undefined) {
		return undefined;
	}

	const sample = Array.from({length: sampleSize}, () => pool[Math.floor(random() * pool.length)]!);
	return sample.toSorted((left, right) => left.inFlight - right.inFlight)[0];
};
