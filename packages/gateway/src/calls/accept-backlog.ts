/**
 * Tells how long new connections may have waited to be accepted. Node accepts one in each turn of the loop, so those that come
 * together, or while the process is busy, wait for each other with their requests and closes already there.
 */
import type net from 'node:net';
import {type LoopMonitor} from '../loop-monitor.js';

/** When a connection was accepted, and when it may have been opened at the earliest, on the steady clock. */
type Accept = {
	readonly acceptedAt: number;
	readonly openedAt: number;
};

/** A first request that is read later than this came after its connection. */
const firstRequestWithinMs = 250;

/** A shorter wait is not told. */
const minWaitMs = 100;

export type AcceptBacklog = {
	/** To be called with each connection that is accepted. */
	readonly recordAccept: (socket: net.Socket) => void;
	/** Returns how long the first request on a connection may have waited before it is read now, in milliseconds. 0 for later requests. */
	readonly takeWaitMs: (socket: net.Socket) => number;
};

export const makeAcceptBacklog = (steady: () => number, loop: LoopMonitor): AcceptBacklog => {
	const accepts = new WeakMap<net.Socket, Accept>();
	/** Since when each turn of the loop has accepted a connection, so that more may wait. */
	let busySince: number | undefined;
	let hasAccepted = false;
	const checkTurn = (): void => {
		if (!hasAccepted) {
			busySince = undefined;
			return;
		}

		hasAccepted = false;
		setImmediate(checkTurn);
	};

	return {
		recordAccept(socket) {
			const now = steady();
			if (busySince === undefined) {
				busySince = now - loop.getStandingMs();
				setImmediate(checkTurn);
			}

			hasAccepted = true;
			accepts.set(socket, {acceptedAt: now, openedAt: busySince});
		},
		takeWaitMs(socket) {
			const accept = accepts.get(socket);
			accepts.delete(socket);
			const now = steady();
			if (accept === undefined || now > accept.acceptedAt + firstRequestWithinMs) {
				return 0;
			}

			const waitMs = now - accept.openedAt;
			return waitMs < minWaitMs ? 0 : waitMs;
		},
	};
};
