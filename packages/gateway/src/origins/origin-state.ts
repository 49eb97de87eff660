/** State of a daemon's part in remembering the origins of streams. */
import {makeOriginLedger, type OriginLedger} from '@shallotpass/core/origins/origin-ledger.js';
import {type OriginKeeper} from '@shallotpass/core/origins/pick-origin-keepers.js';
import {type OriginRecord} from '@shallotpass/core/origins/types.js';

export type OriginState = {
	/** Streams that this daemon serves, and those that it remembers for others. Written by calls and the origin exchange. */
	readonly ledger: OriginLedger;
	/** Lists the other daemons that remember streams, best first for the key; with all that may know of it if `includesAll`. Set by the origin exchange. */
	listKeepers: (key: string, includesAll: boolean) => readonly OriginKeeper[];
	/** Tells daemons of a stream. Set by the origin exchange. */
	tell: (record: OriginRecord, keepers: readonly OriginKeeper[]) => void;
	/** Asks a daemon for a stream. Resolves with what it answers, or rejects. Set by the origin exchange. */
	ask: (keeper: OriginKeeper, key: string) => Promise<unknown>;
};

export const makeOriginState = (): OriginState => ({
	ledger: makeOriginLedger(),
	listKeepers: () => [],
	tell() {/* Set by the origin exchange. */},
	async ask() {
		throw new Error('The origin exchange has not started.');
	},
});
