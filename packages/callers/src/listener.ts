/** HTTP listener for callers: enforces connection limits, routes requests and responds to every request. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {guardListener} from '@shallotpass/common/client-limits/guard-listener.js';
import {closeGently, waitForParser} from '@shallotpass/common/close-gently.js';
import {listenAt} from '@shallotpass/common/listen.js';
import {isRepeatable} from '@shallotpass/common/configuration-schema.js';
import {makeOwedAnswers} from '@shallotpass/common/owed-answers.js';
import {ServingError, toServingError} from '@shallotpass/common/serving-error.js';
import {addMilliseconds} from '@shallotpass/common/types.js';
import {type InputError} from '@shallotpass/common/unreadable-request.js';
import {watchInput} from '@shallotpass/common/watch-input.js';
import {watchConnection} from '@shallotpass/common/watch-connection.js';
import {
	getHeader, makeRequestId, markPossiblyExecuted, type CallerCall,
} from './caller-call.js';
import {makePlainCallContext} from './plain-call.js';
import {formatRawProblem, isReadInPart, sendProblem} from './respond.js';
import {makeRetryBudgets, type RetryBudgets} from './retry-budgets.js';
import {serveChat} from './serve-chat.js';
import {serveClaimed} from './serve-claimed.js';
import {serveModels} from './serve-models.js';
import {serveRepeatable} from './serve-repeatable.js';
import {type CallerServices} from './services.js';

export type CallerListener = {
	readonly address: string;
	readonly countInFlight: () => number;
	/** Refuses new requests from now on, and closes connections after their current response. */
	readonly startDraining: () => void;
	/** Resolves when no request is in flight, and the answers are delivered or the time for that is over. */
	readonly waitUntilIdle: () => Promise<void>;
	readonly close: () => Promise<void>;
};

/** Time for callers to read answers that are written, for 16 MB at 1.6 MB a second. */
const deliverWithinMs = 10_000;

type ListenerOptions = {
	readonly listen: {readonly host: string; readonly port: number};
	readonly services: CallerServices;
};

const retryAfterMs = 1000;

/** A field of one letter takes four bytes, of which Node's parser counts one. */
const sentBytesPerHeadByte = 4;

/** How often Node.js checks for connections that exceed the header or request timeout. */
const connectionCheckIntervalMs = 1000;

const servePlain = async (call: CallerCall, services: CallerServices, budgets: RetryBudgets): Promise<string> => {
	const context = makePlainCallContext(call, services);
	await (isRepeatable(context.service, context.method) ? serveRepeatable(context, budgets) : serveClaimed(context));
	return context.serviceId;
};

const checkMethod = (request: IncomingMessage, method: string): void => {
	if (request.method !== method) {
		throw new ServingError(`${request.method ?? 'the method'} is not served here, ${method} is`, {kind: 'method_not_allowed'});
	}
};

const route = async (call: CallerCall, services: CallerServices, budgets: RetryBudgets): Promise<string> => {
	const {pathname} = call.url;
	if (services.configuration.getActiveConfigurations().teams.size === 0) {
		throw new ServingError('no configuration has been accepted, or none has reached this daemon', {
			kind: 'no_configuration', retryAt: addMilliseconds(services.environment.clock.now(), retryAfterMs),
		});
	}

	if (pathname === '/v1/chat/completions') {
		checkMethod(call.request, 'POST');
		return serveChat(call, services, budgets);
	}

	if (pathname === '/v1/models') {
		checkMethod(call.request, 'GET');
		serveModels(call, services);
		return 'models';
	}

	if (pathname.startsWith('/services/')) {
		return servePlain(call, services, budgets);
	}

	throw new ServingError(`nothing is served at ${pathname.slice(0, 100)}`, {kind: 'not_found'});
};

/** What to tell about input that cannot be read, by error kind. */
const inputErrorDetails: Readonly<Record<InputError['kind'], string>> = {
	headers_too_large: 'the header fields are larger than this daemon takes', // eslint-disable-line @typescript-eslint/naming-convention -- error kinds are part of the wire format
	request_timeout: 'the request was not sent in time', // eslint-disable-line @typescript-eslint/naming-convention -- as above
	method_not_allowed: 'CONNECT is not served', // eslint-disable-line @typescript-eslint/naming-convention -- as above
	invalid_request: 'not HTTP/1.1', // eslint-disable-line @typescript-eslint/naming-convention -- as above
};

const formatInputError = ({kind, reason}: InputError): string =>
	formatRawProblem(kind, kind === 'invalid_request' ? `${inputErrorDetails[kind]}: ${reason}` : inputErrorDetails[kind], makeRequestId());

const checkHost = ({httpVersion, headers}: IncomingMessage): void => {
	if (httpVersion === '1.1' && headers.host === undefined) {
		throw new ServingError('a request of HTTP/1.1 needs a Host field', {kind: 'invalid_request'});
	}
};

const parseUrl = (request: IncomingMessage): URL => {
	try {
		return new URL(request.url ?? '/', 'http://callers');
	} catch {
		throw new ServingError('the request target cannot be read', {kind: 'invalid_request'});
	}
};

export const startCallerListener = async ({listen, services}: ListenerOptions): Promise<CallerListener> => {
	const {environment, tracing} = services;
	const {settings, clock, metrics} = environment;
	const {limits} = settings;
	const logger = environment.makeLogger('callers');
	const budgets = makeRetryBudgets();
	const answers = makeOwedAnswers();
	const sockets = new Set<Socket>();
	let inFlight = 0;
	let isDraining = false;
	const idleWaiters: Array<() => void> = [];

	const waitUntilDelivered = async (): Promise<void> => {
		const deliveries = [...sockets].map(async socket => new Promise<void>(resolve => {
			answers.onSettled(socket, resolve);
		}));
		await Promise.race([Promise.all(deliveries), sleep(deliverWithinMs, undefined, {ref: false})]);
	};

	const markFinished = (): void => {
		inFlight--;
		if (inFlight === 0) {
			for (const resolve of idleWaiters.splice(0)) {
				resolve();
			}
		}
	};

	const sendRefusal = (call: Pick<CallerCall, 'response' | 'socket' | 'requestId'>, error: ServingError): void => {
		if (error.kind === 'internal') {
			logger.error('request_failed', {requestId: call.requestId, error: error.cause ?? error});
		}

		sendProblem(call, error, call.requestId, clock.now());
	};

	const serve = async (call: CallerCall): Promise<void> => {
		let result = 'ok';
		let service = 'none';
		let failure: ServingError | undefined;
		try {
			if (isDraining) {
				// The first refusal would end the connection while requests that came with this one are not read yet.
				await waitForParser();
				if (answers.endWith(call.request)) {
					call.response.setHeader('connection', 'close');
				}

				throw new ServingError('this instance is leaving', {kind: 'draining', retryAt: addMilliseconds(clock.now(), retryAfterMs)});
			}

			service = await route(call, services, budgets);
		} catch (error) {
			failure = markPossiblyExecuted(toServingError(error), call.execution);
			result = failure.kind;
			if (isReadInPart(failure.kind)) {
				// What came in the same read is parsed, so that a request behind the body is not lost.
				call.request.resume();
				await waitForParser();
			}

			sendRefusal(call, failure);
		} finally {
			call.span.end(failure);
			metrics.requests.inc({service, result});
			metrics.requestSeconds.observe({service}, (clock.now() - call.startedAt) / 1000);
			logger.debug('request_ended', {
				requestId: call.requestId, result, service, milliseconds: clock.now() - call.startedAt,
			});
			markFinished();
		}
	};

	const serveWatched = async (call: CallerCall, stopWatching: () => void): Promise<void> => {
		await serve(call);
		stopWatching();
	};

	const handle = (request: IncomingMessage, response: ServerResponse): void => {
		const {socket} = request;
		const requestId = makeRequestId();
		if (!answers.add(request, response)) {
			request.resume();
			return;
		}

		inFlight++;
		const callerGone = new AbortController();
		const stopWatching = watchConnection(socket, () => {
			if (!response.writableEnded) {
				callerGone.abort();
			}
		});
		request.on('error', () => {/* handled by the reader of the body */});
		response.on('error', () => {/* the caller has disconnected */});
		try {
			checkHost(request);
			const url = parseUrl(request);
			const span = tracing.startSpan('caller', getHeader(request, 'traceparent'), {method: request.method ?? '', path: url.pathname, requestId});
			void serveWatched({
				request, response, socket, requestId, url, span, startedAt: clock.now(), callerGoneSignal: callerGone.signal, execution: {mayHaveRun: false},
			}, stopWatching);
		} catch (error) {
			stopWatching();
			sendRefusal({response, socket, requestId}, toServingError(error));
			markFinished();
		}
	};

	const server: Server = createServer({
		maxHeaderSize: limits.maxHeaderBytes,
		headersTimeout: limits.headersWithinMs,
		requestTimeout: limits.bodyWithinMs,
		connectionsCheckingInterval: connectionCheckIntervalMs,
		keepAliveTimeout: 65_000,
		// Node would close the connection behind its answer, and drop the requests that were read behind it.
		requireHostHeader: false,
		noDelay: true,
	}, handle);
	server.on('connection', socket => {
		sockets.add(socket);
		metrics.connections.set(sockets.size);
		socket.once('close', () => {
			sockets.delete(socket);
			metrics.connections.set(sockets.size);
		});
		if (sockets.size > limits.maxConnections) {
			socket.on('error', () => {/* the socket is closed in any case */});
			socket.write(formatRawProblem('connection_limit', `this instance takes ${limits.maxConnections} connections`, makeRequestId()));
			closeGently(socket);
		}
	});
	watchInput({
		server, answers, formatError: formatInputError, refusesUpgrades: true,
		onUnreadable({kind}) {
			metrics.requests.inc({service: 'none', result: kind});
		},
	});
	guardListener({
		server, listener: 'callers', ledger: services.ledger, answers, getMaxFieldBytes: () => limits.maxHeaderBytes * sentBytesPerHeadByte,
	});
	server.on('checkExpectation', (request: IncomingMessage, response: ServerResponse) => {
		answers.add(request, response);
		const requestId = makeRequestId();
		sendProblem({response, socket: request.socket}, new ServingError('only Expect: 100-continue is understood', {kind: 'invalid_request'}), requestId, clock.now());
	});
	const address = await listenAt(server, listen);
	return {
		address,
		countInFlight: () => inFlight,
		startDraining() {
			isDraining = true;
		},
		async waitUntilIdle() {
			if (inFlight > 0) {
				await new Promise<void>(resolve => {
					idleWaiters.push(resolve);
				});
			}

			await waitUntilDelivered();
		},
		async close() {
			server.closeIdleConnections();
			const closing = new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
			// Connections that are still open have received their complete response or have sent no request.
			for (const socket of sockets) {
				socket.destroySoon();
			}

			await closing;
		},
	};
};
