/** Serves plain calls, which have a single response, with retries on other backend servers. */
import {isRepeatable} from '@shallotpass/core/calls/types.js';
import {trackSurvival} from '../crashes/record-evidence.js';
import {type AdmittedCall, type CallContext} from './call-context.js';
import {
	recordBrokenAttempt, recordFirstByte,
} from './call-attempts.js';
import {isServerError} from './is-server-error.js';
import {
	type CallOutcome, isUnsent, makeFailureOutcome, makeUnsentOutcome, type SendResult,
} from './call-outcome.js';
import {type CallProgress} from './call-progress.js';
import {forwardPlainResponse} from './forward-plain-response.js';
import {isLastOnConnection} from './last-on-connection.js';
import {prepareRepeat} from './prepare-repeat.js';
import {type Replacement, startReplacement} from './replace-late-body.js';
import {sendUntilAccepted} from './send-until-accepted.js';
import {takeRetry} from './take-retry.js';
import {watchPlainBody} from './watch-plain-body.js';

/** Share of the time to its deadline that the body of an answer may take. The rest is for another backend server. */
const bodyTimeShare = 0.5;

export const servePlain = async (context: CallContext, admitted: AdmittedCall, progress: CallProgress, signal: AbortSignal): Promise<CallOutcome> => {
	const {gateway, response: target} = context;
	const {call, outgoing} = admitted;
	let sent: SendResult | undefined;
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- attempts run one after another
		const result = sent ?? await sendUntilAccepted(context, admitted, progress, signal);
		sent = undefined;
		if (isUnsent(result)) {
			return makeUnsentOutcome(context, call, progress, result);
		}

		if (result.kind === 'answered') {
			const {response, attempt} = result;
			progress.possibleRuns++;
			recordFirstByte(context, call, progress);
			const body = watchPlainBody(gateway, call, attempt, () => prepareRepeat(gateway, call, progress, progress.possibleRuns));
			let replacement: Replacement | undefined;
			// eslint-disable-next-line no-await-in-loop -- attempts run one after another
			const forwarded = await forwardPlainResponse({
				response, isComplete: attempt.isComplete, target, method: outgoing.method, isLastOnConnection: () => isLastOnConnection(context),
				bodyTimeoutMs: isRepeatable(call.repeatability) ? (call.deadline - gateway.clocks.steady()) * bodyTimeShare : undefined,
				isBodyLate: body.isLate,
				onBodyLate(giveUp) {
					replacement = startReplacement(context, admitted, progress, signal, giveUp);
				},
				onStreaming() {
					void replacement?.cancel();
				},
				onBytes: body.onBytes,
			});
			attempt.end(forwarded !== 'passed' || isServerError(response));
			if (forwarded === 'passed') {
				await replacement?.cancel(); // eslint-disable-line no-await-in-loop -- the last step
				trackSurvival(gateway, attempt.state, admitted, attempt.answeredAt).onWhole();
				if (response.complete && !isServerError(response)) {
					body.onWhole();
					attempt.versionResult.onWhole();
				} else if (!response.complete) {
					attempt.versionResult.onAbandoned();
				}

				return {name: isServerError(response) ? 'backend_error' : 'served'};
			}

			attempt.exchange.abort();
			if (signal.aborted) {
				attempt.versionResult.onAbandoned();
			} else {
				recordBrokenAttempt(gateway, attempt, admitted, progress);
			}

			progress.lastFailure = `the answer broke off at ${attempt.source}`;
			if (forwarded === 'broken_midway') {
				return {name: 'broken_midway', detail: progress.lastFailure};
			}

			// eslint-disable-next-line no-await-in-loop -- attempts run one after another
			sent = await replacement?.result;
			if (sent !== undefined) {
				continue;
			}
		}

		// eslint-disable-next-line no-await-in-loop -- attempts run one after another
		if (signal.aborted || !await takeRetry(context, admitted, progress, signal)) {
			return makeFailureOutcome(progress);
		}
	}
};
