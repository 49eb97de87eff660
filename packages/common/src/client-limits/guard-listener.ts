/** Bounds what the clients of an HTTP listener can make the process hold: connections, requests ahead, heads, and input that waits. */
import type http from 'node:http';
import type net from 'node:net';
import {closeGently} from '../close-gently.js';
import {type OwedAnswers} from '../owed-answers.js';
import {type ClientLedger} from './client-ledger.js';
import {type ListenerName} from './client-limits.js';
import {type GateRules, openInputGate} from './input-gate.js';

export type GuardOptions = {
	readonly server: http.Server;
	readonly listener: ListenerName;
	readonly ledger: ClientLedger;
	/** Knows all requests of the server. */
	readonly answers: OwedAnswers;
	/** Answers that may be owed on a connection before a further request of it is read. */
	readonly getMaxAhead?: () => number;
	/** Bytes of a head, or of trailers, as they are sent. */
	readonly getMaxFieldBytes?: () => number;
	/** Sent on a connection for which there is no room. */
	readonly refusal?: string;
};

/** A client that sends more requests ahead waits for its answers. */
export const usualMaxAhead = 8;

/** The same while much is held. */
const tightMaxAhead = 1;

/** Four times what Node's parser counts at least, as a field of one letter takes four bytes. */
export const usualMaxFieldBytes = 65_536;

/** Says that nothing of the connection has run, nor will. */
const bareRefusal = 'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1\r\nConnection: close\r\n\r\n';

/** A client that is refused for want of descriptors holds one of them no longer than its refusal needs. */
const refusalBounds = {withinMs: 500, discardedBytes: 65_536};

/** What Node reports of a head that is too large. */
const makeOverflowError = (): Error => Object.assign(new Error('the fields are too large'), {code: 'HPE_HEADER_OVERFLOW'});

/** Connections that are told so at a time. Further ones are closed, as each takes a descriptor. */
const maxRefusals = 16;

const refuseConnection = (socket: net.Socket, answers: OwedAnswers, refusal: string): void => {
	socket.on('error', () => {/* It is closed in any case. */});
	answers.endOn(socket);
	socket.write(refusal);
	closeGently(socket, refusalBounds);
};

/** To be called before the server listens, and after all else that handles its connections was attached. */
export const guardListener = ({server, listener, ledger, answers, getMaxAhead = () => usualMaxAhead, getMaxFieldBytes = () => usualMaxFieldBytes, refusal = bareRefusal}: GuardOptions): void => {
	const rules: GateRules = {
		answers,
		getMaxAhead: () => ledger.isTight() ? tightMaxAhead : getMaxAhead(),
		getMaxFieldBytes,
		onTooManyFieldBytes(socket) {
			if (!server.emit('clientError', makeOverflowError(), socket)) {
				socket.destroy();
			}
		},
		charge: ledger.charge,
	};

	let refusals = 0;
	server.on('connection', (socket: net.Socket) => {
		const account = ledger.open(socket, listener, answers);
		if (account === undefined && refusals >= maxRefusals) {
			socket.destroy();
			return;
		}

		if (account === undefined) {
			refusals++;
			socket.once('close', () => {
				refusals--;
			});
			refuseConnection(socket, answers, refusal);
			return;
		}

		openInputGate(account, rules);
	});
};
