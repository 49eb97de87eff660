/** Sends a call through another daemon that reaches the backend servers. */
import type http from 'node:http';
import {isErrorKind} from '@shallotpass/common/error-kinds.js';
import {type PeerCandidate} from '@shallotpass/core/paths/choose-peer.js';
import {isRepeatable} from '@shallotpass/core/calls/types.js';
import {withdrawCall} from '@shallotpass/core/retries/repeat-account.js';
import * as z from 'zod';
import {type GatewayState} from '../gateway-state.js';
import {isValidStatusLine} from '../is-valid-status-line.js';
import {pickPeer} from '../peers/pick-peer.js';
import {readMessage} from '../peers/read-message.js';
import {recordAwaited, recordSend} from '../telemetry/call-trace.js';
import {inactiveTracker} from '../rollouts/track-result.js';
import {maxRefusalBytes} from '../read-bounds.js';
import {type AdmittedCall, type CallContext} from './call-context.js';
import {type CallProgress} from './call-progress.js';
import {confirmCallerWaits} from './caller-presence.js';
import {
	arrivedField, encodePeerCall, isPeerCallResult, parseVersion, type PeerCallResult, resultField, runsField, versionField,
} from './peer-call.js';
import {startPeerExchange} from './peer-exchange.js';
import {type Refusal} from './refusal.js';
import {getRepeatAccount} from './repeat-limit.js';
import {type Attempt, type OnDoubt} from './run-at-backend.js';
import {type SendPermit, settlePermit, takeSendPermit} from './send-permit.js';

/** Time for which a peer that could not take a call is not asked again. */
const avoidMs = 1000;

/** Time for which no peer is asked for a service that one of them could not serve. */
const unservedMs = 300;

/** Peers that a call is offered to. Each costs a round trip. */
const maxPeers = 2;

export type PeerResult =
	/** `runs`: backend servers that may have run the call, undefined if it is not known. */
	| {readonly kind: 'answered'; readonly response: http.IncomingMessage; readonly attempt: Attempt; readonly runs: number | undefined}
	/** The peer has not run the call and will not. `hasArrived`: whether backend servers may have turned it away. */
	| {readonly kind: 'refused'; readonly refusal: Refusal; readonly isUnfit: boolean; readonly hasArrived: boolean}
	/** Nothing was sent. */
	| {readonly kind: 'unsent'; readonly reason: string}
	/** `isConfirmed`: whether the peer has confirmed that it received the call. `isLinkLost`: whether it gave no answer. */
	| {readonly kind: 'may_have_run'; readonly reason: string; readonly isConfirmed: boolean; readonly isLinkLost: boolean};

/** Removes a field that is not for the caller, and returns its value. */
const takeField = (response: http.IncomingMessage, name: string): string | undefined => {
	// Node derives `headers` from the raw list when it is first read.
	const value = response.headers[name]?.toString();
	const {rawHeaders} = response;
	for (let index = rawHeaders.length - 2; index >= 0; index -= 2) {
		if (rawHeaders[index]!.toLowerCase() === name) {
			rawHeaders.splice(index, 2);
		}
	}

	return value;
};

/** Takes the field that tells who answered. */
const takeResult = (response: http.IncomingMessage): PeerCallResult | undefined => {
	const value = takeField(response, resultField);
	return isPeerCallResult(value) ? value : undefined;
};

const takeRuns = (response: http.IncomingMessage): number | undefined => {
	const runs = Number(takeField(response, runsField) ?? Number.NaN);
	return Number.isSafeInteger(runs) && runs > 0 ? runs : undefined;
};

const refusalSchema = z.object({kind: z.unknown().optional(), detail: z.unknown().optional()});

/** Callers that wait longer come back in any case. */
const maxRetryAfterS = 3600;

const readRefusal = async (response: http.IncomingMessage): Promise<Refusal> => {
	const retryAfterS = Number(response.headers['retry-after'] ?? Number.NaN);
	let body: z.output<typeof refusalSchema> = {};
	try {
		body = refusalSchema.parse(JSON.parse(await readMessage(response, maxRefusalBytes)));
	} catch {
		// The field alone tells that the call has not run.
	}

	return {
		kind: isErrorKind(body.kind) ? body.kind : 'no_backend',
		detail: typeof body.detail === 'string' ? body.detail : 'Another daemon could not serve the call either.',
		...(retryAfterS >= 0 && {retryAfterS: Math.min(maxRetryAfterS, retryAfterS)}),
	};
};

const countSent = ({peerCalls: {sent}}: GatewayState, address: string, change: 1 | -1): void => {
	const count = (sent.get(address) ?? 0) + change;
	if (count === 0) {
		sent.delete(address);
	} else {
		sent.set(address, count);
	}
};

/** Lets the call earn repeats at the peer, which needs them if backend servers turn it away there. Both together must not count it twice. */
const withdrawEarnings = (gateway: GatewayState, {call}: AdmittedCall, progress: CallProgress): void => {
	if (progress.earnsHere) {
		progress.earnsHere = false;
		withdrawCall(getRepeatAccount(gateway, call.service));
	}
};

/** Lets the peer, and its zone if nothing is known of its load, alone for a while. */
const avoidPeer = ({clocks, peerCalls: {avoidedUntil, avoidedZonesUntil}}: GatewayState, {address, availabilityZone, room}: PeerCandidate): void => {
	const until = clocks.steady() + avoidMs;
	avoidedUntil.set(address, until);
	if (room === undefined) {
		avoidedZonesUntil.set(availabilityZone, until);
	}
};

/** Offers the call to one peer and waits for the head of the response. */
const sendToOnePeer = async (context: CallContext, admitted: AdmittedCall, offer: {peer: PeerCandidate; progress: CallProgress; permit: SendPermit; onDoubt: OnDoubt | undefined}, signal: AbortSignal): Promise<PeerResult> => {
	const {gateway} = context;
	const {address} = offer.peer;
	if (!await confirmCallerWaits(gateway, signal)) {
		return {kind: 'unsent', reason: 'given_up'};
	}

	const message = encodePeerCall(gateway, admitted, offer.progress);
	withdrawEarnings(gateway, admitted, offer.progress);
	const sentAt = gateway.clocks.steady();
	const {reply, exchange, hasFailed} = startPeerExchange(address, message, {
		mayGiveUp: isRepeatable(admitted.call.repeatability),
		onDoubt: offer.onDoubt && (() => {
			avoidPeer(gateway, offer.peer);
			offer.onDoubt?.({reason: 'peer_silent', hasCrashed: undefined});
		}),
		permit: offer.permit,
		signal,
	});
	countSent(gateway, address, 1);
	let isRunning = true;
	const end = (): void => {
		if (isRunning) {
			isRunning = false;
			countSent(gateway, address, -1);
		}
	};

	const result = await reply;
	if (result.kind === 'failed') {
		end();
		const reason = `peer_${result.reason}`;
		return result.isSent
			? {
				kind: 'may_have_run', reason, isConfirmed: result.isConfirmed, isLinkLost: true,
			}
			: {kind: 'unsent', reason};
	}

	const {response} = result;
	const answer = takeResult(response);
	if (!isValidStatusLine(response)) {
		exchange.abort();
		end();
		return {
			kind: 'may_have_run', reason: 'peer_invalid_status_line', isConfirmed: true, isLinkLost: answer === undefined,
		};
	}

	if (answer === 'answered') {
		const attempt: Attempt = {
			state: undefined, softwareVersion: parseVersion(takeField(response, versionField)), laterVersion: undefined, source: address, connection: undefined, exchange, endContentWait() {/* The peer watches the stream itself. */}, recordExcess() {/* The peer watches the backend server itself. */}, sentAt, predictedMs: 0, answeredAt: gateway.clocks.steady(), versionResult: inactiveTracker, end,
			isComplete: async () => response.complete && !hasFailed(),
		};
		return {
			kind: 'answered', response, attempt, runs: takeRuns(response),
		};
	}

	const hasArrived = answer !== 'unfit' && takeField(response, arrivedField) !== 'no';
	const refusal = await readRefusal(response);
	end();
	return answer === 'refused' || answer === 'unfit'
		? {
			kind: 'refused', refusal, isUnfit: answer === 'unfit', hasArrived,
		}
		: {
			kind: 'may_have_run', reason: `peer_${answer ?? 'without_result'}`, isConfirmed: true, isLinkLost: answer === undefined,
		};
};

const recordResult = (gateway: GatewayState, peer: PeerCandidate, service: string, result: PeerResult): void => {
	const isUnusable = (result.kind === 'unsent' && result.reason !== 'given_up') || (result.kind === 'may_have_run' && result.isLinkLost) || (result.kind === 'refused' && result.isUnfit);
	if (isUnusable) {
		avoidPeer(gateway, peer);
	} else if (result.kind === 'refused' && result.refusal.kind === 'no_backend') {
		gateway.peerCalls.unservedUntil.set(service, gateway.clocks.steady() + unservedMs);
	}
};

/** Whether the call may be sent through a peer: it came from a caller, and peers are left to ask. */
export const canSendToPeer = ({gateway, isFromPeer}: CallContext, {call}: AdmittedCall, progress: CallProgress): boolean =>
	!isFromPeer && progress.triedPeers.size < maxPeers && (gateway.peerCalls.unservedUntil.get(call.service) ?? 0) <= gateway.clocks.steady();

/** Sends the call through a peer. Returns undefined if there is none. Without `onDoubt`, a peer that is late to confirm the call is given up. */
// eslint-disable-next-line max-params -- the call, its progress and its abort signal
export const sendToPeer = async (context: CallContext, admitted: AdmittedCall, progress: CallProgress, signal: AbortSignal, onDoubt?: OnDoubt): Promise<PeerResult | undefined> => {
	const {gateway} = context;
	const {call} = admitted;
	let refused: PeerResult | undefined;
	while (canSendToPeer(context, admitted, progress) && !signal.aborted) {
		const peer = pickPeer(gateway, {triedAddresses: progress.triedPeers, keepsOrigins: progress.softwareVersion !== undefined});
		if (peer === undefined) {
			break;
		}

		const permit = takeSendPermit(gateway, call, progress);
		if (permit === undefined) {
			return {kind: 'unsent', reason: 'repeat_limit'};
		}

		context.caller.stage = 'sent';
		recordAwaited(context.trace, 'head', gateway.clocks.steady());
		progress.triedPeers.add(peer.address);
		progress.attempts++;
		const startedAt = gateway.clocks.steady();
		// eslint-disable-next-line no-await-in-loop -- peers are asked one after the other
		const result = await sendToOnePeer(context, admitted, {
			peer, progress, permit, onDoubt,
		}, signal);
		settlePermit(gateway, call, {permit, progress, mayHaveArrived: result.kind !== 'unsent' && (result.kind !== 'refused' || result.hasArrived)});
		recordResult(gateway, peer, call.service, result);
		recordSend(context.trace, peer.address, result.kind === 'answered' ? result.response.statusCode : (result.kind === 'refused' ? result.refusal.kind : result.reason));
		gateway.metrics.peerCallsSent.inc({service: call.service, outcome: result.kind});
		gateway.log.write(result.kind === 'answered' ? 'routine' : 'failure', 'call_sent_to_peer', {
			request: call.id, service: call.service, peer: peer.address, zone: peer.availabilityZone, offer: progress.attempts, result: result.kind,
			reason: result.kind === 'answered' ? result.response.statusCode : (result.kind === 'refused' ? result.refusal.kind : result.reason),
			tookMs: Math.round(gateway.clocks.steady() - startedAt), remainingMs: Math.round(call.deadline - startedAt), isCutOff: gateway.paths.lostSince !== undefined,
		});
		if (result.kind !== 'answered') {
			context.caller.stage = progress.runsUnderWay > 1 ? 'sent' : 'waiting';
		}

		if (result.kind === 'answered' || result.kind === 'may_have_run') {
			return result;
		}

		refused = result;
		if (result.kind === 'refused' && !result.isUnfit) {
			break;
		}
	}

	return refused;
};
