/** Bounds the bytes of bodies that a process holds in memory, as part of what clients make it hold. */
import type net from 'node:net';
import {type ClientAccount} from './client-account.js';
import {type ClientLedger, makeClientLedger} from './client-ledger.js';

/** Bodies up to this size are held while there is any room, so that small calls go on while large ones are refused. */
const smallBytes = 65_536;

/** Share of the bound that is kept for small bodies beyond it. */
const smallReserve = 0.1;

export type HeldBytes = {
	/** Bytes that are held now. */
	readonly count: () => number;
	/** Whether there is room for a body of that length. */
	readonly hasRoomFor: (bytes: number) => boolean;
	/** Begins to hold the bytes of one body. `onGivenUp` is called if its client is given up while it is read. */
	readonly begin: (socket?: net.Socket, onGivenUp?: () => void) => BodyHold;
};

export type BodyHold = {
	/** Holds further bytes. Returns false if there is no room for them. */
	readonly add: (bytes: number) => boolean;
	/** Tells that the body was read whole, so that its client is not given up for it any more. */
	readonly keep: () => void;
	/** Holds nothing more. May be called again. */
	readonly release: () => void;
};

const noConnections = {
	callers: 0, ready: 0, metrics: 0, peers: 0, operators: 0,
};

/** A ledger of bodies only. */
const makeBodyLedger = (maxBytes: number): ClientLedger => makeClientLedger({
	maxBytes: maxBytes * (1 + smallReserve), maxObjectBytes: Number.POSITIVE_INFINITY, maxDescriptors: Number.POSITIVE_INFINITY, maxConnections: noConnections,
});

export const makeHeldBytes = (maxBytes: number, ledger = makeBodyLedger(maxBytes)): HeldBytes => {
	let total = 0;
	const hasRoom = (bodyBytes: number, addedBytes: number): boolean =>
		total + addedBytes <= maxBytes * (bodyBytes <= smallBytes ? 1 + smallReserve : 1) && ledger.makeRoom(addedBytes);

	/** Tells the account of the connection, if there is one. */
	const chargeAccount = (account: ClientAccount | undefined, bytes: number): void => {
		if (account !== undefined) {
			account.bodyBytes += bytes;
		}
	};

	return {
		count: () => total,
		hasRoomFor: bytes => hasRoom(bytes, bytes),
		begin(socket, onGivenUp) {
			const account = socket === undefined ? undefined : ledger.findAccount(socket);
			let held = 0;
			let isReleased = false;
			const keep = (): void => {
				if (account !== undefined && account.giveUpBody === onGivenUp) {
					account.giveUpBody = undefined;
				}
			};

			if (account !== undefined && onGivenUp !== undefined) {
				account.giveUpBody = onGivenUp;
			}

			return {
				add(bytes) {
					// Making room may give up this one.
					if (isReleased || !hasRoom(held + bytes, bytes) || isReleased) {
						return false;
					}

					held += bytes;
					total += bytes;
					chargeAccount(account, bytes);
					ledger.charge(bytes);
					return true;
				},
				keep,
				release() {
					isReleased = true;
					total -= held;
					chargeAccount(account, -held);
					held = 0;
					keep();
				},
			};
		},
	};
};
