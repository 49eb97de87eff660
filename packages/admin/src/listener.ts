/** HTTP listener for operators: health checks, metrics and the admin routes. */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type ClientLedger} from '@shallotpass/common/client-limits/client-ledger.js';
import {guardListener} from '@shallotpass/common/client-limits/guard-listener.js';
import {listenAt} from '@shallotpass/common/listen.js';
import {makeOwedAnswers} from '@shallotpass/common/owed-answers.js';
import {computeRetryAfterSeconds, makeProblem} from '@shallotpass/common/problem.js';
import {ServingError, toServingError} from '@shallotpass/common/serving-error.js';
import {authenticateOperator, requireRole} from './authorize.js';
import {type AdminServices} from './admin-services.js';
import {adminRoutes, type AdminReply} from './routes.js';

export type AdminListener = {
	readonly address: string;
	readonly close: () => Promise<void>;
};

type AdminListenerOptions = {
	readonly listen: {readonly host: string; readonly port: number};
	readonly services: AdminServices;
	readonly isReady: () => boolean;
	/** What clients make the daemon hold, on all listeners. */
	readonly ledger: ClientLedger;
};

/** Requests of an operator that are read before those ahead of them are answered. */
const maxRequestsAhead = 2;

const maxBodyBytes = 4 * 1024 * 1024;

const readText = async (request: IncomingMessage): Promise<string> => {
	const chunks: Uint8Array[] = [];
	let length = 0;
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		length += chunk.length;
		if (length > maxBodyBytes) {
			throw new ServingError(`the body is larger than ${maxBodyBytes} bytes`, {kind: 'payload_too_large'});
		}

		chunks.push(chunk);
	}

	try {
		return new TextDecoder('utf8', {fatal: true}).decode(Buffer.concat(chunks));
	} catch {
		throw new ServingError('the body is not UTF-8', {kind: 'configuration_invalid'});
	}
};

type TextResponse = {
	readonly status: number;
	readonly type: string;
	readonly text: string;
	readonly headers?: Readonly<Record<string, string>>;
};

const sendText = (response: ServerResponse, {status, type, text, headers = {}}: TextResponse): void => {
	response.writeHead(status, {'content-type': type, 'content-length': Buffer.byteLength(text), ...headers});
	response.end(text);
};

const sendReply = (response: ServerResponse, reply: AdminReply): void => {
	if (reply.kind === 'toml') {
		sendText(response, {
			status: 200, type: 'application/toml', text: reply.text, headers: {etag: `"${reply.version}"`},
		});
		return;
	}

	sendText(response, {status: reply.status, type: 'application/json', text: `${JSON.stringify(reply.body)}\n`});
};

const sendError = (response: ServerResponse, error: ServingError, now: number): void => {
	if (response.headersSent) {
		response.destroy();
		return;
	}

	const requestId = randomUUID();
	const problem = makeProblem(error, requestId);
	const retryAfter = computeRetryAfterSeconds(error, now);
	sendText(response, {
		status: problem.status,
		type: 'application/problem+json',
		text: JSON.stringify(problem),
		headers: {'x-request-id': requestId, ...(retryAfter === undefined ? {} : {'retry-after': String(retryAfter)})},
	});
};

const decodePathParameters = (groups: Readonly<Record<string, string>> = {}): Record<string, string> => {
	try {
		return Object.fromEntries(Object.entries(groups).map(([key, value]) => [key, decodeURIComponent(value)]));
	} catch {
		throw new ServingError('the path holds a broken escape', {kind: 'invalid_request'});
	}
};

export const startAdminListener = async ({listen, services, isReady, ledger}: AdminListenerOptions): Promise<AdminListener> => {
	const {environment} = services;
	const logger = environment.makeLogger('admin');

	const sendHealthCheck = (response: ServerResponse, isHealthy: boolean): void => {
		sendText(response, {status: isHealthy ? 200 : 503, type: 'text/plain', text: isHealthy ? 'ok\n' : 'not ready\n'});
	};

	const handleRoute = async (request: IncomingMessage, url: URL): Promise<AdminReply> => {
		const matching = adminRoutes.filter(candidate => candidate.pattern.test(url.pathname));
		if (matching.length === 0) {
			throw new ServingError(`nothing is served at ${url.pathname.slice(0, 100)}`, {kind: 'not_found'});
		}

		const operator = authenticateOperator(request, environment.settings.adminKey);
		const route = matching.find(candidate => candidate.method === request.method);
		if (route === undefined) {
			throw new ServingError(`${request.method ?? 'the method'} is not served here`, {kind: 'method_not_allowed'});
		}

		requireRole(operator, route.role);
		const pathParameters = decodePathParameters(route.pattern.exec(url.pathname)?.groups);
		const reply = await route.handle({
			request, url, operator, pathParameters, readText: async () => readText(request),
		}, services);
		if (route.method !== 'GET') {
			logger.info('operator_acted', {operator: operator.name, method: route.method, path: url.pathname});
		}

		return reply;
	};

	const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		try {
			const url = new URL(request.url ?? '/', 'http://admin');
			switch (url.pathname) {
				case '/healthz': {
					sendHealthCheck(response, true);
					return;
				}

				case '/readyz': {
					sendHealthCheck(response, isReady());
					return;
				}

				case '/metrics': {
					const {registry} = environment.metrics;
					sendText(response, {status: 200, type: registry.contentType, text: await registry.metrics()});
					return;
				}

				default: {
					sendReply(response, await handleRoute(request, url));
				}
			}
		} catch (error) {
			const servingError = toServingError(error);
			if (servingError.kind === 'internal') {
				logger.error('request_failed', {error});
			}

			sendError(response, servingError, environment.clock.now());
		}
	};

	const answers = makeOwedAnswers();
	const server = createServer({requestTimeout: 30_000, headersTimeout: 10_000}, (request, response) => {
		if (!answers.add(request, response)) {
			request.resume();
			return;
		}

		response.on('error', () => {/* the client has disconnected */});
		void serve(request, response);
	});
	guardListener({
		server, listener: 'operators', ledger, answers, getMaxAhead: () => maxRequestsAhead,
	});
	const address = await listenAt(server, listen);
	return {
		address,
		async close() {
			server.closeAllConnections();
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
};
