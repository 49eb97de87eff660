/** Asks peers; keeps one connection to each and replaces one that has gone silent. */
import {addMilliseconds, type Deadline} from '@shallotpass/common/types.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {type ByteCount, connectPeer, type PeerConnection} from './peer-connection.js';
import {
	peerMethods, type PeerMethod, type PeerParameters, type PeerResult,
} from './peer-methods.js';

export type PeerClient = {
	/** Asks the peer at the address; the answer is checked against the method's schema. */
	readonly ask: <Method extends PeerMethod>(address: string, method: Method, parameters: PeerParameters<Method>, deadline: Deadline) => Promise<PeerResult<Method>>;
	/** Closes the connection to a peer that is gone. */
	readonly forget: (address: string) => void;
	readonly bytes: Readonly<ByteCount>;
};

type PeerClientOptions = {
	readonly selfId: string;
	readonly localAddress: string;
	readonly keys: readonly string[];
	readonly now: () => number;
	readonly signal: AbortSignal;
};

/** Part of the time left that the first try may use; the rest is for a new connection. */
const firstTryShare = 0.5;

export const makePeerClient = ({selfId, localAddress, keys, now, signal}: PeerClientOptions): PeerClient => {
	const connections = new Map<string, Promise<PeerConnection>>();
	const bytes: ByteCount = {sent: 0, received: 0};

	const open = async (address: string, deadline: Deadline): Promise<PeerConnection> => {
		const opening = connectPeer({
			address, selfId, localAddress, keys, deadline, bytes, now, signal,
		});
		connections.set(address, opening);
		try {
			return await opening;
		} catch (error) {
			if (connections.get(address) === opening) {
				connections.delete(address);
			}

			throw error;
		}
	};

	const close = async (address: string): Promise<void> => {
		const opening = connections.get(address);
		connections.delete(address);
		try {
			const connection = await opening;
			connection?.close();
		} catch {
			// It was never open.
		}
	};

	const findOpen = async (address: string): Promise<PeerConnection | undefined> => {
		try {
			const connection = await connections.get(address);
			return connection?.isOpen() ? connection : undefined;
		} catch {
			return undefined;
		}
	};

	/**
	 * Something between the ends can lose track of an open connection, which then
	 * stays silent for good while new ones work. The first try over a kept
	 * connection gets half of the time; after that a new one decides. Every method
	 * may arrive twice without harm.
	 */
	const requestTwice = async (address: string, method: string, parameters: unknown, deadline: Deadline): Promise<unknown> => {
		const kept = await findOpen(address);
		if (kept !== undefined) {
			try {
				return await kept.request(method, parameters, addMilliseconds(now(), (deadline - now()) * firstTryShare));
			} catch {
				await close(address);
			}
		}

		const fresh = await open(address, deadline);
		return fresh.request(method, parameters, deadline);
	};

	return {
		async ask(address, method, parameters, deadline) {
			const reply = await requestTwice(address, method, parameters, deadline);
			const result = peerMethods[method].result.safeParse(reply);
			if (!result.success) {
				throw new ServingError(`peer ${address} answered ${method} with something else`, {kind: 'platform_unavailable'});
			}

			return result.data as never;
		},
		forget(address) {
			void close(address);
		},
		bytes,
	};
};
