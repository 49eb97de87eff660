/** What calls to plain services have in common, whether they may repeat or not. */
import {type Service} from '@shallotpass/common/configuration-schema.js';
import {defaultCallMs} from '@shallotpass/common/constants.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {addMilliseconds, type Deadline} from '@shallotpass/common/types.js';
import {BackendCallError, type PlainAnswer} from '@shallotpass/backends/call-plain.js';
import {filterRequestFields, readRawFields, type HttpField} from '@shallotpass/backends/http-fields.js';
import {type BackendView} from '@shallotpass/core/routing/types.js';
import {findService, makeServiceId, type TeamAccount} from '@shallotpass/tasks/in-force.js';
import {type AttemptSignal} from './attempt-signal.js';
import {
	authenticate, checkService, isPatient, readClass, readDeadline, type CallClass, type CallerCall,
} from './caller-call.js';
import {type CallerServices} from './services.js';

export type PlainWork = {
	readonly call: CallerCall;
	readonly services: CallerServices;
	readonly account: TeamAccount;
	readonly service: Service;
	readonly serviceId: string;
	readonly callClass: CallClass;
	readonly method: string;
	/** Path and query at the backend server. */
	readonly path: string;
	readonly fields: readonly HttpField[];
	readonly deadline: Deadline;
};

const retryMs = 1000;

const splitPath = (url: URL): {name: string; rest: string} => {
	const [name = '', ...rest] = url.pathname.slice('/services/'.length).split('/');
	try {
		return {name: decodeURIComponent(name), rest: rest.join('/')};
	} catch {
		throw new ServingError('the path holds a broken escape', {kind: 'invalid_request'});
	}
};

export const makePlainWork = (call: CallerCall, services: CallerServices): PlainWork => {
	const inForce = services.configuration.getInForce();
	const account = authenticate(call.request, inForce);
	const {name, rest} = splitPath(call.url);
	const service = findService(inForce, account.team, name);
	if (service?.kind !== 'plain') {
		throw new ServingError(`there is no plain service ${name.slice(0, 63)}`, {kind: 'not_found'});
	}

	checkService(account, service);
	const now = services.environment.clock.now();
	const prefix = service.pathPrefix.endsWith('/') ? service.pathPrefix : `${service.pathPrefix}/`;
	return {
		call,
		services,
		account,
		service,
		serviceId: makeServiceId(account.team, service.name),
		callClass: readClass(call.request, inForce, account, service),
		method: call.request.method ?? 'GET',
		path: `${prefix}${rest}${call.url.search}`,
		fields: filterRequestFields(readRawFields(call.request.rawHeaders)),
		deadline: readDeadline(call.request, now) ?? addMilliseconds(now, defaultCallMs),
	};
};

export const enterGate = async (work: PlainWork): Promise<() => void> => {
	const hop = work.call.hop.makeChild('admission');
	try {
		return await work.services.gate.enter({
			id: work.call.requestId,
			team: work.account.team,
			account: work.account.account,
			serviceId: work.serviceId,
			rank: work.callClass.rank,
			isPatient: isPatient(work.callClass),
			firstTokenMs: work.callClass.latency?.firstTokenMs,
			work: 1,
			deadline: work.deadline,
			signal: work.call.goneSignal,
		});
	} finally {
		hop.end();
	}
};

export const choosePlainBackend = (work: PlainWork, excluded: ReadonlySet<string>): BackendView | undefined => {
	const {registry, environment} = work.services;
	const hop = work.call.hop.makeChild('routing');
	const chosen = registry.choose({
		service: work.serviceId,
		promptTokens: 0,
		chain: [],
		expectedTokens: 1,
		now: environment.clock.now(),
		availabilityZone: environment.settings.instance.availabilityZone,
		target: undefined,
		excluded,
	});
	hop.end();
	return chosen;
};

type BackendRun<Result> = {
	readonly work: PlainWork;
	readonly backend: BackendView;
	readonly guard: AttemptSignal;
	/** Calls the backend server; is given what the next process continues the trace with. */
	readonly act: (traceparent: string | undefined) => Promise<Result>;
};

/** One call to one backend server, with all that is kept of it whether it succeeds or not. Throws what `act` throws. */
export const runAtBackend = async <Result>({work, backend, guard, act}: BackendRun<Result>): Promise<Result> => {
	const {registry, environment} = work.services;
	const hop = work.call.hop.makeChild('backend', {backend: backend.id});
	registry.begin(backend.id);
	let failure: unknown;
	try {
		return await act(hop.getTraceparent());
	} catch (error) {
		failure = error;
		work.call.runs.mayHaveRun ||= !(error instanceof BackendCallError) || error.wasSent;
		if (error instanceof BackendCallError && guard.getEnd() === undefined) {
			registry.avoid(backend.id);
		}

		throw error;
	} finally {
		guard.dispose();
		registry.end(backend.id);
		hop.end(failure);
		environment.metrics.attempts.inc({service: work.serviceId, result: failure === undefined ? 'ok' : guard.getEnd() ?? 'failed'});
	}
};

export const makeNoBackendError = (work: PlainWork, wasTried: boolean): ServingError => new ServingError(
	wasTried ? `no backend server of ${work.service.name} could be reached` : `no backend server serves ${work.service.name} now`,
	{
		kind: wasTried ? 'backend_unreachable' : 'no_backend',
		retryAt: addMilliseconds(work.services.environment.clock.now(), retryMs),
	},
);

/** Header fields of an answer, several values of one name kept apart. */
export const makeAnswerHeaders = (fields: readonly HttpField[], requestId: string): string[] => [
	...fields.flatMap(field => [field.name, field.value]),
	'X-Request-Id',
	requestId,
];

export const writeAnswerHead = (work: PlainWork, answer: Pick<PlainAnswer, 'status' | 'fields'>): void => {
	const {response, requestId} = work.call;
	response.writeHead(answer.status, makeAnswerHeaders(answer.fields, requestId));
};
