/** Client side of a connection to a peer. */
import {type Socket, connect} from 'node:net';
import {type Deadline} from '@shallotpass/common/types.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {JSONRPCClient} from 'json-rpc-2.0';
import {makeClientHandshake, type PeerSession} from './handshake.js';
import {makeLineReader} from './line-reader.js';

export type ByteCounts = {
	sent: number;
	received: number;
};

export type PeerConnection = {
	readonly peerId: string;
	readonly isOpen: () => boolean;
	readonly request: (method: string, parameters: unknown, deadline: Deadline) => Promise<unknown>;
	readonly close: () => void;
};

export type ConnectOptions = {
	readonly address: string;
	readonly selfId: string;
	/** Local IP address to connect from. */
	readonly localAddress: string;
	readonly keys: readonly string[];
	readonly deadline: Deadline;
	readonly bytes: ByteCounts;
	readonly now: () => number;
	readonly signal: AbortSignal;
};

export const splitAddress = (address: string): {host: string; port: number} => {
	const separator = address.lastIndexOf(':');
	return {
		host: address.slice(0, separator).replaceAll(/[\[\]]/gv, ''),
		port: Number(address.slice(separator + 1)),
	};
};

const makeUnreachableError = (address: string, detail: string): ServingError =>
	new ServingError(`peer ${address} ${detail}`, {kind: 'platform_unavailable'});

const makeConnection = (socket: Socket, session: PeerSession, options: ConnectOptions): {connection: PeerConnection; receive: (line: string) => void} => {
	const client = new JSONRPCClient(payload => {
		const line = session.sign(JSON.stringify(payload));
		options.bytes.sent += line.length;
		socket.write(line);
	});
	socket.once('close', () => {
		client.rejectAllPendingRequests(`the connection to ${options.address} was closed`);
	});
	return {
		connection: {
			peerId: session.peerId,
			isOpen: () => !socket.destroyed,
			async request(method, parameters, deadline) {
				const timeoutMs = Math.max(1, deadline - options.now());
				const result: unknown = await client.timeout(timeoutMs).request(method, parameters);
				return result;
			},
			close() {
				socket.destroy();
			},
		},
		receive(line) {
			const payload = session.verify(line);
			if (payload === undefined) {
				// The line was altered or replayed, so the connection is no longer trusted.
				socket.destroy();
				return;
			}

			client.receive(JSON.parse(payload) as Parameters<typeof client.receive>[0]);
		},
	};
};

/** Connects to a peer and completes the handshake. Rejects if this fails or takes longer than the deadline. */
export const connectPeer = async (options: ConnectOptions): Promise<PeerConnection> => new Promise((resolve, reject) => {
	const socket = connect({...splitAddress(options.address), localAddress: options.localAddress, noDelay: true});
	const handshake = makeClientHandshake(options.selfId, options.keys);
	let receive: ((line: string) => void) | undefined;

	const fail = (detail: string): void => {
		clearTimeout(timer);
		socket.destroy();
		reject(makeUnreachableError(options.address, detail));
	};

	const timer = setTimeout(() => {
		fail('did not shake hands in time');
	}, Math.max(1, options.deadline - options.now()));
	const destroySocket = () => {
		socket.destroy();
	};

	options.signal.addEventListener('abort', destroySocket, {once: true});
	socket.once('close', () => {
		options.signal.removeEventListener('abort', destroySocket);
		fail('closed the connection');
	});
	socket.on('error', error => {
		fail(error.message);
	});

	const handleHandshakeLine = (line: string): void => {
		const step = handshake.receive(line);
		if (step.kind !== 'reply' || step.session === undefined) {
			fail(step.kind === 'refused' ? `was refused: ${step.reason}` : 'answered out of turn');
			return;
		}

		options.bytes.sent += step.line.length;
		socket.write(step.line);
		const established = makeConnection(socket, step.session, options);
		receive = established.receive;
		clearTimeout(timer);
		resolve(established.connection);
	};

	const readLines = makeLineReader(line => {
		(receive ?? handleHandshakeLine)(line);
	});
	socket.on('data', chunk => {
		options.bytes.received += chunk.length;
		try {
			readLines(chunk);
		} catch (error) {
			fail(error instanceof Error ? error.message : 'sent what cannot be read');
		}
	});
	options.bytes.sent += handshake.firstLine!.length;
	socket.write(handshake.firstLine!);
});
