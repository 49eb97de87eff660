/** Serves metrics on a separate address, so that bursts of calls and readiness checks are not delayed by scrapes. */
import http from 'node:http';
import {guardListener} from '@shallotpass/common/client-limits/guard-listener.js';
import {makeOwedAnswers} from '@shallotpass/common/owed-answers.js';
import {watchInput} from '@shallotpass/common/watch-input.js';
import {formatBareError} from '../calls/format-bare-error.js';
import {parseHostAndPort} from '../host-and-port.js';
import {type GatewayState} from '../gateway-state.js';

const metricsPath = '/metrics';

const handleScrape = async (gateway: GatewayState, request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
	if (request.url !== metricsPath) {
		response.writeHead(404, {'Content-Length': '0'}).end();
		return;
	}

	const {registry} = gateway.metrics;
	const text = await registry.metrics();
	response.writeHead(200, {'Content-Type': registry.contentType}).end(text);
};

/**
 * Starts the metrics listener, or returns undefined if no address is configured. A listen error is only
 * logged, as callers can be served without metrics.
 */
export const listenForMetrics = (gateway: GatewayState): http.Server | undefined => {
	const address = gateway.settings.listen.metrics;
	if (address === undefined) {
		return undefined;
	}

	const answers = makeOwedAnswers();
	const server = http.createServer((request, response) => {
		answers.add(request, response);
		void handleScrape(gateway, request, response);
	});
	watchInput({
		server, answers, formatError: formatBareError, refusesUpgrades: false, onUnreadable() {/* Nothing to log: no call is lost here. */},
	});
	guardListener({
		server, listener: 'metrics', ledger: gateway.ledger, answers, getMaxAhead: () => 1,
	});
	server.on('error', error => {
		gateway.log.write('failure', 'metrics_unavailable', {address, reason: error.message});
	});
	const {host, port} = parseHostAndPort(address);
	server.listen(port, host);
	return server;
};
