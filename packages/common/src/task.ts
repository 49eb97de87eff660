/**
 * Tasks on `most` streams. A task owns its state, which only its fold changes;
 * others reach it by messages.
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
	/** Delivers after the current turn, so that a task may write to itself. */
	readonly send: (message: Message) => void;
	readonly messages: Stream<Message>;
};

export const makeMailbox = <Message>(): Mailbox<Message> => {
	const [induce, messages] = createAdapter<Message>();
	return {
		send(message) {
			queueMicrotask(() => {
				induce(message);
			});
		},
		messages,
	};
};

export type Step<State, Effect> = {
	readonly state: State;
	readonly effects: readonly Effect[];
};

type TaskOptions<State, Message, Effect> = {
	readonly initial: State;
	readonly fold: (state: State, message: Message) => Step<State, Effect>;
	readonly perform: (effect: Effect, state: State) => void;
	readonly onError: (error: unknown) => void;
	readonly signal: AbortSignal;
};

export type Task<State, Message> = {
	readonly send: (message: Message) => void;
	readonly getState: () => State;
};

const endOf = (signal: AbortSignal): Stream<unknown> => {
	const [induce, ended] = createAdapter<unknown>();
	signal.addEventListener('abort', () => {
		induce(undefined);
	}, {once: true});
	return ended;
};

/** Starts a task that runs until the signal is aborted. */
export const startTask = <State, Message, Effect>(options: TaskOptions<State, Message, Effect>): Task<State, Message> => {
	const {initial, fold, perform, onError, signal} = options;
	const mailbox = makeMailbox<Message>();
	let current = initial;

	// A message that cannot be folded, or an effect that throws, must not end the task:
	// the daemon would go on answering with what it knew then.
	const step = (state: State, message: Message) => {
		try {
			const {state: seed, effects} = fold(state, message);
			current = seed;
			return {seed, value: effects};
		} catch (error) {
			onError(error);
			return {seed: state, value: []};
		}
	};

	const performAll = (effects: readonly Effect[]): void => {
		for (const effect of effects) {
			try {
				perform(effect, current);
			} catch (error) {
				onError(error);
			}
		}
	};

	const steps = loop<Message, readonly Effect[], State>(step, initial, mailbox.messages);
	const running = until(endOf(signal), tap(performAll, steps));
	(async () => {
		try {
			await runEffects(running, newDefaultScheduler());
		} catch (error) {
			onError(error);
		}
	})();

	return {send: mailbox.send, getState: () => current};
};
