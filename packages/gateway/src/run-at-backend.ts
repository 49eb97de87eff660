/** Runs a call at one backend server and learns from what comes of it. */
import {type Buffer} from 'node:buffer';
import type http from 'node:http';
import {type Call, isStream} from '@shallotpass/core/calls/types.js';
import {learnFailure, learnRate} from '@shallotpass/core/placement/learn-rate.js';
import {notePart} from '@shallotpass/core/placement/prefix-memory.js';
import {getWindow, noteStart} from '@shallotpass/core/usage/count-starts.js';
import {type BackendState, countedRanks} from './backend-book.js';
import {type Exchange, type IsWhole, sendToBackend} from './backend-exchange.js';
import {type GatewayState} from './gateway-state.js';
import {type Placement} from './place-call.js';

/** Milliseconds for a new connection: a hundred times the way between zones, and less than a plain call's target. */
const connectMs = 250;

/** First and longest pause before a backend server that took no connection is tried again, in milliseconds. */
const firstPauseMs = 250;
const longestPauseMs = 2000;

export type Sending = {
	readonly method: string;
	readonly path: string;
	readonly callerFields: readonly string[];
	readonly body: Buffer;
	readonly digest: string;
	readonly rank: number | undefined;
	readonly lastEventId: string | undefined;
};

export type AttemptResult =
	/** The call has run or is running; the answer is the call's own. */
	| {readonly kind: 'answered'; readonly response: http.IncomingMessage; readonly attempt: Attempt}
	/** The backend server cannot have run it and never will. */
	| {readonly kind: 'not_run'; readonly reason: string; readonly hasArrived: boolean}
	| {readonly kind: 'may_have_run'; readonly reason: string};

export type Attempt = {
	readonly state: BackendState;
	readonly exchange: Exchange;
	readonly isWhole: IsWhole;
	readonly sentAt: number;
	/** Ends the bookkeeping; called once, when nothing more comes. */
	readonly end: (isFailure: boolean) => void;
};

const noteConnectFailure = (gateway: GatewayState, state: BackendState, reason: string): void => {
	const pauseMs = Math.min(longestPauseMs, firstPauseMs * (2 ** state.failedConnects));
	state.failedConnects++;
	state.suspendedUntil = gateway.clocks.steady() + pauseMs;
	gateway.log.write('belief', 'backend_unreachable', {
		backend: state.entry.id, address: state.entry.address, reason, failures: state.failedConnects, pauseMs,
	});
};

const noteUsage = (gateway: GatewayState, call: Call): void => {
	if (call.account !== undefined) {
		noteStart(gateway.usage, call.account, getWindow(gateway.clocks.trueTime(), gateway.settings.bounds.usageWindowMs));
	}
};

/** Tokens below which the time to a first event says more about the way there than about reading. */
const leastLearnedTokens = 500;

/** Milliseconds to a first event beside reading. */
const fixedFirstEventMs = 15;

const learnFromHead = (gateway: GatewayState, call: Call, attempt: {state: BackendState; sentAt: number; workTokens: number}): void => {
	const {state} = attempt;
	const tookMs = gateway.clocks.steady() - attempt.sentAt;
	if (isStream(call.repeatability)) {
		if (attempt.workTokens >= leastLearnedTokens) {
			state.tokensPerMs = learnRate(state.tokensPerMs, attempt.workTokens / Math.max(1, tookMs - fixedFirstEventMs));
		}

		return;
	}

	state.plainMs = learnRate(state.plainMs, Math.max(1, tookMs));
};

const occupy = (gateway: GatewayState, call: Call, state: BackendState, readingTokens: number, digest: string) => {
	const rank = Math.min(countedRanks - 1, call.rank);
	state.running++;
	state.pendingTokens[rank]! += readingTokens;
	state.digests.add(digest);
	let isPending = true;
	let isRunning = true;
	const endPending = (): void => {
		if (isPending) {
			isPending = false;
			state.pendingTokens[rank]! -= readingTokens;
		}
	};

	return {
		endPending,
		end(isFailure: boolean): void {
			if (!isRunning) {
				return;
			}

			isRunning = false;
			endPending();
			state.running--;
			state.digests.delete(digest);
			state.failureShare = learnFailure(state.failureShare, isFailure);
		},
	};
};

/** Sends the call to the placed backend server, and waits for the head of its answer. */
export const runAtBackend = async (gateway: GatewayState, call: Call, placement: Placement, sending: Sending, signal: AbortSignal): Promise<AttemptResult> => {
	const {state} = placement;
	const now = gateway.clocks.steady();
	const readingTokens = Math.max(0, call.promptTokens - placement.cachedTokens);
	const workTokens = readingTokens + state.pendingTokens.reduce((sum, tokens) => sum + tokens, 0) + state.othersPendingTokens.reduce((sum, tokens) => sum + tokens, 0);
	const fields = gateway.wire.toBackendFields(sending.callerFields, {
		backendId: state.entry.id,
		account: call.account,
		remainingMs: Math.max(1, Math.floor(call.deadline - now)),
		rank: sending.rank,
		lastEventId: sending.lastEventId,
	});
	const hasBody = sending.body.length > 0 || sending.method === 'POST' || sending.method === 'PUT';
	const exchange = sendToBackend({
		agent: state.agent,
		address: state.entry.address,
		method: sending.method,
		path: sending.path,
		fields: hasBody ? [...fields, 'Content-Length', String(sending.body.length)] : fields,
		body: hasBody ? sending.body : undefined,
		connectMs,
	});
	const work = occupy(gateway, call, state, readingTokens, sending.digest);
	const abort = (): void => {
		exchange.abort();
	};

	signal.addEventListener('abort', abort, {once: true});
	for (const part of call.promptParts) {
		notePart(state.prefixes, part.id, now);
	}

	const end = (isFailure: boolean): void => {
		signal.removeEventListener('abort', abort);
		work.end(isFailure);
	};

	const result = await exchange.result;
	if (result.kind === 'failed') {
		const isOurs = signal.aborted;
		end(!isOurs);
		gateway.metrics.attempts.inc({service: call.service, outcome: result.fate === 'unsent' ? 'unsent' : 'broken'});
		if (result.isConnectFailure && !isOurs) {
			noteConnectFailure(gateway, state, result.reason);
		}

		if (result.fate === 'unsent') {
			return {kind: 'not_run', reason: result.reason, hasArrived: false};
		}

		if (!isOurs) {
			noteUsage(gateway, call);
		}

		return {kind: 'may_have_run', reason: result.reason};
	}

	const {response, isWhole} = result;
	state.failedConnects = 0;
	state.heardAt = gateway.clocks.steady();
	const head = gateway.wire.toBackendHead(response.statusCode ?? 0, response.headers);
	const isRefusal = head.isNotExecuted || head.isOtherBackend;
	if (head.requestId === undefined ? !isRefusal : head.requestId !== call.id) {
		// A late second answer to an earlier call stands where this call's answer is due. Handing it
		// on would give a caller somebody else's answer; nothing on this connection can be trusted.
		exchange.abort();
		end(true);
		gateway.metrics.attempts.inc({service: call.service, outcome: 'mismatched'});
		noteUsage(gateway, call);
		return {kind: 'may_have_run', reason: 'answer_of_another_call'};
	}

	if (isRefusal) {
		response.resume();
		end(false);
		gateway.metrics.attempts.inc({service: call.service, outcome: 'refused'});
		if (head.isOtherBackend) {
			noteConnectFailure(gateway, state, 'other_backend_at_address');
		}

		return {kind: 'not_run', reason: head.isOtherBackend ? 'other_backend' : `refused_${response.statusCode ?? 0}`, hasArrived: true};
	}

	work.endPending();
	learnFromHead(gateway, call, {state, sentAt: now, workTokens});
	noteUsage(gateway, call);
	gateway.metrics.attempts.inc({service: call.service, outcome: (response.statusCode ?? 0) < 500 ? 'answered' : 'failed'});
	return {
		kind: 'answered', response, attempt: {
			state, exchange, isWhole, sentAt: now, end,
		},
	};
};
