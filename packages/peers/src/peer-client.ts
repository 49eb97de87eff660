/** Sends requests to peers. Keeps one connection per peer and replaces it if it stops responding. */
import {addMilliseconds, type Deadline} from '@shallotpass/common/types.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {type ByteCounts, connectPeer, type PeerConnection} from './peer-connection.js';
import {
	peerMethods, type PeerMethod, type PeerParameters, type PeerResult,
} from './peer-methods.js';

export type PeerClient = {
	/** Sends a request to the peer at the address and validates the response against the method's schema. */
	readonly call: <Method extends PeerMethod>(address: string, method: Method, parameters: PeerParameters<Method>, deadline: Deadline) => Promise<PeerResult<Method>>;
	/** Closes the connection to a peer that has left. */
	readonly disconnect: (address: string) => void;
	readonly bytes: Readonly<ByteCounts>;
};

type PeerClientOptions = {
	readonly selfId: string;
	readonly localAddress: string;
	readonly keys: readonly string[];
	readonly now: () => number;
	readonly signal: AbortSignal;
};

/** Share of the remaining time for the attempt on an existing connection. The rest is left for a new connection. */
const firstAttemptTimeShare = 0.5;

export const makePeerClient = ({selfId, localAddress, keys, now, signal}: PeerClientOptions): PeerClient => {
	const connections = new Map<string, Promise<PeerConnection>>();
	const bytes: ByteCounts = {sent: 0, received: 0};

	const openConnection = async (address: string, deadline: Deadline): Promise<PeerConnection> => {
		const connecting = connectPeer({
			address, selfId, localAddress, keys, deadline, bytes, now, signal,
		});
		connections.set(address, connecting);
		try {
			return await connecting;
		} catch (error) {
			if (connections.get(address) === connecting) {
				connections.delete(address);
			}

			throw error;
		}
	};

	const closeConnection = async (address: string): Promise<void> => {
		const connecting = connections.get(address);
		connections.delete(address);
		try {
			const connection = await connecting;
			connection?.close();
		} catch {
			// The connection was never established.
		}
	};

	const findOpenConnection = async (address: string): Promise<PeerConnection | undefined> => {
		try {
			const connection = await connections.get(address);
			return connection?.isOpen() ? connection : undefined;
		} catch {
			return undefined;
		}
	};

	/**
	 * Sends the request on the existing connection and, if that fails, once more on a new connection.
	 * A firewall or NAT can drop an open connection without notifying either end, while new connections
	 * still work. The first attempt may therefore use only half of the time. Sending a request twice is
	 * safe because all peer methods are idempotent.
	 */
	const requestWithReconnect = async (address: string, method: string, parameters: unknown, deadline: Deadline): Promise<unknown> => {
		const existing = await findOpenConnection(address);
		if (existing !== undefined) {
			try {
				return await existing.request(method, parameters, addMilliseconds(now(), (deadline - now()) * firstAttemptTimeShare));
			} catch {
				await closeConnection(address);
			}
		}

		const replacement = await openConnection(address, deadline);
		return replacement.request(method, parameters, deadline);
	};

	return {
		async call(address, method, parameters, deadline) {
			const reply = await requestWithReconnect(address, method, parameters, deadline);
			const result = peerMethods[method].result.safeParse(reply);
			if (!result.success) {
				throw new ServingError(`peer ${address} answered ${method} with something else`, {kind: 'platform_unavailable'});
			}

			return result.data as never;
		},
		disconnect(address) {
			void closeConnection(address);
		},
		bytes,
	};
};
