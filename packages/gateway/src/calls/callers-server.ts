/**
 * HTTP server for callers. It can be opened before the rest of the program is loaded, so that early
 * requests are queued instead of rejected. A rejected caller may already have used its only retry.
 */
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import {makeOwedAnswers, type OwedAnswers} from '@shallotpass/common/owed-answers.js';
import {parseHostAndPort} from '../host-and-port.js';
import {type CallerConnections, followConnections} from './caller-connections.js';

/** Limits that apply until a configuration sets others. */
const initialMaxHeaderBytes = 16_384;
const initialHeadersTimeoutMs = 3000;
const initialIdleTimeoutMs = 15_000;

/** How often Node checks connections for exceeded timeouts. */
const timeoutCheckIntervalMs = 500;

/** Added to the idle timeout, so that a request sent just before it expires is still accepted. */
export const keepAliveMarginMs = 500;

/** Maximum number of connections waiting to be accepted. */
export const acceptBacklogLength = 1024;

type Handler = (request: http.IncomingMessage, response: http.ServerResponse) => void;

export type CallersServer = {
	readonly server: http.Server;
	/** Answers that are owed to callers, also to those whose requests are queued. */
	readonly answers: OwedAnswers;
	readonly connections: CallerConnections;
	/** Host and port as passed to `openCallersServer`. */
	readonly address: string;
	/** Attaches the request handler and passes it the queued requests first. */
	readonly serve: (handler: Handler) => void;
};

/** Rejects if the server cannot listen on the address. */
export const openCallersServer = async (address: string, answers = makeOwedAnswers()): Promise<CallersServer> => {
	let handler: Handler | undefined;
	const queuedRequests: Array<Parameters<Handler>> = [];
	const dispatch: Handler = (request, response) => {
		if (!answers.add(request, response)) {
			request.resume();
			return;
		}

		if (handler === undefined) {
			queuedRequests.push([request, response]);
			return;
		}

		handler(request, response);
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
	const connections = followConnections(server, answers, () => performance.now());
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen({...parseHostAndPort(address), backlog: acceptBacklogLength}, () => {
			server.off('error', reject);
			resolve();
		});
	});
	return {
		server,
		answers,
		connections,
		address,
		serve(attachedHandler) {
			handler = attachedHandler;
			for (const [request, response] of queuedRequests.splice(0)) {
				attachedHandler(request, response);
			}
		},
	};
};
