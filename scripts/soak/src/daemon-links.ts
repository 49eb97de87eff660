/**
 * Preloaded into a daemon to give it a link of its own to each backend server. Connections to a backend server go through the
 * relay that the file named by DAEMON_LINKS_FILE assigns to it, and new ones fail as the file says.
 */
import {readFileSync} from 'node:fs';
import net from 'node:net';
import process from 'node:process';

export type LinkFailure = 'silent' | 'reset' | 'refused';

export type DaemonLinks = {
	/** How new connections to backend servers fail. Undefined while they work. */
	readonly failure?: LinkFailure;
	/** Address of a backend server → address of the relay of this daemon's link to it. */
	readonly relays: Readonly<Record<string, string>>;
};

const linksPath = process.env.DAEMON_LINKS_FILE;

/** Nothing listens on this port. */
const closedPort = 1;

const readLinks = (): DaemonLinks => linksPath === undefined ? {relays: {}} : JSON.parse(readFileSync(linksPath, 'utf8')) as DaemonLinks;

const connectDirectly = net.connect;

const connectByLink = (options: net.TcpNetConnectOpts): net.Socket => {
	const {failure, relays} = readLinks();
	const relay = relays[`${options.host}:${options.port}`];
	if (relay === undefined) {
		return connectDirectly(options);
	}

	switch (failure) {
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

net.connect = connectByLink as typeof net.connect;
