/** One signal for all that can end a try at a backend server, with the reason kept. */
import {type Deadline} from '@shallotpass/common/types.js';

export type AttemptEnd = 'caller_gone' | 'deadline' | 'leaving' | 'quiet';

export type AttemptSignal = {
	readonly signal: AbortSignal;
	/** Why it was aborted; undefined while it is not. */
	readonly getEnd: () => AttemptEnd | undefined;
	/** Something arrived; the quiet bound starts again. */
	readonly refresh: () => void;
	readonly dispose: () => void;
};

type AttemptSignalOptions = {
	readonly goneSignal: AbortSignal | undefined;
	readonly leavingSignal: AbortSignal | undefined;
	readonly deadline: Deadline;
	readonly now: number;
	/** Silence after which `onQuiet` is asked; no bound when absent. */
	readonly quietMs?: number;
	/** Whether the silence is a fault; the try ends when it resolves to true. */
	readonly onQuiet?: () => Promise<boolean>;
};

const longestTimerMs = 2_147_483_647;

export const makeAttemptSignal = (options: AttemptSignalOptions): AttemptSignal => {
	const controller = new AbortController();
	let end: AttemptEnd | undefined;
	const abort = (reason: AttemptEnd): void => {
		if (end === undefined) {
			end = reason;
			controller.abort();
		}
	};

	const onGone = (): void => {
		abort('caller_gone');
	};

	const onLeaving = (): void => {
		abort('leaving');
	};

	const sources = [{signal: options.goneSignal, listener: onGone}, {signal: options.leavingSignal, listener: onLeaving}];
	for (const {signal, listener} of sources) {
		if (signal?.aborted) {
			listener();
		}

		signal?.addEventListener('abort', listener, {once: true});
	}

	const deadlineTimer = setTimeout(() => {
		abort('deadline');
	}, Math.min(longestTimerMs, Math.max(0, options.deadline - options.now)));

	const checkQuiet = async (): Promise<void> => {
		if (await options.onQuiet?.()) {
			abort('quiet');
			return;
		}

		if (!controller.signal.aborted) {
			quietTimer?.refresh();
		}
	};

	const quietTimer = options.quietMs === undefined
		? undefined
		: setTimeout(() => {
			void checkQuiet();
		}, options.quietMs);

	return {
		signal: controller.signal,
		getEnd: () => end,
		refresh() {
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
