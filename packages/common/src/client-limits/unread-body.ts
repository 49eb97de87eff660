/** Tells whether a body that is parsed is read by anybody. Node keeps an object for each chunk of one that is not. */
import {EventEmitter} from 'node:events';
import type http from 'node:http';
import {type UnreadRequest} from '../owed-answers.js';

/** Bytes of a body that are parsed before they are read. */
const maxUnreadBytes = 128;

export const isInChunks = ({request}: UnreadRequest): boolean => request.headers['transfer-encoding'] !== undefined;

/** Whether nobody reads the body yet. Those who read it by iteration tell no event. */
export const isBodyUnread = ({request}: UnreadRequest): boolean => request.readableFlowing !== true && request.listenerCount('readable') === 0;

/** Whether no more of the body should be parsed before some of it is read. */
export const isBodyKept = ({request}: UnreadRequest): boolean => request.readableLength >= maxUnreadBytes && request.listenerCount('readable') === 0;

export type BodyWatcher = {
	/** Called with each part of the body that is read. */
	readonly onBody: () => void;
	/** Called when it may begin to be read. */
	readonly onReader: () => void;
};

/** Learns when the body is read, without beginning to read it. */
export const watchBody = (request: http.IncomingMessage, {onBody, onReader}: BodyWatcher): void => {
	const listen = (): void => {
		// One that Node drops loses its listeners. The method of streams would begin to read the body.
		if (!request.listeners('data').includes(onBody)) {
			EventEmitter.prototype.on.call(request, 'data', onBody);
		}

		onReader();
	};

	listen();
	request.on('resume', listen);
	request.on('newListener', onReader);
};
