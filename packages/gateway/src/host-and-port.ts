/** Parses addresses of the form `10.1.0.16:8360`. */

export type HostAndPort = {
	readonly host: string;
	readonly port: number;
};

export const parseHostAndPort = (address: string): HostAndPort => {
	const colon = address.lastIndexOf(':');
	return {host: address.slice(0, colon), port: Number(address.slice(colon + 1))};
};
