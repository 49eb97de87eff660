/** Selects the peers that get a report in a round. Peers that are silent, which may have ended, get one only every few rounds. */
import {type PeerReport} from '../gateway-state.js';

/** Peers that were silent for this long receive a report only every few rounds. */
const quietAfterMs = 5000;
const quietRoundInterval = 7;

/** Whether a peer that reports now was silent before, as after a partition. Others behind the partition are then reachable again as well. */
export const isHeardAgain = (previous: Pick<PeerReport, 'receivedAt'> | undefined, now: number): boolean =>
	previous !== undefined && previous.receivedAt < now - quietAfterMs;

export type ReportRound = {
	/** The latest reports of all peers. */
	readonly peers: Iterable<Pick<PeerReport, 'address' | 'receivedAt'>>;
	/** Addresses from which no report has arrived yet, with the time when they were added. */
	readonly unconfirmed: ReadonlyMap<string, number>;
	/** Number of the round. */
	readonly round: number;
	/** Whether a peer was heard again since the last round. */
	readonly hasHeardAgain: boolean;
	/** On the steady clock. */
	readonly now: number;
};

/** Lists the addresses that get a report in the round. */
export const listReportTargets = ({peers, unconfirmed, round, hasHeardAgain, now}: ReportRound): string[] => {
	const heardAt = new Map<string, number>();
	for (const {address, receivedAt} of peers) {
		heardAt.set(address, Math.max(heardAt.get(address) ?? 0, receivedAt));
	}

	for (const [address, addedAt] of unconfirmed) {
		heardAt.set(address, addedAt);
	}

	const includesQuiet = hasHeardAgain || round % quietRoundInterval === 0;
	return [...heardAt].filter(([, at]) => includesQuiet || at >= now - quietAfterMs).map(([address]) => address);
};
