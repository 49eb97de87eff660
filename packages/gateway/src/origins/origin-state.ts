/** State of a daemon's part in remembering the origins of streams. */
import {makeOriginLedger, type OriginLedger} from '@shallotpass/core/origins/origin-ledger.js';
import {type OriginKeeper} from '@shallotpass/core/origins/pick-origin-keepers.js';
import {type OriginRecord} from '@shallotpass/core/origins/types.js';

export type OriginState = {
	/** Streams that this daemon serves, and those that it remembers for others. Written by calls and the origin exchange. */
	readonly ledger: OriginLedger;
	/** Lists the other daemons that may know a stream, best first. Set by the origin exchange. */
	listKnowing: (key: string) => readonly OriginKeeper[];
	/** Tells other daemons of a stream and returns which. Set by the origin exchange. */
	tell: (record: OriginRecord) => readonly OriginKeeper[];
	/** Asks a daemon for a stream. Resolves with what it answers, or rejects. Set by the origin exchange. */
	ask: (keeper: OriginKeeper, key: string, timeoutMs: number) => Promise<unknown>;
};

export const makeOriginState = (): OriginState => ({
	ledger: makeOriginLedger(),
	listKnowing: () => [],
	tell: () => [],
	async ask() {
		throw new Error('The origin exchange has not started.');
	},
});
