/** Serves calls that other daemons send because they reach no backend server themselves. */
import type http from 'node:http';
import {isStream} from '@shallotpass/core/calls/types.js';
import {recordCall} from '@shallotpass/core/retries/repeat-account.js';
import {type BodyResult, readRequestBody} from '@shallotpass/common/client-limits/read-request-body.js';
import {findCrashRefusal} from '../crashes/check-verdict.js';
import {countPeerCallRoom, type GatewayState, maxPeerCalls} from '../gateway-state.js';
import {unknownOriginRefusal} from '../origins/continuity.js';
import {isCutOff} from '../paths/track-paths.js';
import {trackCall} from '../telemetry/call-trace.js';
import {noRoomRefusal} from './admit-call.js';
import {type AdmittedCall, type CallContext} from './call-context.js';
import {type CallerPresence, watchCaller} from './caller-presence.js';
import {isLastOnConnection} from './last-on-connection.js';
import {
	decodePeerCall, type PeerCallData, type PeerCallResult, makeCallOfPeer, setArrived, setResult,
} from './peer-call.js';
import {type Refusal, sendRefusal} from './refusal.js';
import {getRepeatAccount, getRepeatLimit} from './repeat-limit.js';
import {serveAdmittedCall} from './serve-call.js';

/** Space for the fields and the prompt's description of a call beside its body. */
const maxHeadBytes = 131_072;

/** Share of the room that is kept for the calls of each more urgent rank. */
const roomKeptPerRank = 0.2;

/** Retry-After of a call that this daemon cannot take. */
const unfitRetryAfterS = 0.2;

/** Returns why this daemon cannot take the call at all, so that the peer should ask another one. */
const findUnfitness = (gateway: GatewayState, {call}: PeerCallData): string | undefined => {
	if (isCutOff(gateway)) {
		return 'This daemon reaches no backend server either.';
	}

	if (gateway.drainingSince !== undefined) {
		return 'This daemon is leaving.';
	}

	if (gateway.configuration?.servicesByName.has(call.service) !== true) {
		return 'This daemon does not know the service.';
	}

	return countPeerCallRoom(gateway) <= maxPeerCalls * roomKeptPerRank * call.rank
		? 'This daemon serves as many calls of others as it can.'
		: undefined;
};

const refuse = (context: CallContext, refusal: Refusal, result: PeerCallResult): void => {
	const {gateway, response, head} = context;
	setResult(response, result);
	setArrived(response, false);
	gateway.metrics.peerCallsReceived.inc({outcome: result});
	gateway.log.write('failure', 'peer_call_refused', {
		request: head.id, result, detail: refusal.detail, serving: gateway.peerCalls.received,
	});
	sendRefusal(response, refusal, head.id, () => isLastOnConnection(context));
};

const makeContext = (gateway: GatewayState, {request, response, caller}: Pick<CallContext, 'request' | 'response' | 'caller'>, data: PeerCallData | undefined): CallContext => ({
	gateway, request, response, caller, isFromPeer: true,
	head: {
		id: data?.call.id, key: undefined, callerTimeoutMs: undefined, promptTokens: undefined, outputTokens: undefined, promptParts: [], lastEventId: undefined, resumes: {kind: 'none'},
	},
	timing: {firstByteAt: undefined, lastEventAt: 0, longestPauseMs: 0},
	trace: trackCall(response, gateway.clocks.steady()),
	bodyHold: undefined,
});

const serve = async (context: CallContext, admitted: AdmittedCall, {sender, earnsRepeats}: PeerCallData): Promise<void> => {
	const {gateway, response} = context;
	const {call} = admitted;
	gateway.peerCalls.received++;
	gateway.metrics.peerCallsReceived.inc({outcome: 'taken'});
	gateway.log.write('routine', 'peer_call_taken', {
		request: call.id, service: call.service, peer: sender, rank: call.rank, remainingMs: Math.round(call.deadline - call.arrivedAt), serving: gateway.peerCalls.received,
	});
	if (earnsRepeats) {
		recordCall(getRepeatAccount(gateway, call.service), getRepeatLimit(gateway), gateway.clocks.steady());
	}

	// Tells the peer that the call has arrived, so that it need not take a dead link for a long run.
	response.writeProcessing();
	setResult(response, 'answered');
	try {
		await serveAdmittedCall(context, admitted);
	} finally {
		gateway.peerCalls.received--;
	}
};

/** Whether the call continues a stream that has begun. */
const isContinuation = ({wire}: GatewayState, {outgoing}: PeerCallData): boolean => outgoing.lastEventId !== undefined || wire.findLastEventId(outgoing.callerFields) !== undefined;

type PeerExchange = Pick<CallContext, 'request' | 'response' | 'caller'>;

const serveMessage = async (gateway: GatewayState, exchange: PeerExchange): Promise<void> => {
	const maxBodyBytes = gateway.configuration?.configuration.limits.bodyBytes ?? 0;
	const message = await readRequestBody(exchange.request, maxBodyBytes + maxHeadBytes, gateway.heldBytes);
	try {
		await serveReadMessage(gateway, exchange, message);
	} finally {
		if (message.kind === 'whole') {
			message.hold.release();
		}
	}
};

const serveReadMessage = async (gateway: GatewayState, exchange: PeerExchange, message: BodyResult): Promise<void> => {
	const decoded = message.kind === 'whole' ? decodePeerCall(message.body) : undefined;
	const context = makeContext(gateway, exchange, decoded?.data);
	if (message.kind === 'no_room') {
		refuse(context, noRoomRefusal, 'unfit');
		return;
	}

	if (decoded === undefined) {
		refuse(context, {kind: message.kind === 'too_large' ? 'payload_too_large' : 'invalid_request', detail: 'The message of the peer is no call.', isReadInPart: message.kind === 'too_large'}, 'unfit');
		return;
	}

	const {data, body} = decoded;
	const unfitness = findUnfitness(gateway, data);
	if (unfitness !== undefined) {
		refuse(context, {kind: 'no_backend', detail: unfitness, retryAfterS: unfitRetryAfterS}, 'unfit');
		return;
	}

	const call = makeCallOfPeer(gateway, data);
	if (call.deadline <= call.arrivedAt) {
		refuse(context, {kind: 'deadline_unreachable', detail: 'The call arrived after its deadline.'}, 'refused');
		return;
	}

	const crashRefusal = findCrashRefusal(gateway, {call, outgoing: data.outgoing}, 0);
	if (crashRefusal) {
		refuse(context, crashRefusal, 'refused');
		return;
	}

	if (isStream(call.repeatability) && data.outgoing.softwareVersion === undefined && isContinuation(gateway, data)) {
		// A daemon of an earlier version sends it, which knows no versions.
		refuse(context, unknownOriginRefusal, 'refused');
		return;
	}

	await serve(context, {call, outgoing: {...data.outgoing, lastEventId: data.outgoing.lastEventId, body}}, data);
};

/** Serves one request of a peer; never throws. */
export const servePeerCall = async (gateway: GatewayState, request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
	const caller: CallerPresence = watchCaller(gateway, request, response);
	try {
		await serveMessage(gateway, {request, response, caller});
	} finally {
		caller.end();
	}
};
