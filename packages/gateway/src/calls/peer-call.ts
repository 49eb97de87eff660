/**
 * Format of a call that one daemon sends through another: a POST request to the peer's address for daemons, whose body is a
 * JSON-RPC request on one line, followed by the caller's body. The response is that of the backend server, or of the peer
 * itself, as `resultField` tells. Callers cannot reach this address, and the field means nothing elsewhere.
 */
import {Buffer} from 'node:buffer';
import type http from 'node:http';
import {
	amountSchema, headerTextSchema, maxSpanMs, spanSchema, textSchema, trueTimeSchema,
} from '@shallotpass/common/value-bounds.js';
import {type ErrorKind, errorResponses} from '@shallotpass/common/error-kinds.js';
import {type Deadline} from '@shallotpass/common/types.js';
import {leastPatienceMs} from '@shallotpass/core/calls/compute-patience.js';
import {type Call} from '@shallotpass/core/calls/types.js';
import * as z from 'zod';
import {type GatewayState} from '../gateway-state.js';
import {type AdmittedCall} from './call-context.js';
import {type CallProgress} from './call-progress.js';

export const peerCallPath = '/calls';

const runCallMethod = 'run_call';

/** Response field that tells who answered. It is removed before the response is sent to the caller. */
export const resultField = 'x-peer-call-result';

/** Response field with the number of backend servers that may have run the call behind the peer. Without it, all that were left may have. */
export const runsField = 'x-peer-call-runs';

/** Response field that tells whether a call that the peer refused may have reached a backend server before. Daemons of earlier versions don't send it. */
export const arrivedField = 'x-peer-call-arrived';

/** Response field with the version of the software that answers a stream. Daemons of earlier versions don't send it. */
export const versionField = 'x-peer-call-version';

/**
 * `answered`: a backend server. `refused`: the peer, and the call has not run and never will. `unfit`: the same, as the peer is
 * cut off itself, full, leaving or without a configuration. `failed`: the peer, and the call may have run.
 */
const peerCallResults = ['answered', 'refused', 'unfit', 'failed'] as const;

export type PeerCallResult = (typeof peerCallResults)[number];

export const isPeerCallResult = (value: unknown): value is PeerCallResult => peerCallResults.includes(value as PeerCallResult);

export const setResult = (response: http.ServerResponse, result: PeerCallResult): void => {
	response.setHeader(resultField, result);
};

/** Tells the peer how many backend servers may have run the call so far. To be called before the head of the response is sent. */
export const setRuns = (response: http.ServerResponse, runs: number): void => {
	response.setHeader(runsField, String(runs));
};

/** Tells the peer whether the call may have reached a backend server. To be called before the head of the response is sent. */
export const setArrived = (response: http.ServerResponse, hasArrived: boolean): void => {
	if (!response.headersSent) {
		response.setHeader(arrivedField, hasArrived ? 'yes' : 'no');
	}
};

/** Tells the peer which software version answers, at which the stream goes on here. To be called before the head of the response is sent. */
export const setVersion = (response: http.ServerResponse, softwareVersion: string): void => {
	// A version may have any characters.
	response.setHeader(versionField, encodeURIComponent(softwareVersion));
};

/** Returns undefined if the text is no encoded version. */
export const parseVersion = (text: string | undefined): string | undefined => {
	try {
		return text === undefined ? undefined : textSchema.safeParse(decodeURIComponent(text)).data;
	} catch {
		// A stream whose version is not known does not go on elsewhere.
		return undefined;
	}
};

/** Sets the result that fits the refusal, before it is sent. */
export const setRefusalResult = (response: http.ServerResponse, kind: ErrorKind): void => {
	if (!response.headersSent) {
		setResult(response, errorResponses[kind].executed === 'no' ? 'refused' : 'failed');
	}
};

/** Time left, which may have passed. */
const remainingSchema = z.number().overwrite(ms => Math.min(maxSpanMs, Math.max(-maxSpanMs, ms)));

const peerCallSchema = z.object({
	jsonrpc: z.literal('2.0'),
	method: z.literal(runCallMethod),
	params: z.object({
		/** Daemon that sends the call, for the log. */
		sender: textSchema,
		/** True time at which it was sent, which daemons synchronize, in milliseconds since the epoch. */
		sentAt: trueTimeSchema,
		/** Time left when it was sent, and until its target. */
		remainingMs: remainingSchema,
		targetMs: remainingSchema,
		/** Whether the call earns repeats at the peer and no longer at the sender. Daemons of earlier versions don't send it. */
		earnsRepeats: z.boolean().default(false),
		call: z.object({
			id: headerTextSchema,
			account: headerTextSchema.optional(),
			routeName: z.string(),
			service: z.string(),
			repeatability: z.enum(['idempotent', 'once', 'resumable_stream', 'stream_once']),
			/** Daemons of earlier versions don't send it. */
			patienceMs: spanSchema.default(leastPatienceMs),
			rank: amountSchema,
			/** Backend servers that may still run it. */
			maxAttempts: amountSchema,
			promptTokens: amountSchema,
			outputTokens: amountSchema,
			promptParts: z.array(z.object({id: z.string(), tokens: amountSchema})),
		}),
		outgoing: z.object({
			method: z.string().regex(/^[A-Z\-]{1,32}$/v),
			path: z.string().regex(/^[\u0021-\u00FF]+$/v),
			callerFields: z.array(z.string().regex(/^[\t\u0020-\u007E\u0080-\u00FF]*$/v)),
			digest: z.string(),
			lastEventId: z.string().optional(),
			/** Version of the software at which a stream goes on that has begun. Daemons of earlier versions don't send it. */
			softwareVersion: textSchema.optional(),
			/** What decides about its version in a rollout, and whether it was sent elsewhere before. Daemons of earlier versions don't send them. */
			versionFraction: z.number().min(0).max(1).optional(),
			wasSentBefore: z.boolean().optional(),
		}),
	}),
});

export type PeerCallData = z.infer<typeof peerCallSchema>['params'];

const lineFeed = 10;

/** Encodes the call for a peer. */
export const encodePeerCall = (gateway: GatewayState, {call, outgoing}: AdmittedCall, progress: Pick<CallProgress, 'possibleRuns' | 'runsUnderWay' | 'softwareVersion' | 'earnsHere' | 'versionFraction' | 'wasSentBefore' | 'attemptedIncarnations' | 'triedPeers'>): Buffer => {
	const {possibleRuns, runsUnderWay, softwareVersion, earnsHere, versionFraction, wasSentBefore, attemptedIncarnations, triedPeers} = progress;
	const now = gateway.clocks.steady();
	const {id, account, routeName, service, repeatability, patienceMs, rank, promptTokens, outputTokens, promptParts} = call;
	const {method, path, callerFields, digest, lastEventId} = outgoing;
	const data: PeerCallData = {
		sender: gateway.settings.instance.id,
		sentAt: gateway.clocks.trueTime(),
		remainingMs: call.deadline - now,
		targetMs: call.targetAt - now,
		earnsRepeats: earnsHere,
		call: {
			id, account, routeName, service, repeatability, patienceMs, rank, maxAttempts: Math.max(1, call.maxAttempts - possibleRuns - Math.max(0, runsUnderWay - 1)), promptTokens, outputTokens, promptParts: [...promptParts],
		},
		outgoing: {
			method, path, callerFields: [...callerFields], digest, lastEventId, softwareVersion, versionFraction, wasSentBefore: wasSentBefore || attemptedIncarnations.size > 0 || triedPeers.size > 1,
		},
	};
	const head = JSON.stringify({
		jsonrpc: '2.0', id: 1, method: runCallMethod, params: data,
	});
	return Buffer.concat([Buffer.from(`${head}\n`), outgoing.body]);
};

export type DecodedPeerCall = {
	readonly data: PeerCallData;
	readonly body: Buffer;
};

/** Returns undefined if the message is not a call. */
export const decodePeerCall = (message: Buffer): DecodedPeerCall | undefined => {
	const headEnd = message.indexOf(lineFeed);
	if (headEnd === -1) {
		return undefined;
	}

	try {
		const parsed = peerCallSchema.safeParse(JSON.parse(message.toString('utf8', 0, headEnd)));
		return parsed.success ? {data: parsed.data.params, body: message.subarray(headEnd + 1)} : undefined;
	} catch {
		return undefined;
	}
};

/** Time by which the synchronized clocks of two daemons may differ. */
const clockToleranceMs = 300;

/** Time for the way between daemons that is not measured, and for the answer's way back. */
const hopMs = 5;

/** Restores the call on this daemon's clock. What the way here took is no longer left; a sender that gave up sends nothing on. */
export const makeCallOfPeer = (gateway: GatewayState, {sentAt, remainingMs, targetMs, call}: PeerCallData): Call => {
	const now = gateway.clocks.steady();
	const underWayMs = Math.max(0, gateway.clocks.trueTime() - sentAt - clockToleranceMs) + hopMs;
	return {
		...call,
		account: call.account,
		arrivedAt: now,
		targetAt: (now + targetMs - underWayMs) as Deadline,
		deadline: (now + remainingMs - underWayMs) as Deadline,
	};
};
