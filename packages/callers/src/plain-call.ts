/** Shared steps of calls to plain services, for repeatable and non-repeatable calls. */
import {type Service} from '@shallotpass/common/configuration-schema.js';
import {defaultCallTimeoutMs} from '@shallotpass/common/constants.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {addMilliseconds, type Deadline} from '@shallotpass/common/types.js';
import {BackendCallError, type PlainResponse} from '@shallotpass/backends/call-plain.js';
import {filterRequestFields, readRawFields, type HttpField} from '@shallotpass/backends/http-fields.js';
import {type BackendView} from '@shallotpass/core/routing/types.js';
import {findService, makeServiceId, type TeamAccount} from '@shallotpass/tasks/active-configurations.js';
import {type AttemptSignal} from './attempt-signal.js';
import {
	authenticate, checkServiceAccess, isBackgroundClass, readClass, readDeadline, type CallClass, type CallerCall,
} from './caller-call.js';
import {type CallerServices} from './services.js';

export type PlainCallContext = {
	readonly call: CallerCall;
	readonly services: CallerServices;
	readonly account: TeamAccount;
	readonly service: Service;
	readonly serviceId: string;
	readonly callClass: CallClass;
	readonly method: string;
	/** Path and query of the request to the backend server. */
	readonly path: string;
	readonly fields: readonly HttpField[];
	readonly deadline: Deadline;
};

const retryAfterMs = 1000;

const splitPath = (url: URL): {name: string; rest: string} => {
	const [name = '', ...rest] = url.pathname.slice('/services/'.length).split('/');
	try {
		return {name: decodeURIComponent(name), rest: rest.join('/')};
	} catch {
		throw new ServingError('the path holds a broken escape', {kind: 'invalid_request'});
	}
};

/** Authenticates the caller and finds the service of the call; throws if either fails. */
export const makePlainCallContext = (call: CallerCall, services: CallerServices): PlainCallContext => {
	const activeConfigurations = services.configuration.getActiveConfigurations();
	const account = authenticate(call.request, activeConfigurations);
	const {name, rest} = splitPath(call.url);
	const service = findService(activeConfigurations, account.team, name);
	if (service?.kind !== 'plain') {
		throw new ServingError(`there is no plain service ${name.slice(0, 63)}`, {kind: 'not_found'});
	}

	checkServiceAccess(account, service);
	const now = services.environment.clock.now();
	const prefix = service.pathPrefix.endsWith('/') ? service.pathPrefix : `${service.pathPrefix}/`;
	return {
		call,
		services,
		account,
		service,
		serviceId: makeServiceId(account.team, service.name),
		callClass: readClass(call.request, activeConfigurations, account, service),
		method: call.request.method ?? 'GET',
		path: `${prefix}${rest}${call.url.search}`,
		fields: filterRequestFields(readRawFields(call.request.rawHeaders)),
		deadline: readDeadline(call.request, now) ?? addMilliseconds(now, defaultCallTimeoutMs),
	};
};

/** Waits until the call is admitted. Returns a function that releases its slot. */
export const admitCall = async (context: PlainCallContext): Promise<() => void> => {
	const span = context.call.span.startChild('admission');
	try {
		return await context.services.gate.admit({
			id: context.call.requestId,
			team: context.account.team,
			account: context.account.account,
			serviceId: context.serviceId,
			rank: context.callClass.rank,
			isBackground: isBackgroundClass(context.callClass),
			firstTokenMs: context.callClass.latency?.firstTokenMs,
			work: 1,
			deadline: context.deadline,
			signal: context.call.callerGoneSignal,
		});
	} finally {
		span.end();
	}
};

/** Selects a backend server that is not excluded; undefined if none is available. */
export const choosePlainBackend = (context: PlainCallContext, excluded: ReadonlySet<string>): BackendView | undefined => {
	const {registry, environment} = context.services;
	const span = context.call.span.startChild('routing');
	const chosen = registry.choose({
		service: context.serviceId,
		promptTokens: 0,
		prefixHashes: [],
		expectedTokens: 1,
		now: environment.clock.now(),
		availabilityZone: environment.settings.instance.availabilityZone,
		target: undefined,
		excluded,
	});
	span.end();
	return chosen;
};

type BackendRun<Result> = {
	readonly context: PlainCallContext;
	readonly backend: BackendView;
	readonly attemptSignal: AttemptSignal;
	/** Sends the call. The traceparent lets the backend server continue the trace. */
	readonly send: (traceparent: string | undefined) => Promise<Result>;
};

/** Runs one call to one backend server and records its load, metrics and trace span. Rethrows errors from `send`. */
export const runAtBackend = async <Result>({context, backend, attemptSignal, send}: BackendRun<Result>): Promise<Result> => {
	const {registry, environment} = context.services;
	const span = context.call.span.startChild('backend', {backend: backend.id});
	registry.begin(backend.id);
	let failure: unknown;
	try {
		return await send(span.getTraceparent());
	} catch (error) {
		failure = error;
		context.call.execution.mayHaveRun ||= !(error instanceof BackendCallError) || error.wasSent;
		if (error instanceof BackendCallError && attemptSignal.getEndReason() === undefined) {
			registry.avoid(backend.id);
		}

		throw error;
	} finally {
		attemptSignal.dispose();
		registry.end(backend.id);
		span.end(failure);
		environment.metrics.attempts.inc({service: context.serviceId, result: failure === undefined ? 'ok' : attemptSignal.getEndReason() ?? 'failed'});
	}
};

export const makeNoBackendError = (context: PlainCallContext, wasAttempted: boolean): ServingError => new ServingError(
	wasAttempted ? `no backend server of ${context.service.name} could be reached` : `no backend server serves ${context.service.name} now`,
	{
		kind: wasAttempted ? 'backend_unreachable' : 'no_backend',
		retryAt: addMilliseconds(context.services.environment.clock.now(), retryAfterMs),
	},
);

/** Makes the response headers as a flat list, which keeps repeated fields separate. */
export const makeResponseHeaders = (fields: readonly HttpField[], requestId: string): string[] => [
	...fields.flatMap(field => [field.name, field.value]),
	'X-Request-Id',
	requestId,
];

export const writeResponseHead = (context: PlainCallContext, answer: Pick<PlainResponse, 'status' | 'fields'>): void => {
	const {response, requestId} = context.call;
	response.writeHead(answer.status, makeResponseHeaders(answer.fields, requestId));
};
