/**
 * Sends a call until a backend server has accepted it. A run that is late, and an answer that is a failure, are kept while the call
 * is tried elsewhere, as it may be turned away there: the first useful answer is used, and the other runs are cancelled.
 * Calls that must not run twice are sent once.
 */
import type http from 'node:http';
import {listenForAbort} from '@shallotpass/common/listen-for-abort.js';
import {isRepeatable, isStream} from '@shallotpass/core/calls/types.js';
import {pauseFor} from '../pause.js';
import {recordAwaited} from '../telemetry/call-trace.js';
import {type AdmittedCall, type CallContext} from './call-context.js';
import {
	discardResponse, recordBrokenAttempt, type SendToPlacement, sendToBestBackend, sendToPlacement,
} from './call-attempts.js';
import {isUnsent, type SendResult} from './call-outcome.js';
import {type CallProgress} from './call-progress.js';
import {mayHedge, waitForHedge} from './hedge-call.js';
import {isServerError} from './is-server-error.js';
import {type Placement} from './place-call.js';
import {hasAttemptLeft} from './prepare-repeat.js';
import {recordUsage} from './run-at-backend.js';
import {mayAskAgain, returnHeldPermit} from './send-permit.js';
import {takeRetry} from './take-retry.js';

type AnsweredResult = SendResult & {readonly kind: 'answered'};

type SendFlags = {
	/** Whether the call is better sent elsewhere as well. */
	isDoubted: boolean;
	/** Whether it was sent to a backend server, and not through a peer. */
	isDirect: boolean;
};

/** A send that has not come to an end. */
type OpenSend = SendFlags & {
	readonly result: Promise<SendResult>;
	readonly cancel: () => void;
};

type Step =
	| {readonly kind: 'ended'; readonly send: OpenSend}
	| {readonly kind: 'crashed'; readonly error: unknown}
	| {readonly kind: 'doubted'}
	| {readonly kind: 'hedge'; readonly placement: Placement}
	/** Backend servers that turned the call away may have room again. */
	| {readonly kind: 'retry'};

/** First pause before a call whose runs are all late is offered again to those that turned it away. Doubles each time, as each offer takes a repeat. */
const firstRetryMs = 200;

/** Longest time that an answer waits for the end of cancelled sends, which count as runs of the call. Their connections close within it. */
const cancelMs = 20;

/** Interval at which a body whose head has arrived is checked for its end. Node emits `end` only once a body is read. */
const bodyPollMs = 2;

const isWhole = (response: http.IncomingMessage): boolean =>
	response.complete || response.destroyed || response.readableLength >= response.readableHighWaterMark;

/** Waits until the body is complete or fills the read buffer, but no longer than to the target. A later failure is handled where the body is read. */
const waitForBody = async ({gateway: {clocks}}: CallContext, response: http.IncomingMessage, until: number, signal: AbortSignal): Promise<void> => {
	while (!isWhole(response) && !signal.aborted && clocks.steady() < until) {
		await pauseFor(bodyPollMs, signal); // eslint-disable-line no-await-in-loop -- a poll
	}
};

const isBroken = ({destroyed, complete}: http.IncomingMessage): boolean => destroyed && !complete;

const isUseful = (result: SendResult): boolean => result.kind === 'answered' && !isServerError(result.response) && !isBroken(result.response);

/** Steps in the order in which they come about. */
const makeStepQueue = () => {
	const steps: Step[] = [];
	let wake: (() => void) | undefined;
	const waitForPush = async (): Promise<void> => new Promise(resolve => {
		wake = resolve;
	});

	return {
		push(step: Step): void {
			steps.push(step);
			wake?.();
		},
		isEmpty: (): boolean => steps.length === 0,
		async next(): Promise<Step> {
			while (steps.length === 0) {
				await waitForPush(); // eslint-disable-line no-await-in-loop -- until there is one
			}

			return steps.shift()!;
		},
	};
};

type KeptCall = {
	readonly context: CallContext;
	readonly admitted: AdmittedCall;
	readonly progress: CallProgress;
	readonly signal: AbortSignal;
	readonly open: Set<OpenSend>;
	readonly steps: ReturnType<typeof makeStepQueue>;
};

/** Sends the call to the best backend server, or that of the placement. */
const startSend = (kept: KeptCall, placement?: Placement): void => {
	const {context, admitted, progress, signal, open, steps} = kept;
	const isFirst = open.size === 0 && progress.attempts === 0;
	const controller = new AbortController();
	const stopListening = listenForAbort(signal, () => {
		controller.abort();
	});
	const flags: SendFlags = {isDoubted: false, isDirect: false};
	const onDoubt = (): void => {
		flags.isDoubted = true;
		steps.push({kind: 'doubted'});
	};

	/** Ends the wait for a hedge. Undefined if the call is not hedged. */
	let hedgeEnd: AbortController | undefined;

	const send: SendToPlacement = async (...[, sent, chosen]) => {
		flags.isDirect = true;
		if (isFirst && mayHedge(context, sent, progress)) {
			hedgeEnd = new AbortController();
			void offerHedge(kept, chosen, hedgeEnd.signal);
		}

		return sendToPlacement(context, sent, chosen, progress, controller.signal, onDoubt);
	};

	const run = async (): Promise<SendResult> => {
		progress.runsUnderWay++;
		try {
			const result = await (placement === undefined
				? sendToBestBackend(context, admitted, progress, controller.signal, send, onDoubt)
				: send(context, admitted, placement, progress, controller.signal));
			if (result.kind === 'answered' && !isStream(admitted.call.repeatability) && (hedgeEnd !== undefined || open.size > 1)) {
				await waitForBody(context, result.response, admitted.call.targetAt, controller.signal);
			}

			steps.push({kind: 'ended', send: openSend});
			return result;
		} catch (error) {
			steps.push({kind: 'crashed', error});
			return {kind: 'may_have_run', reason: 'internal'};
		} finally {
			progress.runsUnderWay--;
			hedgeEnd?.abort();
		}
	};

	const openSend: OpenSend = Object.assign(flags, {
		result: run(),
		cancel() {
			stopListening();
			controller.abort();
		},
	});
	open.add(openSend);
};

/** Offers the call to a second backend server once it is going to miss its target at the first one. */
const offerHedge = async ({context, admitted, progress, steps}: KeptCall, placement: Placement, ended: AbortSignal): Promise<void> => {
	const hedge = await waitForHedge({context, admitted, progress}, placement, ended);
	if (hedge !== undefined && !ended.aborted) {
		steps.push({kind: 'hedge', placement: hedge});
	}
};

const isFailedAnswer = (result: SendResult): result is AnsweredResult => result.kind === 'answered' && isServerError(result.response) && !isBroken(result.response);

/** Keeps a failed answer, unread, for a call that nobody else takes. */
const keepAnswer = ({progress}: KeptCall, result: AnsweredResult): AnsweredResult => {
	const {response} = result;
	response.on('error', () => {/* Handled where the answer is read. */});
	progress.runsUnderWay++;
	progress.lastFailure = `status ${response.statusCode ?? 0}`;
	return result;
};

/** Drops an answer that is not used, as there is a better one. */
const dropAnswer = ({context: {gateway}, admitted, progress}: KeptCall, {response, attempt}: AnsweredResult): void => {
	progress.possibleRuns++;
	if (isBroken(response)) {
		recordBrokenAttempt(gateway, attempt, admitted, progress);
	}

	discardResponse(response, attempt);
};

/** Cancels a send whose answer is not used, and counts its run. */
const cancelSend = async ({context: {gateway}, admitted: {call}, progress}: KeptCall, send: OpenSend): Promise<void> => {
	send.cancel();
	const result = await send.result;
	if (result.kind === 'answered') {
		progress.possibleRuns++;
		result.attempt.exchange.abort();
		result.attempt.end(false);
	} else if (result.kind === 'may_have_run' && send.isDirect && !send.isDoubted) {
		// A run that was doubted has been counted, and a peer counts what it has sent.
		recordUsage(gateway, call, false);
	}
};

/** Cancels the sends that are left, and waits until their connections have closed. */
const cancelSends = async (kept: KeptCall): Promise<void> => {
	if (kept.open.size > 0) {
		const cancelled = [...kept.open].map(async send => cancelSend(kept, send));
		await Promise.race([Promise.all(cancelled), pauseFor(cancelMs, kept.signal)]);
	}
};

/** Lets backend servers that turned the call away be tried once more. */
const admitRefusing = ({attemptedIncarnations, turnedAwayBy}: CallProgress): void => {
	for (const incarnation of turnedAwayBy) {
		attemptedIncarnations.delete(incarnation);
	}
};

/** Sends the call to the best backend server, and to others as long as none has accepted it. */
const runKeptCall = async (kept: KeptCall): Promise<SendResult> => {
	const {context, admitted, progress, signal, open, steps} = kept;
	const {call} = admitted;
	let failedAnswer: AnsweredResult | undefined;
	let retryMs = firstRetryMs;
	let retryTimer: NodeJS.Timeout | undefined;

	const scheduleRetry = (): void => {
		recordAwaited(context.trace, 'head', context.gateway.clocks.steady());
		retryTimer = setTimeout(() => {
			retryTimer = undefined;
			steps.push({kind: 'retry'});
		}, retryMs);
		retryMs *= 2;
	};

	const endWith = async (result: SendResult): Promise<SendResult> => {
		clearTimeout(retryTimer);
		await cancelSends(kept);
		if (failedAnswer !== undefined) {
			progress.runsUnderWay--;
			if (failedAnswer !== result) {
				dropAnswer(kept, failedAnswer);
			}
		}

		return result;
	};

	startSend(kept);
	for (;;) {
		const step = await steps.next(); // eslint-disable-line no-await-in-loop -- one step after the other
		let isUnplaced = false;
		switch (step.kind) {
			case 'crashed': {
				clearTimeout(retryTimer);
				await cancelSends(kept); // eslint-disable-line no-await-in-loop -- the last step
				throw step.error;
			}

			case 'ended': {
				open.delete(step.send);
				const result = await step.send.result; // eslint-disable-line no-await-in-loop -- it has ended
				if (isUseful(result) || (open.size === 0 && failedAnswer === undefined && !isFailedAnswer(result))) {
					return endWith(result);
				}

				isUnplaced = isUnsent(result);
				if (failedAnswer === undefined && isFailedAnswer(result)) {
					failedAnswer = keepAnswer(kept, result);
				} else if (result.kind === 'answered') {
					dropAnswer(kept, result);
				}

				break;
			}

			case 'hedge': {
				if (open.size === 1 && !signal.aborted) {
					startSend(kept, step.placement);
				}

				break;
			}

			case 'retry': {
				if (!mayAskAgain(context.gateway, call)) {
					scheduleRetry();
					continue;
				}

				admitRefusing(progress);
				break;
			}

			case 'doubted': {
				break;
			}
		}

		if (!steps.isEmpty() || [...open].some(({isDoubted}) => !isDoubted)) {
			continue;
		}

		if (isUnplaced) {
			returnHeldPermit(context.gateway, call, progress);
		}

		// eslint-disable-next-line no-await-in-loop -- one send after the other
		if (!isUnplaced && retryTimer === undefined && !signal.aborted && await takeRetry(context, admitted, progress, signal)) {
			if (steps.isEmpty()) {
				startSend(kept);
			}

			continue;
		}

		if (open.size === 0 && failedAnswer !== undefined && steps.isEmpty()) {
			return endWith(failedAnswer);
		}

		if (retryTimer === undefined && hasAttemptLeft(call, progress, progress.possibleRuns + progress.runsUnderWay)) {
			scheduleRetry();
		}
	}
};

export const sendUntilAccepted = async (context: CallContext, admitted: AdmittedCall, progress: CallProgress, signal: AbortSignal): Promise<SendResult> => isRepeatable(admitted.call.repeatability)
	? runKeptCall({
		context, admitted, progress, signal, open: new Set(), steps: makeStepQueue(),
	})
	: sendToBestBackend(context, admitted, progress, signal);
