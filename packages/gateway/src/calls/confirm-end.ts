/** Confirms the end of an answer that only the close of its connection marks. A process that ends midway closes its connections in the same way. */
import type http from 'node:http';
import {type GatewayState} from '../gateway-state.js';
import {canConnect} from '../paths/can-connect.js';
import {type BackendState} from './backend-registry.js';
import {
	askWhenStarted, hasToldStart, recordOtherProcess, recordSameProcess, type StartAnswer,
} from './confirm-incarnation.js';
import {isServerError} from './is-server-error.js';

/** An answer that has begun. */
export type BegunAnswer = {
	readonly response: http.IncomingMessage;
	/** Number of its connection. */
	readonly connection: number | undefined;
	/** Whether only the close of its connection marks the end of its body. */
	readonly isUnframed: boolean;
};

/** Questions by backend server: the one under way, and the one that follows it for those who asked meanwhile. */
type Questions = {readonly current: Promise<StartAnswer>; next: Promise<StartAnswer> | undefined};

const questionsByState = new WeakMap<BackendState, Questions>();

/** Asks on a connection of its own, on which no late copy of another answer can come. */
const askOnce = async (gateway: GatewayState, state: BackendState): Promise<StartAnswer> => {
	const questions: Questions = {current: askWhenStarted(gateway, state, {hasOwnConnection: true}), next: undefined};
	questionsByState.set(state, questions);
	try {
		return await questions.current;
	} finally {
		if (questions.next === undefined) {
			questionsByState.delete(state);
		}
	}
};

/** Asks by a question that is sent from now on. Many answers may begin or end at once, and share it. */
const askFromNow = async (gateway: GatewayState, state: BackendState): Promise<StartAnswer> => {
	const questions = questionsByState.get(state);
	if (questions === undefined) {
		return askOnce(gateway, state);
	}

	const askNext = async (): Promise<StartAnswer> => {
		await questions.current;
		return askOnce(gateway, state);
	};

	questions.next ??= askNext();
	return questions.next;
};

/**
 * Returns what finds out, once the connection of the answer has closed, whether its process lives on. To be called when the head has been received: who answers on
 * a connection of which that is not known is asked while it is open, as the process may have started later than that of the entry.
 */
export const watchAnsweringProcess = (gateway: GatewayState, state: BackendState, {response, connection, isUnframed}: BegunAnswer): (() => Promise<boolean>) => {
	const {agent, entry} = state;
	/** Start of the process that answers, if it has told. */
	let startedAt: number | undefined;
	const askAtHead = async (): Promise<void> => {
		const {reply, lastConnection} = await askFromNow(gateway, state);
		if (response.closed) {
			return;
		}

		if (reply.kind === 'untold') {
			agent.confirmUpTo(lastConnection);
		} else if (reply.kind === 'started') {
			startedAt = reply.startedAt;
			if (startedAt === entry.startedAt) {
				recordSameProcess(state, lastConnection);
			}
		}
	};

	if (isUnframed && !isServerError(response) && entry.startedAt !== undefined && !agent.isConfirmed(connection)) {
		void askAtHead();
	}

	const isSameProcess = (told: number): boolean => told === entry.startedAt || told === startedAt || told === agent.findLaterProcess(connection);

	return async () => {
		const hasConnected = async (): Promise<boolean> => canConnect(gateway.registry.openConnection, entry.address);
		if (entry.startedAt === undefined) {
			return hasConnected();
		}

		const {reply, ...place} = await askFromNow(gateway, state);
		switch (reply.kind) {
			case 'started': {
				if (reply.startedAt === entry.startedAt) {
					recordSameProcess(state, place.lastConnection);
				} else {
					recordOtherProcess(gateway, state, reply.startedAt, place);
				}

				return isSameProcess(reply.startedAt);
			}

			case 'untold': {
				// One that has told its start tells it again, so another process answers.
				return startedAt === undefined && !hasToldStart(state);
			}

			case 'failed': {
				// A very busy one may be late. Its answer would be lost without need.
				return hasConnected();
			}
		}
	};
};
