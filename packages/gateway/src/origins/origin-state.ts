/** State of a daemon's part in remembering the origins of streams. */
import {makeOriginLedger, type OriginLedger} from '@shallotpass/core/origins/origin-ledger.js';
import {type OriginKeeper} from '@shallotpass/core/origins/pick-origin-keepers.js';
import {type OriginRecord} from '@shallotpass/core/origins/types.js';
import {pauseFor} from '../pause.js';

export type OriginState = {
	/** Streams that this daemon serves, and those that it remembers for others. Written by calls and the origin exchange. */
	readonly ledger: OriginLedger;
	/** Streams that this daemon serves and whose version is not known yet, by key. Each promise resolves when it is, or when it will not be. */
	readonly pending: Map<string, Promise<void>>;
	/** Lists the other daemons that may know a stream, best first. Set by the origin exchange. */
	listKnowing: (key: string) => readonly OriginKeeper[];
	/** Tells other daemons of a stream and returns which. Set by the origin exchange. */
	tell: (record: OriginRecord) => readonly OriginKeeper[];
	/** Asks a daemon for a stream. Resolves with what it answers, or rejects. Set by the origin exchange. */
	ask: (keeper: OriginKeeper, key: string, timeoutMs: number) => Promise<unknown>;
};

export const makeOriginState = (): OriginState => ({
	ledger: makeOriginLedger(),
	pending: new Map(),
	listKnowing: () => [],
	tell: () => [],
	async ask() {
		throw new Error('The origin exchange has not started.');
	},
});

/** Remembers that the origin of a stream is being found out. */
export const trackPendingOrigin = async ({pending}: OriginState, key: string, version: Promise<void>): Promise<void> => {
	pending.set(key, version);
	await version;
	if (pending.get(key) === version) {
		pending.delete(key);
	}
};

/** Waits up to a time while the origin of a stream is being found out here. */
export const waitForPendingOrigin = async ({pending}: OriginState, key: string, {timeoutMs, signal}: {timeoutMs: number; signal: AbortSignal}): Promise<void> => {
	const version = pending.get(key);
	if (version !== undefined) {
		await Promise.race([version, pauseFor(timeoutMs, signal)]);
	}
};
