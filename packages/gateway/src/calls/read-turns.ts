/**
 * Shares each turn of the event loop among all connections to backend servers from which much is read: a turn in which each of many connections
 * takes its share would still be long, and calls to other backend servers, the store and peers wait meanwhile.
 */
import {Buffer} from 'node:buffer';
import type net from 'node:net';
import {makeLoopTurns} from '@shallotpass/common/loop-turns.js';
import {maxReadBytes, maxReadTurnMs} from '../read-bounds.js';

/** The event loop is one for all of the process. */
export const readTurns = makeLoopTurns(maxReadTurnMs);

/** Into which all connections read, as each read is copied at once. */
const readBuffer = Buffer.alloc(maxReadBytes);

/** Returns how a connection reads: in small parts, and in turn with the others if it has more to give. */
export const makeReadOptions = (getSocket: () => net.Socket): net.OnReadOpts => {
	let heldReads = 0;
	return {
		buffer: readBuffer,
		callback(count, buffer) {
			const socket = getSocket();
			const bytes = Buffer.from(buffer.subarray(0, count));
			if (heldReads === 0 && (count < maxReadBytes || readTurns.hasTime())) {
				return readTurns.run(() => socket.push(bytes));
			}

			heldReads++;
			readTurns.enqueue(() => {
				heldReads--;
				if (!socket.destroyed) {
					socket.push(bytes);
				}
			});
			// Node reads on once these bytes have been pushed.
			return false;
		},
	};
};
