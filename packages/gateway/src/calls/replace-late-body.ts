/** Sends a call elsewhere while the body of its answer is late, which is given up only once another backend server has answered. */
import {listenForAbort} from '@shallotpass/common/listen-for-abort.js';
import {type AdmittedCall, type CallContext} from './call-context.js';
import {type SendResult} from './call-outcome.js';
import {type CallProgress} from './call-progress.js';
import {isServerError} from './is-server-error.js';
import {recordUsage} from './run-at-backend.js';
import {sendUntilAccepted} from './send-until-accepted.js';
import {takeRetry} from './take-retry.js';

export type Replacement = {
	/** Resolves with what the further sends came to, undefined if none was allowed. */
	readonly result: Promise<SendResult | undefined>;
	/** Cancels them, as the late body is used. */
	readonly cancel: () => Promise<void>;
};

/** Begins to send the call elsewhere. Calls `onAnswer` if that has an answer that is no failure. */
// eslint-disable-next-line max-params -- the call, its progress and its abort signal
export const startReplacement = (context: CallContext, admitted: AdmittedCall, progress: CallProgress, signal: AbortSignal, onAnswer: () => void): Replacement => {
	const controller = new AbortController();
	const stopListening = listenForAbort(signal, () => {
		controller.abort();
	});
	const peersBefore = progress.triedPeers.size;
	const run = async (): Promise<SendResult | undefined> => {
		if (!await takeRetry(context, admitted, progress, controller.signal)) {
			return undefined;
		}

		const result = await sendUntilAccepted(context, admitted, progress, controller.signal);
		if (result.kind === 'answered' && !isServerError(result.response)) {
			onAnswer();
		}

		return result;
	};

	const result = run();
	const cancel = async (): Promise<void> => {
		stopListening();
		controller.abort();
		const unused = await result;
		if (unused?.kind === 'answered') {
			unused.attempt.exchange.abort();
			unused.attempt.end(false);
		} else if (unused?.kind === 'may_have_run' && progress.triedPeers.size === peersBefore) {
			// A peer counts what it has sent.
			recordUsage(context.gateway, admitted.call, false);
		}
	};

	let cancelled: Promise<void> | undefined;
	return {
		result,
		async cancel() {
			cancelled ??= cancel();
			return cancelled;
		},
	};
};
