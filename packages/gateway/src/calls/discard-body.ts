/** Reads a body that nobody uses, as far as the reuse of its connection is worth it. */
import {type Buffer} from 'node:buffer';
import type http from 'node:http';
import {examinedBodyBounds, type ReadExcess, unusedBodyBounds} from '../read-bounds.js';
import {type BackendState} from './backend-registry.js';
import {makeTurnLimit} from './limit-turn.js';

/** Calls `onExcess`, which must close the connection, if the body has not ended within its bounds. `state`: undefined if a peer sends it. */
export const discardBody = (response: http.IncomingMessage, state: BackendState | undefined, onExcess: (excess: ReadExcess) => void): void => {
	response.on('error', () => {
		// The body is not used.
	});
	if (response.closed) {
		return;
	}

	const isExamined = state?.isBodyExamined === false;
	if (isExamined) {
		state.isBodyExamined = true;
	}

	const bounds = isExamined ? examinedBodyBounds : unusedBodyBounds;
	const turn = makeTurnLimit(response);
	let bytes = 0;
	const endBody = (excess: ReadExcess): void => {
		clearTimeout(timer);
		response.off('data', onData);
		onExcess(excess);
	};

	const timer = setTimeout(() => {
		endBody('unused_body');
	}, bounds.ms);
	const onData = (chunk: Buffer): void => {
		bytes += chunk.length;
		if (bytes > bounds.bytes) {
			endBody(isExamined ? 'endless_body' : 'unused_body');
			return;
		}

		turn.onBytes(chunk.length);
	};

	response.on('data', onData);
	response.once('close', () => {
		clearTimeout(timer);
		if (isExamined) {
			state.isBodyExamined = false;
		}
	});
};
