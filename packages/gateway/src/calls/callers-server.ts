/**
 * HTTP server for callers. It can be opened before the rest of the program is loaded, so that early
 * requests are queued instead of rejected. A rejected caller may already have used its only retry.
 */
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {makeOwedAnswers, type OwedAnswers} from '@shallotpass/common/owed-answers.js';
import {parseHostAndPort} from '../host-and-port.js';
import {type LoopMonitor, startLoopMonitor} from '../loop-monitor.js';
import {type GetRequestId, refuseWhenRead} from './refuse-request.js';
import {type Refusal, sendRefusal} from './refusal.js';
import {type Arrival, makeRequestQueue} from './request-queue.js';

/** Limits that apply until a configuration sets others. */
const initialMaxHeaderBytes = 16_384;
const initialHeadersTimeoutMs = 3000;
const initialIdleTimeoutMs = 15_000;

/** How often Node checks connections for exceeded timeouts. */
const timeoutCheckIntervalMs = 500;

/** Added to the idle timeout, so that a request sent just before it expires is still accepted. */
export const keepAliveMarginMs = 500;

/** Maximum number of connections waiting to be accepted. */
const backlog = 1024;

/** Maximum number of queued requests. Each holds its header fields and about 64 kB of its body, 130 kB in all at most; the rest of the body stays in the kernel. */
export const maxQueuedRequests = 512;

const queueFullRefusal: Refusal = {kind: 'over_capacity', detail: 'This daemon is starting, and too many requests wait for it.', retryAfterS: 0.5};

/** Time for which a server that refuses all requests waits until they are read and their answers are delivered. */
const refusalWithinMs = 2000;
const refusalPollMs = 20;

/** Polls without a new connection or request after which none waits to be read any more. Node.js accepts one connection in each turn of its loop. */
const quietPolls = 5;

type Handler = (request: http.IncomingMessage, response: http.ServerResponse, arrival?: Arrival) => void;

export type CallersServer = {
	readonly server: http.Server;
	/** Answers that are owed to callers, also to those whose requests are queued. */
	readonly answers: OwedAnswers;
	readonly loop: LoopMonitor;
	/** Host and port as passed to `openCallersServer`. */
	readonly address: string;
	/** Attaches the request handler and passes it the queued requests first. */
	readonly serve: (handler: Handler) => void;
	/**
	 * Refuses the queued requests and all that follow, and closes the server once no answer is owed, also none that the handler
	 * has begun. Resolves with the number of answers that are still owed when the time for it is over.
	 */
	readonly refuseAll: (refusal: Refusal) => Promise<number>;
};

export type CallersServerOptions = {
	readonly address: string;
	readonly answers?: OwedAnswers;
	readonly loop?: LoopMonitor;
	readonly getRequestId?: GetRequestId;
};

const listenOn = async (server: http.Server, address: string): Promise<void> => new Promise((resolve, reject) => {
	server.once('error', reject);
	server.listen({...parseHostAndPort(address), backlog}, () => {
		server.off('error', reject);
		resolve();
	});
});

/** Rejects if the server cannot listen on the address. */
export const openCallersServer = async ({
	address, answers = makeOwedAnswers(), loop = startLoopMonitor({steady: () => performance.now()}), getRequestId = () => undefined,
}: CallersServerOptions): Promise<CallersServer> => {
	const queue = makeRequestQueue(maxQueuedRequests);
	let handler: Handler = (request, response) => {
		const readAt = performance.now();
		if (!queue.enqueue({request, response, arrival: {readAt, arrivedAt: readAt - loop.getStandingMs()}})) {
			sendRefusal(response, queueFullRefusal, getRequestId(request.headers), false);
		}
	};

	/** Connections and requests so far. */
	let arrivals = 0;
	const dispatch = (request: http.IncomingMessage, response: http.ServerResponse): void => {
		arrivals++;
		answers.add(request, response);
		handler(request, response);
	};

	const serve: CallersServer['serve'] = attachedHandler => {
		handler = attachedHandler;
		for (const {request, response, arrival} of queue.dequeueAll()) {
			attachedHandler(request, response, arrival);
		}
	};

	const server = http.createServer({
		maxHeaderSize: initialMaxHeaderBytes,
		headersTimeout: initialHeadersTimeoutMs,
		keepAliveTimeout: initialIdleTimeoutMs + keepAliveMarginMs,
		connectionsCheckingInterval: timeoutCheckIntervalMs,
		noDelay: true,
		keepAlive: true,
		keepAliveInitialDelay: 2000,
	}, dispatch);
	// Leaves time for slow uploads: a caller may take as long to send its body as its own deadline allows.
	server.requestTimeout = 60_000;
	server.on('checkContinue', (request: http.IncomingMessage, response: http.ServerResponse) => {
		response.writeContinue();
		dispatch(request, response);
	});
	server.on('connection', () => {
		arrivals++;
	});
	/** Resolves when nothing is owed and nothing waits to be read, or after the time for it. */
	const waitUntilQuiet = async (): Promise<void> => {
		const endAt = performance.now() + refusalWithinMs;
		let quietSince = 0;
		for (let poll = 0; poll - quietSince < quietPolls && performance.now() < endAt; poll++) {
			const arrivalsBefore = arrivals;
			await sleep(refusalPollMs); // eslint-disable-line no-await-in-loop -- a poll
			if (arrivals > arrivalsBefore || answers.count() > 0) {
				quietSince = poll + 1;
			}
		}
	};

	await listenOn(server, address);
	return {
		server,
		answers,
		loop,
		address,
		serve,
		async refuseAll(refusal) {
			serve((request, response) => {
				refuseWhenRead({
					request, response, refusal, requestId: getRequestId(request.headers), isLastOnConnection: () => answers.countOn(request.socket) <= 1,
				});
			});
			await waitUntilQuiet();
			const owed = answers.count();
			server.close();
			server.closeAllConnections();
			return owed;
		},
	};
};
