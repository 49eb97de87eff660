/**
 * Decides which daemon reads the platform's store for all. Calls to the store are billed and every daemon needs the
 * same data, so one daemon reads it and the others ask that daemon or their zone's relay. A daemon whose data becomes
 * stale reads the store itself, and continues until a daemon that ranks before it reports that it reads, so a wrong choice
 * causes extra calls but no incorrect results.
 */
import {type GossipMember, rankByBandwidth} from './pick-relays.js';

export type StoreRole = {
	/** Rank 0 reads the store for all. Rank 1 is the first to take over when rank 0 is silent. */
	readonly rank: number;
	/** Addresses of the daemons to ask for the configuration and the backend servers, the preferred one first. */
	readonly sources: readonly string[];
	/** Whether a daemon that ranks before this one reads the store at present, so this one need not. */
	readonly isReaderKnown: boolean;
};

/** A daemon reads the store itself until it knows other daemons. */
export const initialStoreRole: StoreRole = {rank: 0, sources: [], isReaderKnown: false};

/** Rendezvous key that ranks the readers. */
const readerKey = 'store';

/** Number of daemons to ask: the reader and its standby. */
const maxSources = 2;

/** A daemon with recent reports. */
export type ReportingMember = GossipMember & {
	/** Whether the store has answered it lately. A daemon that the store refuses can't read for others. */
	readonly isReading: boolean;
};

export type RoleInput = {
	/** This daemon. */
	readonly self: GossipMember;
	/** Daemons that may read for all: all daemons, or one relay per zone. */
	readonly reporting: readonly ReportingMember[];
	/** Relays of the daemon's own zone, or empty if it doesn't use relays. */
	readonly relays: readonly GossipMember[];
};

export const computeStoreRole = ({self, reporting, relays}: RoleInput): StoreRole => {
	if (relays.length > 0) {
		return {rank: Infinity, sources: relays.map(({address}) => address), isReaderKnown: true};
	}

	const ranked = rankByBandwidth(readerKey, [self, ...reporting]).map(({address}) => address);
	const rank = ranked.indexOf(self.address);
	const reading = new Set(reporting.filter(({isReading}) => isReading).map(({address}) => address));
	return {
		rank,
		sources: ranked.filter(address => address !== self.address).slice(0, maxSources),
		isReaderKnown: ranked.slice(0, rank).some(address => reading.has(address)),
	};
};

/**
 * How far the age of a daemon's data may exceed the usual age before it reads the store itself. The reader and its
 * standby read first, then the other daemons, and last those that are served by relays.
 */
const standbyMarginMs = 600;
const otherMarginMs = 900;
const relayedMarginMs = 1300;

export const getStaleMarginMs = ({rank}: Pick<StoreRole, 'rank'>): number => {
	if (rank <= 1) {
		return standbyMarginMs;
	}

	return rank === Infinity ? relayedMarginMs : otherMarginMs;
};

/** Whether a daemon that the store last answered this long ago counts as reading it. It polls at the given interval. */
export const isReadingStore = (lastAnswerMs: number, pollMs: number): boolean => lastAnswerMs < pollMs + standbyMarginMs;

/** Longest pause between retries while the store doesn't answer. The reader retries more often and informs the others when the store is back. */
const maxReaderPauseMs = 500;
const maxOtherPauseMs = 2000;

export const getMaxRetryPauseMs = ({rank}: Pick<StoreRole, 'rank'>): number => rank <= 1 ? maxReaderPauseMs : maxOtherPauseMs;

/**
 * Delay after the last report of a lease holder before a daemon looks up the lease in the store. It increases with the
 * daemon's rank, so that not all daemons read and write the same record at once.
 */
const lookupDelayPerRankMs = 400;
const maxLookupDelayMs = 2500;

export const getLeaseLookupDelayMs = ({rank}: Pick<StoreRole, 'rank'>): number => Math.min(rank * lookupDelayPerRankMs, maxLookupDelayMs);
