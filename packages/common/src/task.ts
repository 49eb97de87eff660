/**
 * Tasks built on `most` streams. A task owns its state and changes it only in its `fold`
 * function. Other code sends it messages.
 */
import {createAdapter} from '@most/adapter';
import {
	loop,
	runEffects,
	tap,
	until,
} from '@most/core';
import {newDefaultScheduler} from '@most/scheduler';
import {type Stream} from '@most/types';

export type Mailbox<Message> = {
	/** Delivers the message in a microtask, so that a task can send messages to itself. */
	readonly send: (message: Message) => void;
	readonly messages: Stream<Message>;
};

export const makeMailbox = <Message>(): Mailbox<Message> => {
	const [emit, messages] = createAdapter<Message>();
	return {
		send(message) {
			queueMicrotask(() => {
				emit(message);
			});
		},
		messages,
	};
};

export type FoldResult<State, Effect> = {
	readonly state: State;
	readonly effects: readonly Effect[];
};

type TaskOptions<State, Message, Effect> = {
	readonly initial: State;
	readonly fold: (state: State, message: Message) => FoldResult<State, Effect>;
	readonly perform: (effect: Effect, state: State) => void;
	readonly onError: (error: unknown) => void;
	readonly signal: AbortSignal;
};

export type Task<State, Message> = {
	readonly send: (message: Message) => void;
	readonly getState: () => State;
};

const makeAbortStream = (signal: AbortSignal): Stream<unknown> => {
	const [emitAbort, aborted] = createAdapter<unknown>();
	signal.addEventListener('abort', () => {
		emitAbort(undefined);
	}, {once: true});
	return aborted;
};

/** Starts a task that runs until the signal is aborted. */
export const startTask = <State, Message, Effect>(options: TaskOptions<State, Message, Effect>): Task<State, Message> => {
	const {initial, fold, perform, onError, signal} = options;
	const mailbox = makeMailbox<Message>();
	let current = initial;

	// An error in `fold` or in an effect must not end the task. The daemon would otherwise keep
	// serving with the last state from before the error.
	const applyMessage = (state: State, message: Message) => {
		try {
			const {state: nextState, effects} = fold(state, message);
			current = nextState;
			return {seed: nextState, value: effects};
		} catch (error) {
			onError(error);
			return {seed: state, value: []};
		}
	};

	const performEffects = (effects: readonly Effect[]): void => {
		for (const effect of effects) {
			try {
				perform(effect, current);
			} catch (error) {
				onError(error);
			}
		}
	};

	const effectBatches = loop<Message, readonly Effect[], State>(applyMessage, initial, mailbox.messages);
	const running = until(makeAbortStream(signal), tap(performEffects, effectBatches));
	(async () => {
		try {
			await runEffects(running, newDefaultScheduler());
		} catch (error) {
			onError(error);
		}
	})();

	return {send: mailbox.send, getState: () => current};
};
