/** Listeners for callers and for the load balancer's readiness checks. */
import http from 'node:http';
import net from 'node:net';
import {type GatewayState} from '../gateway-state.js';
import {parseHostAndPort} from '../host-and-port.js';
import {waitForPoll} from '../loop-monitor.js';
import {type CallerConnections} from './caller-connections.js';
import {
	acceptBacklogLength, type CallersServer, keepAliveMarginMs, openCallersServer,
} from './callers-server.js';
import {serveCall} from './serve-call.js';

export type CallersListener = {
	/** Applies the limits of the active configuration. */
	readonly applyLimits: () => void;
	readonly connections: CallerConnections;
	/** Stops listening once the connections that wait to be accepted are accepted and what they have sent is read. The open ones stay. */
	readonly stopAccepting: () => Promise<void>;
	/** Stops listening and closes all connections, including those with a call in flight. */
	readonly closeAll: () => void;
};

const listenOn = async (server: http.Server, address: string): Promise<void> => new Promise((resolve, reject) => {
	const {host, port} = parseHostAndPort(address);
	server.once('error', reject);
	server.listen({host, port, backlog: 1024}, () => {
		server.off('error', reject);
		resolve();
	});
});

/** Resolves when no connection waits to be accepted. Node accepts one in a turn of the loop. */
const waitForAccepts = async ({countAccepted}: CallerConnections): Promise<void> => {
	// No more can have waited. Callers may come without a pause.
	const end = countAccepted() + acceptBacklogLength;
	for (let accepted = -1; countAccepted() !== accepted && accepted < end;) {
		accepted = countAccepted();
		await waitForPoll(); // eslint-disable-line no-await-in-loop -- a poll
	}
};

/** Serves callers on `openedServer`, or on a new server if there is none. */
export const listenForCallers = async (gateway: GatewayState, openedServer?: CallersServer): Promise<CallersListener> => {
	const {server, serve, connections} = openedServer ?? await openCallersServer(gateway.settings.listen.callers, gateway.answers);
	server.on('clientError', (error: NodeJS.ErrnoException, socket: net.Socket) => {
		const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : (error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? '408 Request Timeout' : '400 Bad Request');
		const reason = error.code ?? error.message;
		gateway.log.write('failure', 'request_unreadable', {reason, owedAnswers: gateway.answers.countOn(socket)});
		gateway.answers.stateReason(socket, reason);
		if (error.code === 'ECONNRESET' || !socket.writable) {
			socket.destroy();
			return;
		}

		socket.end(`HTTP/1.1 ${status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`);
	});
	server.on('connection', gateway.acceptBacklog.recordAccept);
	serve((request, response) => {
		void serveCall(gateway, request, response);
	});
	return {
		applyLimits() {
			const limits = gateway.configuration?.configuration.limits;
			if (limits) {
				server.headersTimeout = limits.headersWithinMs;
				server.keepAliveTimeout = limits.idleMs + keepAliveMarginMs;
			}
		},
		connections,
		async stopAccepting() {
			await waitForAccepts(connections);
			// That of `http.Server` would destroy connections whose answers are written but not sent.
			net.Server.prototype.close.call(server);
			await waitForPoll();
		},
		closeAll() {
			server.close();
			server.closeAllConnections();
		},
	};
};

const isReady = (gateway: GatewayState): boolean => gateway.configuration !== undefined && gateway.directoryReadAt !== undefined && gateway.isSpendingLoaded && gateway.drainingSince === undefined;

/** Answers readiness checks: 200 while this daemon accepts calls, otherwise 503. */
export const listenForReadinessChecks = async (gateway: GatewayState): Promise<http.Server> => {
	const server = http.createServer({keepAliveTimeout: 15_000}, (_request, response) => {
		response.statusCode = isReady(gateway) ? 200 : 503;
		response.setHeader('Content-Length', '0');
		response.end();
	});
	await listenOn(server, gateway.settings.listen.ready);
	return server;
};
