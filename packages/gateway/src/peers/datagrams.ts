/** Datagrams between daemons: JSON-RPC notifications, and requests whose answers come back the same way. Any of them may be lost. */
import {Buffer} from 'node:buffer';
import dgram from 'node:dgram';
import {
	createJSONRPCNotification, type JSONRPCResponse, JSONRPCClient, JSONRPCServer,
} from 'json-rpc-2.0';
import * as z from 'zod';
import {type GatewayState} from '../gateway-state.js';
import {parseHostAndPort} from '../host-and-port.js';

export type Datagrams = {
	readonly notify: (address: string, method: string, parameters: unknown) => void;
	/** Asks a daemon. Rejects if no answer arrives in time. */
	readonly request: (address: string, method: string, parameters: unknown, timeoutMs: number) => Promise<unknown>;
	/** Sets the handler of a method, which gets the sender's address too. What it returns answers a request. */
	readonly handle: (method: string, handler: (parameters: unknown, sender: string) => unknown) => void;
};

const messageSchema = z.object({id: z.union([z.string(), z.number()]).optional(), method: z.string().optional()});

/** Opens the socket on the address for daemons. It is closed when the signal is aborted. */
export const openDatagrams = async (gateway: GatewayState, signal: AbortSignal): Promise<Datagrams> => {
	const socket = dgram.createSocket('udp4');
	const server = new JSONRPCServer<string>({
		errorListener(message, error) {
			gateway.log.write('failure', 'gossip_unreadable', {error: `${message} ${String(error)}`});
		},
	});
	const send = (address: string, message: unknown): void => {
		const target = parseHostAndPort(address);
		try {
			socket.send(Buffer.from(JSON.stringify(message)), target.port, target.host);
		} catch (error) {
			// The address of another daemon may be one to which nothing can be sent.
			gateway.log.write('failure', 'peer_socket_failed', {error: `${address}: ${String(error)}`});
		}
	};

	const client = new JSONRPCClient<string>((message, address) => {
		send(address, message);
	});

	const receive = async (message: Buffer, sender: string): Promise<void> => {
		const parsed: unknown = JSON.parse(message.toString('utf8'));
		const {id, method} = messageSchema.parse(parsed);
		if (method === undefined) {
			client.receive(parsed as JSONRPCResponse);
			return;
		}

		const response = await server.receive(parsed as Parameters<typeof server.receive>[0], sender);
		if (response !== null && id !== undefined && !signal.aborted) {
			send(sender, response);
		}
	};

	socket.on('message', async (message, {address, port}) => {
		try {
			await receive(message, `${address}:${port}`);
		} catch (error) {
			gateway.log.write('failure', 'gossip_unreadable', {error: String(error)});
		}
	});
	socket.on('error', error => {
		gateway.log.write('failure', 'peer_socket_failed', {error: error.message});
	});
	const {host, port} = parseHostAndPort(gateway.settings.listen.peers);
	await new Promise<void>((resolve, reject) => {
		socket.once('error', reject);
		socket.bind({address: host, port}, () => {
			socket.off('error', reject);
			resolve();
		});
	});
	signal.addEventListener('abort', () => {
		socket.close();
	}, {once: true});
	return {
		notify(address, method, parameters) {
			if (!signal.aborted) {
				send(address, createJSONRPCNotification(method, parameters as Parameters<typeof createJSONRPCNotification>[1]));
			}
		},
		async request(address, method, parameters, timeoutMs) {
			return client.timeout(timeoutMs).request(method, parameters as Parameters<typeof createJSONRPCNotification>[1], address) as Promise<unknown>;
		},
		handle(method, handler) {
			server.addMethod(method, handler);
		},
	};
};
