import {type AddressInfo, type Server} from 'node:net';

export type ListenAddress = {readonly host: string; readonly port: number};

/** Starts listening and returns the bound IP address and port. Rejects if the server cannot bind to the address. */
export const listenAt = async (server: Server, listenAddress: ListenAddress): Promise<string> => {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(listenAddress, () => {
			server.off('error', reject);
			resolve();
		});
	});
	const {address, port} = server.address() as AddressInfo;
	return address.includes(':') ? `[${address}]:${port}` : `${address}:${port}`;
};
