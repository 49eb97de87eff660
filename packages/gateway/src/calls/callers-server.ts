/**
 * HTTP server for callers. It can be opened before the rest of the program is loaded, so that early
 * requests are queued instead of rejected. A rejected caller may already have used its only retry.
 */
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import type net from 'node:net';
import {makeOwedAnswers, type OwedAnswers} from '@shallotpass/common/owed-answers.js';
import {type InputError} from '@shallotpass/common/unreadable-request.js';
import {watchInput} from '@shallotpass/common/watch-input.js';
import {parseHostAndPort} from '../host-and-port.js';
import {type CallerConnections, followConnections} from './caller-connections.js';
import {formatBareError} from './format-bare-error.js';

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

type Handler = (request: http.IncomingMessage, response: http.ServerResponse) => void;

export type CallersServer = {
	readonly server: http.Server;
	/** Answers that are owed to callers, also to those whose requests are queued. */
	readonly answers: OwedAnswers;
	readonly connections: CallerConnections;
	/** Host and port as passed to `openCallersServer`. */
	readonly address: string;
	/** Called when no further request can be read from a connection. Set by the owner. */
	onUnreadable: (error: InputError, socket: net.Socket) => void;
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
	watchInput({
		server, answers, formatError: formatBareError, refusesUpgrades: false,
		onUnreadable(error, socket) {
			callersServer.onUnreadable(error, socket);
		},
	});
	const connections = followConnections(server, answers, () => performance.now());
	const callersServer: CallersServer = {
		server,
		answers,
		connections,
		address,
		onUnreadable() {/* set by the owner */},
		serve(attachedHandler) {
			handler = attachedHandler;
			for (const [request, response] of queuedRequests.splice(0)) {
				attachedHandler(request, response);
			}
		},
	};
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen({...parseHostAndPort(address), backlog}, () => {
			server.off('error', reject);
			resolve();
		});
	});
	return callersServer;
};
