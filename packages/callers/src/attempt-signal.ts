/** Combines everything that can end an attempt at a backend server into one abort signal and keeps the reason. */
import {type Deadline} from '@shallotpass/common/types.js';
import {limitTimerMs} from '@shallotpass/common/value-bounds.js';

export type AttemptEndReason = 'caller_gone' | 'deadline' | 'leaving' | 'quiet';

export type AttemptSignal = {
	readonly signal: AbortSignal;
	/** Returns why the signal was aborted, or undefined if it was not. */
	readonly getEndReason: () => AttemptEndReason | undefined;
	/** Restarts the quiet timeout. Call it when data arrives. */
	readonly resetQuietTimer: () => void;
	readonly dispose: () => void;
};

type AttemptSignalOptions = {
	readonly callerGoneSignal: AbortSignal | undefined;
	readonly leavingSignal: AbortSignal | undefined;
	readonly deadline: Deadline;
	readonly now: number;
	/** Time without data after which `onQuiet` is called; without it there is no quiet timeout. */
	readonly quietTimeoutMs?: number;
	/** Decides whether the silence is a failure. The attempt is aborted if it resolves to true. */
	readonly onQuiet?: () => Promise<boolean>;
};

export const makeAttemptSignal = (options: AttemptSignalOptions): AttemptSignal => {
	const controller = new AbortController();
	let endReason: AttemptEndReason | undefined;
	const abort = (reason: AttemptEndReason): void => {
		if (endReason === undefined) {
			endReason = reason;
			controller.abort();
		}
	};

	const onCallerGone = (): void => {
		abort('caller_gone');
	};

	const onLeaving = (): void => {
		abort('leaving');
	};

	const sources = [{signal: options.callerGoneSignal, listener: onCallerGone}, {signal: options.leavingSignal, listener: onLeaving}];
	for (const {signal, listener} of sources) {
		if (signal?.aborted) {
			listener();
		}

		signal?.addEventListener('abort', listener, {once: true});
	}

	const deadlineTimer = setTimeout(() => {
		abort('deadline');
	}, limitTimerMs(options.deadline - options.now));

	const checkQuiet = async (): Promise<void> => {
		if (await options.onQuiet?.()) {
			abort('quiet');
			return;
		}

		if (!controller.signal.aborted) {
			quietTimer?.refresh();
		}
	};

	const quietTimer = options.quietTimeoutMs === undefined
		? undefined
		: setTimeout(() => {
			void checkQuiet();
		}, options.quietTimeoutMs);

	return {
		signal: controller.signal,
		getEndReason: () => endReason,
		resetQuietTimer() {
			quietTimer?.refresh();
		},
		dispose() {
			clearTimeout(deadlineTimer);
			clearTimeout(quietTimer);
			for (const {signal, listener} of sources) {
				signal?.removeEventListener('abort', listener);
			}
		},
	};
};
