/**
 * Preloaded into a daemon to give it a link of its own to each backend server. Connections to a backend server go through the
 * relay that the file named by DAEMON_LINKS_FILE assigns to it, and new ones fail as the file says. Datagrams to other daemons are lost as a file beside it says.
 */
import dgram from 'node:dgram';
import {readFileSync} from 'node:fs';
import net from 'node:net';
import process from 'node:process';

export type LinkFailure = 'silent' | 'reset' | 'refused';

export type DaemonLinks = {
	/** How new connections to backend servers fail. Undefined while they work. */
	readonly failure?: LinkFailure;
	/** Addresses of backend servers that have crashed, at which nothing listens. */
	readonly crashed?: readonly string[];
	/** Address of a backend server → address of the relay of this daemon's link to it. */
	readonly relays: Readonly<Record<string, string>>;
};

export type DatagramFaults = {
	/** Share of the datagrams that are lost. */
	readonly lossShare: number;
	/** Hosts that no datagram reaches. */
	readonly unreachable: readonly string[];
};

export const noDatagramFaults: DatagramFaults = {lossShare: 0, unreachable: []};

/** Path of the file with the datagram faults, beside that of the links. */
export const toDatagramFaultsPath = (path: string): string => `${path}.datagrams`;

const linksPath = process.env.DAEMON_LINKS_FILE;

/** Nothing listens on this port. */
const closedPort = 1;

const readLinks = (): DaemonLinks => linksPath === undefined ? {relays: {}} : JSON.parse(readFileSync(linksPath, 'utf8')) as DaemonLinks;

const connectDirectly = net.connect;

const connectByLink = (options: net.TcpNetConnectOpts): net.Socket => {
	const {failure, crashed, relays} = readLinks();
	const address = `${options.host}:${options.port}`;
	const relay = relays[address];
	if (relay === undefined) {
		return connectDirectly(options);
	}

	switch (failure ?? (crashed?.includes(address) === true ? 'refused' : undefined)) {
		case 'silent': {
			return connectDirectly({...options, host: 'unanswered.invalid', lookup() {/* Never calls back. */}});
		}

		case 'reset':
		case 'refused': {
			return connectDirectly({...options, host: '127.0.0.1', port: closedPort});
		}

		case undefined: {
			const [host, port] = relay.split(':');
			return connectDirectly({...options, host: host!, port: Number(port)});
		}
	}
};

/** The file is read again after this time. */
const rereadFaultsMs = 50;

let datagramFaults = noDatagramFaults;
let rereadAt = 0;

const readDatagramFaults = (): DatagramFaults => {
	if (linksPath !== undefined && performance.now() >= rereadAt) {
		rereadAt = performance.now() + rereadFaultsMs;
		datagramFaults = JSON.parse(readFileSync(toDatagramFaultsPath(linksPath), 'utf8')) as DatagramFaults;
	}

	return datagramFaults;
};

if (linksPath !== undefined) {
	net.connect = connectByLink as typeof net.connect;
	const sendDirectly = dgram.Socket.prototype.send as (this: dgram.Socket, message: Uint8Array, port: number, address: string) => void;
	dgram.Socket.prototype.send = function (this: dgram.Socket, message: Uint8Array, port: number, address: string): void {
		const {lossShare, unreachable} = readDatagramFaults();
		if (!unreachable.includes(address) && Math.random() >= lossShare) {
			sendDirectly.call(this, message, port, address);
		}
	} as dgram.Socket['send'];
}
