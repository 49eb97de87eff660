/** Limits the informational heads (status 1xx) before an answer, of which Node's client reads any number. */
import type http from 'node:http';
import {hasTooManyHeads} from '@shallotpass/core/retries/informational-heads.js';

/** Calls `onExcess` once if more heads come than a sound backend server sends. */
export const limitInformationalHeads = (request: http.ClientRequest, onExcess: () => void): void => {
	const startedAt = performance.now();
	let heads = 0;
	const countHead = (): void => {
		heads++;
		if (hasTooManyHeads(heads, performance.now() - startedAt)) {
			request.off('information', countHead);
			onExcess();
		}
	};

	request.on('information', countHead);
};
