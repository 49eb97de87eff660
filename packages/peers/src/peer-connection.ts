/** One connection to a peer, from the connecting end. */
import {type Socket, connect} from 'node:net';
import {type Deadline} from '@shallotpass/common/types.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {JSONRPCClient} from 'json-rpc-2.0';
import {makeClientHandshake, type SecureSession} from './handshake.js';
import {makeLineReader} from './line-reader.js';

export type ByteCount = {
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
	/** Own IP address, which the connection is made from. */
	readonly localAddress: string;
	readonly keys: readonly string[];
	readonly deadline: Deadline;
	readonly bytes: ByteCount;
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

const unreachable = (address: string, detail: string): ServingError =>
	new ServingError(`peer ${address} ${detail}`, {kind: 'platform_unavailable'});

const makeConnection = (socket: Socket, session: SecureSession, options: ConnectOptions): {connection: PeerConnection; receive: (line: string) => void} => {
	const client = new JSONRPCClient(payload => {
		const line = session.seal(JSON.stringify(payload));
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
				const answer: unknown = await client.timeout(timeoutMs).request(method, parameters);
				return answer;
			},
			close() {
				socket.destroy();
			},
		},
		receive(line) {
			const payload = session.open(line);
			if (payload === undefined) {
				// Someone between the ends alters or repeats lines; nothing that follows can be trusted.
				socket.destroy();
				return;
			}

			client.receive(JSON.parse(payload) as Parameters<typeof client.receive>[0]);
		},
	};
};

/** Connects and proves the shared key; rejects when that is not done by the deadline. */
export const connectPeer = async (options: ConnectOptions): Promise<PeerConnection> => new Promise((resolve, reject) => {
	const socket = connect({...splitAddress(options.address), localAddress: options.localAddress, noDelay: true});
	const handshake = makeClientHandshake(options.selfId, options.keys);
	let receive: ((line: string) => void) | undefined;

	const fail = (detail: string): void => {
		clearTimeout(timer);
		socket.destroy();
		reject(unreachable(options.address, detail));
	};

	const timer = setTimeout(() => {
		fail('did not shake hands in time');
	}, Math.max(1, options.deadline - options.now()));
	const end = () => {
		socket.destroy();
	};

	options.signal.addEventListener('abort', end, {once: true});
	socket.once('close', () => {
		options.signal.removeEventListener('abort', end);
		fail('closed the connection');
	});
	socket.on('error', error => {
		fail(error.message);
	});

	const shakeHands = (line: string): void => {
		const step = handshake.receive(line);
		if (step.kind !== 'reply' || step.session === undefined) {
			fail(step.kind === 'refused' ? `was refused: ${step.reason}` : 'answered out of turn');
			return;
		}

		options.bytes.sent += step.line.length;
		socket.write(step.line);
		const made = makeConnection(socket, step.session, options);
		receive = made.receive;
		clearTimeout(timer);
		resolve(made.connection);
	};

	const readLines = makeLineReader(line => {
		(receive ?? shakeHands)(line);
	});
	socket.on('data', chunk => {
		options.bytes.received += chunk.length;
		try {
			readLines(chunk);
		} catch (error) {
			fail(error instanceof Error ? error.message : 'sent what cannot be read');
		}
	});
	options.bytes.sent += handshake.opening!.length;
	socket.write(handshake.opening!);
});
