/** What a stream is to be continued by: under which key its origin is remembered, and its origin if a caller takes it up. */
import {isStream, type Repeatability} from '@shallotpass/core/calls/types.js';
import {maxTakeUpMs} from '@shallotpass/core/origins/reported-origins.js';
import {type StreamOrigin} from '@shallotpass/core/origins/types.js';
import {type CallerHeaders} from '../ports.js';
import {type GatewayState} from '../gateway-state.js';
import {type Refusal} from '../calls/refusal.js';
import {describeDirectory} from '../telemetry/describe-directory.js';
import {mayReceiveByVersion} from '../rollouts/restrict-versions.js';
import {findOrigin, type OriginLookup} from './find-origin.js';
import {computeOriginKey} from './origin-key.js';

export type Continuity = {
	readonly originKey: string;
	/** Until when its caller may take it up, on the steady clock. */
	readonly takeUpUntil: number;
	/** Undefined if the stream begins with this call. */
	readonly origin: StreamOrigin | undefined;
};

/** Time beyond the caller's own timeout for which it may come back: the clocks of callers and the way take a part. */
const takeUpMarginMs = 5000;

/** Retry-After of a stream whose origin is not known: by then lost messages have been repeated, and links are back. */
const unknownRetryAfterS = 0.4;

/** Retry-After of a stream whose version does not serve: a backend server that ended takes seconds to come back. */
const goneRetryAfterS = 1;

export type StreamHead = Pick<CallerHeaders, 'id' | 'callerTimeoutMs' | 'lastEventId' | 'resumes'>;

export type StreamRequest = {
	readonly head: StreamHead;
	readonly account: string | undefined;
	readonly repeatability: Repeatability;
	/** Time limit of the route, in milliseconds. */
	readonly limitMs: number;
	/** Services to which the route leads. */
	readonly services: readonly string[];
};

export type ContinuityResult =
	/** Undefined if the call is no stream that a caller may take up. */
	| {readonly kind: 'found'; readonly continuity: Continuity | undefined}
	| {readonly kind: 'refused'; readonly refusal: Refusal};

const refuse = (kind: Refusal['kind'], detail: string, retryAfterS?: number): ContinuityResult => ({kind: 'refused', refusal: {kind, detail, ...(retryAfterS !== undefined && {retryAfterS})}});

/** Whether the service has backend servers of the version, also such as leave, and no rollout withholds it. */
export const isVersionServed = (gateway: GatewayState, {service, softwareVersion}: StreamOrigin): boolean =>
	gateway.registry.versionsByService.get(service)?.has(softwareVersion) === true && mayReceiveByVersion(gateway, service, softwareVersion);

/** Refuses a stream whose version has no backend servers. */
export const makeGoneRefusal = ({softwareVersion}: Pick<StreamOrigin, 'softwareVersion'>): Refusal => ({
	kind: 'stream_origin_gone', detail: `No backend server of the version ${softwareVersion}, which began the stream, serves now.`, retryAfterS: goneRetryAfterS,
});

export const unknownOriginRefusal: Refusal = {
	kind: 'stream_origin_unknown', detail: 'Neither this daemon nor those that it asked know which version began the stream.', retryAfterS: unknownRetryAfterS,
};

type TakeUp = StreamRequest & {readonly resumes: string};

type RefusalCause = {
	readonly reason: 'unknown' | 'ambiguous' | 'gone' | 'unnamed';
	readonly lookup?: OriginLookup;
	readonly tookMs: number;
	readonly origin?: StreamOrigin;
};

/** What is not known in each case. */
const unknownByReason = {
	unknown: 'origin', ambiguous: 'origin', unnamed: 'attempt', gone: 'backend',
} as const satisfies Record<RefusalCause['reason'], string>;

const logRefusal = (gateway: GatewayState, {head, resumes, services}: TakeUp, {reason, lookup, origin, tookMs}: RefusalCause): void => {
	const service = origin?.service ?? services[0] ?? '';
	gateway.metrics.streamTakeUps.inc({service, version: origin?.softwareVersion ?? '', outcome: reason});
	gateway.log.write('failure', 'stream_not_taken_up', {
		request: head.id, resumes, service, reason, unknown: unknownByReason[reason], version: origin?.softwareVersion, versions: [...gateway.registry.versionsByService.get(service)?.keys() ?? []],
		...(lookup !== undefined && {
			asked: lookup.daemons.length, answered: lookup.daemons.length - lookup.silent.length, daemons: lookup.daemons, silent: lookup.silent,
		}),
		...describeDirectory(gateway), tookMs: Math.round(tookMs),
	});
};

/** Finds the origin of a stream that its caller takes up. Never guesses. */
const findTakenUp = async (gateway: GatewayState, request: TakeUp, takeUpUntil: number): Promise<ContinuityResult> => {
	const {head, resumes, account, services} = request;
	const startedAt = gateway.clocks.steady();
	const originKey = computeOriginKey(account, resumes);
	const lookup = await findOrigin(gateway, originKey);
	const tookMs = gateway.clocks.steady() - startedAt;
	if (lookup.kind !== 'known') {
		logRefusal(gateway, request, {reason: lookup.kind, lookup, tookMs});
		return {kind: 'refused', refusal: unknownOriginRefusal};
	}

	const {origin} = lookup;
	if (!services.includes(origin.service) || !isVersionServed(gateway, origin)) {
		logRefusal(gateway, request, {
			reason: 'gone', lookup, origin, tookMs,
		});
		return {kind: 'refused', refusal: makeGoneRefusal(origin)};
	}

	gateway.metrics.streamTakeUps.inc({service: origin.service, version: origin.softwareVersion, outcome: 'found'});
	gateway.log.write('routine', 'stream_taken_up', {
		request: head.id, resumes, service: origin.service, version: origin.softwareVersion, source: lookup.source, ageMs: Math.round(gateway.clocks.steady() - lookup.begunAt), tookMs: Math.round(tookMs),
	});
	return {kind: 'found', continuity: {originKey, takeUpUntil, origin}};
};

/** Determines how a stream may be continued, and at which version it must go on if its caller takes it up. */
export const determineContinuity = async (gateway: GatewayState, request: StreamRequest): Promise<ContinuityResult> => {
	const {head, account, repeatability, limitMs} = request;
	const isTakeUp = isStream(repeatability) && head.lastEventId !== undefined;
	if (repeatability !== 'resumable_stream' && !isTakeUp) {
		return {kind: 'found', continuity: undefined};
	}

	const takeUpMs = Math.min(maxTakeUpMs, Math.max(limitMs, head.callerTimeoutMs ?? 0) + takeUpMarginMs);
	const takeUpUntil = gateway.clocks.steady() + takeUpMs;
	if (!isTakeUp) {
		return {kind: 'found', continuity: {originKey: computeOriginKey(account, head.id ?? ''), takeUpUntil, origin: undefined}};
	}

	switch (head.resumes.kind) {
		case 'unreadable': {
			return refuse('invalid_request', 'The field Resumes must hold the X-Request-Id of one attempt: up to 256 visible characters without a comma.');
		}

		case 'none': {
			logRefusal(gateway, {...request, resumes: ''}, {reason: 'unnamed', tookMs: 0});
			return {kind: 'refused', refusal: {...unknownOriginRefusal, detail: 'The request has Last-Event-Id, but no Resumes that names the attempt which began the stream.'}};
		}

		case 'named': {
			return findTakenUp(gateway, {...request, resumes: head.resumes.id}, takeUpUntil);
		}
	}
};
