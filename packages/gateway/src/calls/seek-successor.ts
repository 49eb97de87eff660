/**
 * Looks for a backend server that goes on with a stream whose run sends nothing, while that run is kept: its backend server may be sound,
 * and the others may be full. The run is given up only once another one has taken the rest, and is the only one again if it goes on first.
 */
import {listenForAbort} from '@shallotpass/common/listen-for-abort.js';
import {mayRunAgain} from '../crashes/check-verdict.js';
import {pauseFor} from '../pause.js';
import {recordAwaited, recordSendEnd} from '../telemetry/call-trace.js';
import {discardResponse, recordBrokenAttempt} from './call-attempts.js';
import {isUnsent} from './call-outcome.js';
import {resetTurnedAway} from './call-progress.js';
import {confirmCallerWaits} from './caller-presence.js';
import {prepareRepeat} from './prepare-repeat.js';
import {type GivenUpReason} from './record-run-end.js';
import {type Attempt} from './run-at-backend.js';
import {mayAskAgain, returnHeldPermit} from './send-permit.js';
import {sendUntilAccepted} from './send-until-accepted.js';
import {
	type AnsweredAttempt, canGoOn, getLastEventId, type StreamState,
} from './stream-state.js';
import {payForNextRun} from './take-retry.js';
import {waitForFirstEvent} from './wait-for-first-event.js';

/** Pause after all others have turned the stream away, in milliseconds. It doubles each time, as each of these sends counts as a repeat. */
const firstPauseMs = 100;

/** What a search came to. `went_on`: the run sent an event first. `run_ended`: the run ended, or nobody waits for it any more. */
export type SearchOutcome = 'replaced' | 'went_on' | 'run_ended';

export type SuccessorSearch = {
	/** Whether a search may begin: none is under way, and the stream may go on elsewhere. */
	readonly canBegin: () => boolean;
	readonly begin: (reason: GivenUpReason) => void;
	/** Cancels what was sent, as the run goes on. */
	readonly cancel: () => void;
	/** To be called when the run has ended. Returns the successor if there is one. A send that is under way is waited for, unless `isUnused`. */
	readonly finish: (isUnused: boolean) => Promise<AnsweredAttempt | undefined>;
};

type Search = {
	readonly stream: StreamState;
	readonly reason: GivenUpReason;
	/** Aborted when the run goes on, or nobody waits for the answer any more. */
	readonly signal: AbortSignal;
	/** Aborted when the run has ended too. */
	readonly ending: AbortSignal;
	/** When the last event before it came, on the steady clock. */
	readonly silentSince: number;
	/** Sends made so far. */
	asked: number;
	/** How many times all others were asked. */
	rounds: number;
	/** Set at once when a backend server has taken the stream, and after that the run is given up. */
	successor: AnsweredAttempt | undefined;
	readonly onTaken: (reason: GivenUpReason) => void;
};

/** Whether the stream may be sent once more now. Takes the repeat, and pays for the run. */
const mayAsk = async (search: Search): Promise<boolean> => {
	const {stream, signal} = search;
	const {context: {gateway}, call, progress} = stream;
	if (signal.aborted || (progress.hasCrashed !== undefined && !await mayRunAgain(gateway, stream, progress.hasCrashed, signal))) {
		return false;
	}

	const mayTakeRepeat = search.rounds === 0 || mayAskAgain(gateway, call);
	if (!await confirmCallerWaits(gateway, signal) || !mayTakeRepeat || !prepareRepeat(gateway, call, progress, progress.possibleRuns)) {
		return false;
	}

	return await payForNextRun(gateway, call, progress, signal) && !signal.aborted;
};

/** Cancels a send whose answer nobody needs any more, which says nothing of its backend server. */
const abandonAnswer = ({context: {trace}}: StreamState, {attempt}: AnsweredAttempt): void => {
	attempt.exchange.abort();
	attempt.end(false);
	attempt.versionResult.onAbandoned();
	recordSendEnd(trace, attempt.source, 'cancelled');
};

/** Discards an answer that is not used, and records what it says of its backend server. */
const dropAnswer = ({stream, signal}: Search, answered: AnsweredAttempt): void => {
	const {context: {gateway, trace}, progress} = stream;
	const {response, attempt} = answered;
	if (signal.aborted) {
		abandonAnswer(stream, answered);
		return;
	}

	if (response.statusCode !== 200) {
		progress.lastFailure = `status ${response.statusCode}`;
		discardResponse(response, attempt);
		return;
	}

	attempt.exchange.abort();
	attempt.end(true);
	recordBrokenAttempt(gateway, attempt, stream, progress);
	recordSendEnd(trace, attempt.source, 'without_event');
};

/** Asks one backend server after the other, until one takes the stream or none does now. One that is late is kept while others are asked. */
const askOthers = async (search: Search): Promise<void> => {
	const {stream, signal} = search;
	const {context, call, progress} = stream;
	while (await mayAsk(search)) { // eslint-disable-line no-await-in-loop -- one after the other
		search.asked++;
		// eslint-disable-next-line no-await-in-loop -- one after the other
		const result = await sendUntilAccepted(context, {call, outgoing: {...stream.outgoing, lastEventId: getLastEventId(stream)}}, progress, signal);
		if (isUnsent(result)) {
			search.asked--;
			return;
		}

		if (result.kind !== 'answered') {
			continue;
		}

		progress.possibleRuns++;
		// eslint-disable-next-line no-await-in-loop -- one after the other
		const isTaken = result.response.statusCode === 200 && await waitForFirstEvent(result, signal) === 'accepted';
		if (isTaken && !signal.aborted) {
			search.successor = result;
			search.onTaken(search.reason);
			return;
		}

		dropAnswer(search, result);
	}
};

/** Asks the others again and again until one takes the stream or the run has ended. */
const seekSuccessor = async (search: Search): Promise<void> => {
	const {stream: {context: {gateway, caller, trace}, call, progress}, signal, ending} = search;
	// Those that turned the call away before this run began may have room by now.
	resetTurnedAway(progress);
	for (let pauseMs = firstPauseMs; !signal.aborted; pauseMs *= 2) {
		await askOthers(search); // eslint-disable-line no-await-in-loop -- one round after the other
		caller.stage = 'answering';
		recordAwaited(trace, 'answer', gateway.clocks.steady());
		if (search.successor !== undefined) {
			return;
		}

		search.rounds++;
		returnHeldPermit(gateway, call, progress);
		resetTurnedAway(progress);
		if (ending.aborted) {
			return;
		}

		await pauseFor(pauseMs, AbortSignal.any([signal, ending])); // eslint-disable-line no-await-in-loop -- one round after the other
		if (ending.aborted) {
			return;
		}
	}
};

const recordSearch = ({stream, reason, asked, silentSince, successor}: Search, source: string, outcome: SearchOutcome): void => {
	const {context: {gateway}, call} = stream;
	gateway.metrics.successorSearches.inc({outcome});
	gateway.log.write('state', 'successor_sought', {
		request: call.id, service: call.service, reason, backend: source, outcome, successor: successor?.attempt.source, asked, pauseMs: Math.round(gateway.clocks.steady() - silentSince),
	});
};

/** Watches a run of a stream that may be resumed. `onTaken` is called when the run is to be given up. */
export const makeSuccessorSearch = (stream: StreamState, {source}: Attempt, onTaken: (reason: GivenUpReason) => void): SuccessorSearch => {
	const ending = new AbortController();
	let cancelled = new AbortController();
	let current: Search | undefined;
	let pending: Promise<void> | undefined;

	const run = async (search: Search): Promise<void> => {
		await seekSuccessor(search);
		recordSearch(search, source, search.successor === undefined ? (ending.signal.aborted || stream.signal.aborted ? 'run_ended' : 'went_on') : 'replaced');
		if (search.successor === undefined) {
			pending = undefined;
		}
	};

	const cancel = (): void => {
		if (current?.successor === undefined) {
			cancelled.abort();
		}
	};

	return {
		canBegin: () => pending === undefined && !ending.signal.aborted && !stream.signal.aborted && canGoOn(stream),
		begin(reason) {
			const controller = new AbortController();
			// Node.js 20 keeps a combined signal for as long as anything listens to it, and the send of a successor listens until the end.
			listenForAbort(stream.signal, () => {
				controller.abort();
			});
			cancelled = controller;
			current = {
				stream, reason, signal: controller.signal, ending: ending.signal, silentSince: stream.context.timing.lastEventAt,
				asked: 0, rounds: 0, successor: undefined, onTaken,
			};
			pending = run(current);
		},
		cancel,
		async finish(isUnused) {
			ending.abort();
			if (isUnused) {
				cancel();
			}

			await pending;
			if (isUnused && current?.successor !== undefined) {
				abandonAnswer(stream, current.successor);
				return undefined;
			}

			return current?.successor;
		},
	};
};
