/**
 * HTTP server for callers. It can be opened before the rest of the program is loaded, so that early
 * requests are queued instead of rejected. A rejected caller may already have used its only retry.
 */
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import type net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {type ClientLedger, makeClientLedger} from '@shallotpass/common/client-limits/client-ledger.js';
import {guardListener, usualMaxAhead, usualMaxFieldBytes} from '@shallotpass/common/client-limits/guard-listener.js';
import {closeGently} from '@shallotpass/common/close-gently.js';
import {makeOwedAnswers, type OwedAnswers} from '@shallotpass/common/owed-answers.js';
import {type InputError} from '@shallotpass/common/unreadable-request.js';
import {watchInput} from '@shallotpass/common/watch-input.js';
import {readClientLimits} from '../gateway-ledger.js';
import {parseHostAndPort} from '../host-and-port.js';
import {type LoopMonitor, startLoopMonitor} from '../loop-monitor.js';
import {type CallerConnections, followConnections} from './caller-connections.js';
import {formatBareError} from './format-bare-error.js';
import {type GetRequestId, refuseWhenRead} from './refuse-request.js';
import {type Refusal, sendRefusal} from './refusal.js';
import {type Arrival, makeRequestQueue} from './request-queue.js';
import {acceptBacklogLength, stopAccepting} from './stop-accepting.js';

/** Limits that apply until a configuration sets others. */
const initialMaxHeadBytes = 16_384;
const initialHeadersTimeoutMs = 3000;
const initialIdleTimeoutMs = 15_000;

/** How often Node checks connections for exceeded timeouts. */
const timeoutCheckIntervalMs = 500;

/** Added to the idle timeout, so that a request sent just before it expires is still accepted. */
export const keepAliveMarginMs = 500;

/** Bytes of a head that are read at most, whatever the configuration allows. */
export const readableHeadBytes = 65_536;

/** A field of one letter takes four bytes, of which one counts. */
const sentBytesPerHeadByte = 4;

/** Maximum number of queued requests. Each holds its header fields and about 64 kB of its body, 130 kB in all at most; the rest of the body stays in the kernel. */
export const maxQueuedRequests = 512;

const queueFullRefusal: Refusal = {kind: 'over_capacity', detail: 'This daemon is starting, and too many requests wait for it.', retryAfterS: 0.5};

const noHostRefusal: Refusal = {kind: 'invalid_request', detail: 'A request of HTTP/1.1 needs a Host field.'};

const headTooLargeRefusal: Refusal = {kind: 'headers_too_large', detail: 'The header fields are larger than the configuration allows.'};

/** Counts the bytes of a head as Node's parser does: those of the path, of the fields' names and of their values. */
const countHeadBytes = ({url = '', rawHeaders}: http.IncomingMessage): number => rawHeaders.reduce((bytes, text) => bytes + text.length, url.length);

const lacksHost = ({httpVersion, headers}: http.IncomingMessage): boolean => httpVersion === '1.1' && headers.host === undefined;

/** Time for which a server that refuses all requests waits until callers have read their answers and closed their connections. */
const refusalWithinMs = 2000;
const refusalPollMs = 20;

type Handler = (request: http.IncomingMessage, response: http.ServerResponse, arrival?: Arrival) => void;

export type CallersServer = {
	readonly server: http.Server;
	/** Answers that are owed to callers, also to those whose requests are queued. */
	readonly answers: OwedAnswers;
	readonly connections: CallerConnections;
	/** What clients make the daemon hold. */
	readonly ledger: ClientLedger;
	readonly loop: LoopMonitor;
	/** Host and port as passed to `openCallersServer`. */
	readonly address: string;
	/** Called when no further request can be read from a connection. Set by the owner. */
	onUnreadable: (error: InputError, socket: net.Socket) => void;
	/** Refuses requests with larger heads from now on. */
	readonly limitHeads: (maxBytes: number) => void;
	/** Attaches the request handler and passes it the queued requests first. */
	readonly serve: (handler: Handler) => void;
	/**
	 * Stops accepting and refuses the queued requests and all that follow. Resolves once callers have closed their connections, or
	 * the time for it is over, with the number of answers that are still owed, also by the handler.
	 */
	readonly refuseAll: (refusal: Refusal) => Promise<number>;
};

export type CallersServerOptions = {
	readonly address: string;
	readonly answers?: OwedAnswers;
	readonly ledger?: ClientLedger;
	readonly loop?: LoopMonitor;
	readonly getRequestId?: GetRequestId;
};

const listenOn = async (server: http.Server, address: string): Promise<void> => new Promise((resolve, reject) => {
	server.once('error', reject);
	server.listen({...parseHostAndPort(address), backlog: acceptBacklogLength}, () => {
		server.off('error', reject);
		resolve();
	});
});

/** Rejects if the server cannot listen on the address. */
export const openCallersServer = async ({
	address, answers = makeOwedAnswers(), ledger = makeClientLedger(readClientLimits({})), loop = startLoopMonitor({steady: () => performance.now()}), getRequestId = () => undefined,
}: CallersServerOptions): Promise<CallersServer> => {
	const queue = makeRequestQueue(maxQueuedRequests);
	let maxHeadBytes = initialMaxHeadBytes;
	let isServing = false;
	let handler: Handler = (request, response) => {
		const readAt = performance.now();
		if (!queue.enqueue({request, response, arrival: {readAt, arrivedAt: readAt - loop.getStandingMs()}})) {
			sendRefusal(response, queueFullRefusal, getRequestId(request.headers), () => false);
		}
	};

	/** Closes the connection behind the answers that are owed on it. */
	const endBehind = ({socket}: http.IncomingMessage): void => {
		answers.endOn(socket);
		answers.onSettled(socket, () => {
			closeGently(socket);
		});
	};

	const dispatch = (request: http.IncomingMessage, response: http.ServerResponse): void => {
		// An answer to HTTP/1.0 that states no length ends with its connection, so none can follow it.
		if (request.httpVersion === '1.0' && answers.countOn(request.socket) > 0) {
			endBehind(request);
		}

		if (!answers.add(request, response)) {
			request.resume();
			return;
		}

		if (countHeadBytes(request) > maxHeadBytes) {
			endBehind(request);
			refuseWhenRead({
				request, response, refusal: headTooLargeRefusal, requestId: undefined, isLastOnConnection: () => false,
			});
			return;
		}

		if (lacksHost(request)) {
			refuseWhenRead({
				request, response, refusal: noHostRefusal, requestId: getRequestId(request.headers), isLastOnConnection: () => false,
			});
			return;
		}

		handler(request, response);
	};

	const serve: CallersServer['serve'] = attachedHandler => {
		handler = attachedHandler;
		isServing = true;
		for (const {request, response, arrival} of queue.dequeueAll()) {
			attachedHandler(request, response, arrival);
		}
	};

	const server = http.createServer({
		maxHeaderSize: readableHeadBytes,
		headersTimeout: initialHeadersTimeoutMs,
		keepAliveTimeout: initialIdleTimeoutMs + keepAliveMarginMs,
		connectionsCheckingInterval: timeoutCheckIntervalMs,
		// Node would close the connection behind its answer, and drop the requests that were read behind it.
		requireHostHeader: false,
		noDelay: true,
		keepAlive: true,
		keepAliveInitialDelay: 2000,
	}, dispatch);
	// Leaves time for slow uploads: a caller may take as long to send its body as its own deadline allows.
	server.requestTimeout = 60_000;
	// Node would drop the fields beyond a number. Their bytes are bounded.
	server.maxHeadersCount = 0;
	server.on('checkContinue', (request: http.IncomingMessage, response: http.ServerResponse) => {
		response.writeContinue();
		dispatch(request, response);
	});
	watchInput({
		server, answers, formatError: formatBareError, refusesUpgrades: false,
		onUnreadable(error, socket) {
			callersServer.onUnreadable(error, socket);
		},
	});
	const connections = followConnections(server, answers);
	guardListener({
		server,
		listener: 'callers',
		ledger,
		answers,
		getMaxAhead: () => isServing ? usualMaxAhead : maxQueuedRequests,
		getMaxFieldBytes: () => Math.max(usualMaxFieldBytes, maxHeadBytes * sentBytesPerHeadByte),
	});
	const callersServer: CallersServer = {
		server,
		answers,
		connections,
		ledger,
		loop,
		address,
		onUnreadable() {/* set by the owner */},
		limitHeads(maxBytes) {
			maxHeadBytes = maxBytes;
		},
		serve,
		async refuseAll(refusal) {
			serve((request, response) => {
				refuseWhenRead({
					request, response, refusal, requestId: getRequestId(request.headers), isLastOnConnection: () => answers.endWith(request),
				});
			});
			const endAt = performance.now() + refusalWithinMs;
			await stopAccepting(server, connections);
			do {
				await sleep(refusalPollMs); // eslint-disable-line no-await-in-loop -- a poll
				connections.endSettled({isAnswered: false});
			} while (connections.countOpen() > 0 && performance.now() < endAt);

			const owed = answers.count();
			server.closeAllConnections();
			return owed;
		},
	};
	await listenOn(server, address);
	return callersServer;
};
