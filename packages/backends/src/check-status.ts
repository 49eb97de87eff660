/** Refuses answers whose status is none. The client reads some of them, and they would pass for answers or refusals. */
import {isFinalStatus} from '@shallotpass/common/is-final-status.js';
import {type Dispatcher} from 'undici';

export const checkStatus = (status: number): void => {
	if (!isFinalStatus(status)) {
		throw new Error(`the backend server answered with ${status}, which is no status`);
	}
};

/** Discards the body of an answer that is refused, so that its connection is closed. */
export const checkResponseStatus = ({statusCode, body}: Dispatcher.ResponseData): void => {
	try {
		checkStatus(statusCode);
	} catch (error) {
		body.on('error', () => {/* the body is discarded */});
		body.destroy();
		throw error;
	}
};
