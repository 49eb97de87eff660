/**
 * Shares the limit of a backend server among daemons without a coordinator.
 *
 * A limit is split into shares that sum to 1. Calls cannot be split, so a small limit goes to few holders: in each daemon a
 * bucket of one call would let as many calls through at once as there are daemons. In any `t` seconds the holders together send at
 * most `ratePerSecond * t + burst` calls, and one more each if a run that has started must continue.
 */
import {weighMember} from '../routing/rank-by-rendezvous.js';
import {
	hasSettled, levelRatio, type Participant, type ParticipantHistory,
} from './participants.js';

/** Part of a limit that is used. The rest covers calls that are under way. */
const usedPart = 0.95;

/** Calls per second that are sent however small the limit is: only an answer shows that it has ended. */
const minRatePerSecond = 0.75;

/** Part of the burst that may be holders, each of which can send one call at once. */
const holderPart = 0.8;

export type SharingPlan = {
	readonly ratePerSecond: number;
	/** Calls that all holders together may send at once. */
	readonly burst: number;
	readonly maxHolders: number;
};

/** The burst grows from 1 to 3 calls up to a limit of 1 a second, and by one second's calls. */
export const planSharing = (perSecond: number): SharingPlan => {
	const burst = 1 + Math.min(2, 2 * perSecond) + perSecond;
	return {
		ratePerSecond: Math.max(minRatePerSecond, perSecond * usedPart),
		burst,
		maxHolders: Math.max(1, Math.floor(burst * holderPart)),
	};
};

/** A daemon's part in the limit of a backend server. */
export type Holding = {
	/** From 0 to 1. */
	readonly share: number;
	/** Number of daemons that hold shares. */
	readonly holders: number;
	/** Its place among the holders, from 0. */
	readonly position: number;
};

export const noHolding: Holding = {share: 0, holders: 0, position: 0};

/** Daemons in the zone of the backend server count that many times: a call to another zone is slower and its bytes are paid for. */
const sameZoneWeight = 4;

const hashRange = 2 ** 32;

export type LimitedBackend = {
	/** Hash of what identifies the backend server and its start. */
	readonly incarnationHash: number;
	readonly availabilityZone: string;
};

export type WeighedParticipant = {
	readonly daemon: string;
	readonly weight: number;
	/** The smallest come first. With it a daemon is chosen with a chance in proportion to its weight, and the same ones wherever the list is the same. */
	readonly order: number;
};

const weighParticipant = (backend: LimitedBackend, {daemon, hash, availabilityZone, level}: Participant): WeighedParticipant => {
	const weight = (levelRatio ** level) * (availabilityZone === backend.availabilityZone ? sameZoneWeight : 1);
	// `weighMember` gives a signed number.
	const uniform = (weighMember(backend.incarnationHash, hash) + (hashRange / 2) + 1) / (hashRange + 1);
	return {daemon, weight, order: -Math.log(uniform) / weight};
};

/** Returns the participants in the order in which they become holders, the same wherever the list is the same. */
export const computeHoldingOrder = (backend: LimitedBackend, participants: readonly Participant[]): WeighedParticipant[] => participants
	.map(participant => weighParticipant(backend, participant))
	.toSorted((left, right) => left.order - right.order || (left.daemon < right.daemon ? -1 : 1));

/** Computes the daemon's part in the limit from one list of participants. */
export const computeHolding = (backend: LimitedBackend, participants: readonly Participant[], daemon: string, maxHolders: number): Holding => {
	const holders = computeHoldingOrder(backend, participants).slice(0, maxHolders);
	const position = holders.findIndex(holder => holder.daemon === daemon);
	const own = holders[position];
	if (own === undefined) {
		return noHolding;
	}

	const total = holders.reduce((sum, {weight}) => sum + weight, 0);
	return {share: own.weight / total, holders: holders.length, position};
};

export type StableHoldingInput = {
	readonly backend: LimitedBackend;
	readonly history: ParticipantHistory;
	readonly daemon: string;
	readonly maxHolders: number;
};

/** A holding, and from what it was computed. */
export type KnownHolding = Pick<StableHoldingInput, 'history' | 'maxHolders'> & {
	readonly value: Holding;
};

/**
 * Computes the daemon's part from all lists of the history: a larger share counts only when all daemons know the list that gives it,
 * a smaller one at once. So the shares in use sum to at most 1 also while daemons know different lists.
 */
export const computeStableHolding = ({backend, history, daemon, maxHolders}: StableHoldingInput): Holding => {
	let stable: Holding | undefined;
	for (const {participants} of history) {
		const holding = computeHolding(backend, participants, daemon, maxHolders);
		if (holding.share === 0) {
			return noHolding;
		}

		stable = {...holding, share: Math.min(holding.share, stable?.share ?? 1)};
	}

	return stable ?? noHolding;
};

export type HoldingInput = Omit<StableHoldingInput, 'maxHolders'> & {
	/** Calls per second that the backend server takes. Undefined if it states no limit. */
	readonly perSecond: number | undefined;
	readonly now: number;
	readonly propagationMs: number;
};

/** Returns the daemon's part in a limit at `now`. The known one is computed again only if the lists or the number of holders have changed. */
export const updateHolding = (known: KnownHolding | undefined, {perSecond, now, propagationMs, ...input}: HoldingInput): KnownHolding => {
	const {history} = input;
	if (perSecond === undefined || !hasSettled(history, now, propagationMs)) {
		return {history, maxHolders: 0, value: noHolding};
	}

	const {maxHolders} = planSharing(perSecond);
	return known?.history === history && known.maxHolders === maxHolders
		? known
		: {history, maxHolders, value: computeStableHolding({...input, maxHolders})};
};
