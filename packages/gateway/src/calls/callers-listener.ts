/** Listeners for callers and for the load balancer's readiness checks. */
import http from 'node:http';
import {guardListener} from '@shallotpass/common/client-limits/guard-listener.js';
import {makeOwedAnswers} from '@shallotpass/common/owed-answers.js';
import {watchInput} from '@shallotpass/common/watch-input.js';
import {type GatewayState} from '../gateway-state.js';
import {parseHostAndPort} from '../host-and-port.js';
import {breakOffAnswer} from './break-off-answer.js';
import {type CallerConnections} from './caller-connections.js';
import {type CallersServer, keepAliveMarginMs, openCallersServer} from './callers-server.js';
import {formatBareError} from './format-bare-error.js';
import {serveCall} from './serve-call.js';
import {acceptBacklogLength, stopAccepting} from './stop-accepting.js';

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
	server.listen({host, port, backlog: acceptBacklogLength}, () => {
		server.off('error', reject);
		resolve();
	});
});

/** Serves callers on `openedServer`, or on a new server if there is none. */
export const listenForCallers = async (gateway: GatewayState, openedServer?: CallersServer): Promise<CallersListener> => {
	const callersServer = openedServer ?? await openCallersServer({
		address: gateway.settings.listen.callers, answers: gateway.answers, ledger: gateway.ledger, loop: gateway.loop,
	});
	const {server, serve, connections} = callersServer;
	callersServer.onUnreadable = ({reason}, socket) => {
		gateway.log.write('failure', 'request_unreadable', {reason, owedAnswers: gateway.answers.countOn(socket)});
	};

	server.on('connection', gateway.acceptBacklog.recordAccept);
	serve((request, response, arrival) => {
		void serveCall(gateway, request, response, arrival);
	});
	return {
		applyLimits() {
			const limits = gateway.configuration?.configuration.limits;
			if (limits) {
				callersServer.limitHeads(limits.headerBytes);
				server.headersTimeout = limits.headersWithinMs;
				server.keepAliveTimeout = limits.idleMs + keepAliveMarginMs;
			}
		},
		connections,
		stopAccepting: async () => stopAccepting(server, connections),
		closeAll() {
			server.close();
			for (const {response} of gateway.answers.list()) {
				breakOffAnswer(response);
			}

			server.closeAllConnections();
		},
	};
};

/** Checks that are read before those ahead of them are answered. */
const maxChecksAhead = 4;

const isReady = (gateway: GatewayState): boolean => gateway.configuration !== undefined && gateway.directoryReadAt !== undefined && gateway.isSpendingLoaded && gateway.drainingSince === undefined;

/** Answers readiness checks: 200 while this daemon accepts calls, otherwise 503. */
export const listenForReadinessChecks = async (gateway: GatewayState): Promise<http.Server> => {
	const answers = makeOwedAnswers();
	const server = http.createServer({keepAliveTimeout: 15_000}, (request, response) => {
		answers.add(request, response);
		response.statusCode = isReady(gateway) ? 200 : 503;
		response.setHeader('Content-Length', '0');
		response.end();
	});
	watchInput({
		server, answers, formatError: formatBareError, refusesUpgrades: false, onUnreadable() {/* Nothing to log: no call is lost here. */},
	});
	guardListener({
		server, listener: 'ready', ledger: gateway.ledger, answers, getMaxAhead: () => maxChecksAhead,
	});
	await listenOn(server, gateway.settings.listen.ready);
	return server;
};
