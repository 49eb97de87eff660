/** Lets other calls go on while many bytes of one answer come: Node reads megabytes of one connection in a turn of the loop, and small chunks of them take long. */
import type http from 'node:http';
import {maxBytesInTurn} from '../read-bounds.js';
import {readTurns} from './read-turns.js';

export type TurnLimit = {
	readonly onBytes: (count: number) => void;
	/** Called when what was read is of use. */
	readonly reset: () => void;
};

export const makeTurnLimit = (response: http.IncomingMessage): TurnLimit => {
	let bytesInTurn = 0;
	return {
		onBytes(count) {
			bytesInTurn += count;
			if (bytesInTurn <= maxBytesInTurn) {
				return;
			}

			response.pause();
			readTurns.enqueue(() => {
				bytesInTurn = 0;
				response.resume();
			});
		},
		reset() {
			bytesInTurn = 0;
		},
	};
};
