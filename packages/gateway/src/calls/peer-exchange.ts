/** A single request that carries a call to a peer. */
import http from 'node:http';
import {soundSilenceMs} from '@shallotpass/core/retries/silence-timeout.js';
import {parseHostAndPort} from '../host-and-port.js';
import {type Exchange} from './backend-exchange.js';
import {
	closeRequest, openCallRequest, resetRequest, wasGivenUp,
} from './open-call-request.js';
import {peerCallPath} from './peer-call.js';
import {type SendPermit} from './send-permit.js';

/** Timeout of a new connection to a peer. */
const connectTimeoutMs = 150;

/** Time until a peer confirms that it has received a call, and more for each byte of a large one. After it the call is better offered to another one as well. */
const confirmationTimeoutMs = 300;

/** Further time after which the link counts as dead. The process of a sound peer may stand for a second. */
const confirmationGraceMs = soundSilenceMs - confirmationTimeoutMs;
const slowestBytesPerMs = 500;

/** Idle connections are closed soon: one that was dropped on the way fails only by a timeout. */
const maxIdleMs = 1000;

const agent = new http.Agent({
	keepAlive: true, noDelay: true, maxFreeSockets: 8, timeout: maxIdleMs,
});

/** `isSent`: whether the peer may have received the call. `isConfirmed`: whether it has told so. */
export type PeerReply =
	| {readonly kind: 'response'; readonly response: http.IncomingMessage}
	| {readonly kind: 'failed'; readonly reason: string; readonly isSent: boolean; readonly isConfirmed: boolean};

export type PeerExchange = {
	readonly reply: Promise<PeerReply>;
	readonly exchange: Omit<Exchange, 'result'>;
	readonly hasFailed: () => boolean;
};

/** The exchange of a call that was not sent, as nobody waits for its answer. */
const unsentExchange: PeerExchange = {
	reply: Promise.resolve({
		kind: 'failed', reason: 'given_up', isSent: false, isConfirmed: false,
	}),
	hasFailed: () => true,
	exchange: {
		abort() {/* Nothing was sent. */},
		reset() {/* Nothing was sent. */},
	},
};

export type PeerExchangeOptions = {
	/** Whether the call is given up if the peer does not confirm it. */
	readonly mayGiveUp: boolean;
	/** Called if the peer is late to confirm the call. Undefined if the call is given up then. */
	readonly onDoubt?: (() => void) | undefined;
	readonly permit: SendPermit;
	readonly signal: AbortSignal;
};

/** Sends the message to the peer. */
export const startPeerExchange = (address: string, message: Uint8Array, {mayGiveUp, onDoubt, permit, signal}: PeerExchangeOptions): PeerExchange => {
	const {host, port} = parseHostAndPort(address);
	const request = openCallRequest({
		request: {
			agent, host, port, method: 'POST', path: peerCallPath, headers: {'Content-Length': String(message.length)},
		},
		permit,
		signal,
		giveUp: resetRequest,
	});
	if (request === undefined) {
		return unsentExchange;
	}

	let isSent = false;
	let isConfirmed = false;
	let hasFailed = false;
	let reason: string | undefined;
	let timer: NodeJS.Timeout | undefined;
	const giveUp = (why: string) => (): void => {
		reason = why;
		resetRequest(request);
	};

	const send = (): void => {
		isSent = true;
		clearTimeout(timer);
		request.end(message);
		const giveUpSilent = giveUp('silent');
		const onLate = (): void => {
			if (onDoubt === undefined) {
				giveUpSilent();
				return;
			}

			timer = setTimeout(giveUpSilent, confirmationGraceMs);
			onDoubt();
		};

		if (mayGiveUp) {
			timer = setTimeout(onLate, confirmationTimeoutMs + (message.length / slowestBytesPerMs));
		}
	};

	const reply = new Promise<PeerReply>(resolve => {
		request.on('socket', socket => {
			if (!socket.connecting) {
				send();
				return;
			}

			timer = setTimeout(giveUp('connect_timeout'), connectTimeoutMs);
			socket.once('connect', send);
		});
		request.on('information', () => {
			isConfirmed = true;
			clearTimeout(timer);
		});
		request.on('response', response => {
			clearTimeout(timer);
			resolve({kind: 'response', response});
		});
		const fail = (why: string): void => {
			hasFailed = true;
			clearTimeout(timer);
			resolve({
				kind: 'failed', reason: reason ?? why, isSent, isConfirmed,
			});
		};

		request.on('error', error => {
			fail((error as NodeJS.ErrnoException).code ?? error.message);
		});
		request.on('close', () => {
			clearTimeout(timer);
			resolve({
				kind: 'failed', reason: reason ?? 'closed', isSent, isConfirmed,
			});
		});
	});
	return {
		reply, hasFailed: () => hasFailed || wasGivenUp(request), exchange: {
			abort() {
				closeRequest(request);
			},
			reset() {
				resetRequest(request);
			},
		},
	};
};
