/** Tells whether the caller of a request still waits for its answer: a state that each step of the call asks before it sends anything. */
import type http from 'node:http';
import {watchConnection} from '@shallotpass/common/watch-connection.js';
import {type GatewayState} from '../gateway-state.js';
import {waitForPoll} from '../loop-monitor.js';

/** How far a call has come. `unread`: its request has not been looked at. */
export type CallStage = 'unread' | 'admitting' | 'waiting' | 'sent' | 'answering';

export type CallerPresence = {
	/** Aborted when nobody waits for the answer any more: the caller has left, or the deadline has passed. */
	readonly signal: AbortSignal;
	/** Written by the steps of the call. */
	stage: CallStage;
	/** Undefined while the caller has not left. */
	readonly getLeave: () => CallerLeave | undefined;
	/** Aborts the signal without the caller having left. */
	readonly expire: () => void;
	/** Stops watching; called when the call has ended. */
	readonly end: () => void;
};

export type CallerLeave = {
	/** When the close of its connection was seen, on the steady clock. */
	readonly seenAt: number;
	readonly stage: CallStage;
	/** For how long the close may have stood unread, in milliseconds. */
	readonly stoodMs: number;
};

/** Until when closes have been read for sure, by the signal of a call, on the steady clock. */
const readUntil = new WeakMap<AbortSignal, number>();

/** A close that stood unread for less is not waited for. */
const maxUnreadMs = 100;

type Clocked = Pick<GatewayState, 'clocks' | 'loop'>;

/** Reads the closes that stand unread. Returns whether anybody still waits for the answer. */
export const readCloses = async ({clocks}: Clocked, signal: AbortSignal): Promise<boolean> => {
	const startedAt = clocks.steady();
	await waitForPoll();
	readUntil.set(signal, startedAt);
	return !signal.aborted;
};

/** Whether anybody still waits for the answer of a call that is about to be sent. After a stall, closes that may stand unread are read first. */
export const confirmCallerWaits = async (gateway: Clocked, signal: AbortSignal): Promise<boolean> => {
	const unreadMs = Math.min(gateway.loop.getStandingMs(), gateway.clocks.steady() - (readUntil.get(signal) ?? Number.NEGATIVE_INFINITY));
	return unreadMs < maxUnreadMs ? !signal.aborted : readCloses(gateway, signal);
};

/** Watches the connection of a request until `end` is called. */
export const watchCaller = ({clocks, loop}: Pick<GatewayState, 'clocks' | 'loop'>, {socket}: http.IncomingMessage, response: http.ServerResponse): CallerPresence => {
	const controller = new AbortController();
	let leave: CallerLeave | undefined;
	const onClosed = (): void => {
		if (leave === undefined && !response.writableEnded) {
			leave = {seenAt: clocks.steady(), stage: presence.stage, stoodMs: loop.getStandingMs()};
			controller.abort();
		}
	};

	const presence: CallerPresence = {
		signal: controller.signal,
		stage: 'unread',
		getLeave: () => leave,
		expire() {
			controller.abort();
		},
		end() {
			stopWatching();
		},
	};
	const stopWatching = watchConnection(socket, onClosed);
	return presence;
};
