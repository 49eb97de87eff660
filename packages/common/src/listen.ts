import {type AddressInfo, type Server} from 'node:net';

export type ListenAt = {readonly host: string; readonly port: number};

/** Starts listening and gives the address that was got, as IP address and port; rejects when it cannot be had. */
export const listenAt = async (server: Server, at: ListenAt): Promise<string> => {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(at, resolve);
	});
	const {address, port} = server.address() as AddressInfo;
	return address.includes(':') ? `[${address}]:${port}` : `${address}:${port}`;
};
