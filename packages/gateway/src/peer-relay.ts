/**
 * Passes the configuration and the list of backend servers on between daemons by JSON-RPC, for
 * daemons that the platform's store turns away while it serves others.
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {JSONRPCServer} from 'json-rpc-2.0';
import {type ServingConfiguration} from '@shallotpass/core/calls/serving-configuration.js';
import {type BackendEntry, type Directory} from '@shallotpass/core/directory/types.js';
import {type Member} from '@shallotpass/core/news/pick-relays.js';
import {getConfigurationPollMs, takeConfiguration} from './follow-configuration.js';
import {type DirectoryFollower, getDirectoryPollMs} from './follow-directory.js';
import {type GatewayState, peerSilentMs} from './gateway-state.js';
import {parseHostAndPort} from './host-and-port.js';
import {pauseFor} from './pause.js';

/** Time beyond the polls of the store after which beliefs count as stale: for the answer, and for asking a relay. */
const staleMarginMs = 900;

const askEveryMs = 300;

/** A daemon that others follow the store for asks this often; with their own polls what is new arrives within the bounds of leaving backend servers. */
const askRelayEveryMs = 450;

const askTimeoutMs = 300;

/** A configuration of 350 routes has 100 kB; this bounds what a peer is believed to send. */
const maxReplyBytes = 16_777_216;

type BeliefsQuery = {
	readonly configurationVersion: number;
	readonly directoryNext: number;
};

type Beliefs = {
	/** Present when it is newer than the version of the query. */
	readonly configuration?: ServingConfiguration;
	readonly configurationVersion: number;
	readonly configurationAgeMs: number;
	/** Present when it is newer than that of the query. */
	readonly backends?: ReadonlyArray<{readonly entry: BackendEntry; readonly offset: number}>;
	readonly directoryNext: number;
	readonly directoryAgeMs: number;
};

export type RelayOptions = {
	readonly gateway: GatewayState;
	readonly directory: DirectoryFollower;
	readonly onConfiguration: () => void;
	/** Relays that follow the store for this daemon; empty when it follows itself. */
	readonly listRelays: () => readonly Member[];
	readonly signal: AbortSignal;
};

const getBeliefs = ({gateway, directory}: RelayOptions, query: BeliefsQuery): Beliefs => {
	const configuration = gateway.configuration?.configuration;
	const {directory: known, ageMs} = directory.read();
	return {
		...(configuration !== undefined && configuration.version > query.configurationVersion && {configuration}),
		configurationVersion: configuration?.version ?? -1,
		configurationAgeMs: Math.min(Number.MAX_SAFE_INTEGER, gateway.clocks.steady() - gateway.configurationCheckedAt),
		...(known.next > query.directoryNext && {backends: [...known.backends.values()].map(({entry, offset}) => ({entry, offset}))}),
		directoryNext: known.next,
		directoryAgeMs: Math.min(Number.MAX_SAFE_INTEGER, ageMs),
	};
};

const readAll = async (stream: http.IncomingMessage): Promise<string> => {
	const chunks: Buffer[] = [];
	let bytes = 0;
	for await (const chunk of stream as AsyncIterable<Buffer>) {
		bytes += chunk.length;
		if (bytes > maxReplyBytes) {
			throw new Error('the peer sends too much');
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
};

/** Answers peers on this daemon's peer address. */
export const listenForPeers = async (options: RelayOptions): Promise<void> => {
	const {gateway, signal} = options;
	const rpc = new JSONRPCServer();
	rpc.addMethod('beliefs', (query: BeliefsQuery) => getBeliefs(options, query));
	const answer = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
		try {
			const reply = await rpc.receiveJSON(await readAll(request));
			response.setHeader('Content-Type', 'application/json');
			response.end(JSON.stringify(reply));
		} catch (error) {
			gateway.log.write('failure', 'peer_request_failed', {error: String(error)});
			response.destroy();
		}
	};

	const server = http.createServer((request, response) => {
		void answer(request, response);
	});
	const {host, port} = parseHostAndPort(gateway.settings.listen.peers);
	await new Promise<void>(resolve => {
		server.listen({host, port}, resolve);
	});
	signal.addEventListener('abort', () => {
		server.close();
		server.closeAllConnections();
	}, {once: true});
};

const askAgent = new http.Agent({keepAlive: true, maxFreeSockets: 2});

const askPeer = async (address: string, query: BeliefsQuery): Promise<Beliefs | undefined> => new Promise(resolve => {
	const {host, port} = parseHostAndPort(address);
	const request = http.request({
		host, port, method: 'POST', path: '/', agent: askAgent, headers: {'Content-Type': 'application/json'},
	});
	const timer = setTimeout(() => {
		request.destroy();
	}, askTimeoutMs);
	request.once('error', () => {
		// A peer that does not answer is skipped; another is asked at the next tick.
		resolve(undefined);
	});
	request.once('close', () => {
		clearTimeout(timer);
	});
	request.once('response', async response => {
		try {
			const reply = JSON.parse(await readAll(response)) as {result?: Beliefs};
			resolve(reply.result);
		} catch {
			// Cut off or not JSON: as if it had not answered.
			resolve(undefined);
		}
	});
	request.end(JSON.stringify({
		jsonrpc: '2.0', id: 1, method: 'beliefs', params: query,
	}));
});

const takeBeliefs = ({gateway, directory, onConfiguration}: RelayOptions, beliefs: Beliefs): void => {
	if (beliefs.configuration !== undefined && takeConfiguration(gateway, beliefs.configuration, 'peer')) {
		onConfiguration();
	}

	const version = gateway.configuration?.configuration.version ?? -1;
	if (beliefs.configurationVersion === version) {
		gateway.configurationCheckedAt = Math.max(gateway.configurationCheckedAt, gateway.clocks.steady() - beliefs.configurationAgeMs);
	}

	const backends: Directory['backends'] = beliefs.backends === undefined
		? directory.read().directory.backends
		: new Map(beliefs.backends.map(known => [known.entry.id, {...known, missingUntil: undefined}]));
	if (beliefs.backends !== undefined || beliefs.directoryNext === directory.read().directory.next) {
		directory.takeFromPeer({backends, next: beliefs.directoryNext}, beliefs.directoryAgeMs);
	}
};

const listAddresses = (gateway: GatewayState): string[] => {
	const since = gateway.clocks.steady() - peerSilentMs;
	const heard = [...gateway.peers.values()].filter(peer => peer.heardAt >= since).map(peer => peer.address);
	const seeds = gateway.settings.peers.seeds.filter(address => address !== gateway.settings.listen.peers);
	return heard.length > 0 ? heard : seeds;
};

/** Whether the daemon's beliefs are older than following the store leaves them. */
const isStale = ({gateway, directory}: RelayOptions): boolean => {
	const {bounds} = gateway.settings;
	const configurationAge = gateway.clocks.steady() - gateway.configurationCheckedAt;
	return configurationAge >= getConfigurationPollMs(bounds) + staleMarginMs || directory.read().ageMs >= getDirectoryPollMs(bounds) + staleMarginMs;
};

/** Whether relays follow the store for this daemon, and do it well. */
export const isServedByRelays = (options: RelayOptions): boolean => options.listRelays().length > 0 && !isStale(options);

/** Asks the relays of its zone, or any peer while this daemon's own beliefs are stale. */
export const askPeers = async (options: RelayOptions): Promise<void> => {
	const {gateway, directory, signal} = options;
	while (!signal.aborted) {
		const relays = options.listRelays();
		// eslint-disable-next-line no-await-in-loop -- a tick after the other
		await pauseFor(relays.length > 0 ? askRelayEveryMs : askEveryMs, signal);
		const hasStaleBeliefs = isStale(options);
		if (relays.length === 0 && !hasStaleBeliefs) {
			continue;
		}

		const addresses = relays.length > 0 && gateway.random() < 0.8 ? relays.map(relay => relay.address) : listAddresses(gateway);
		const address = addresses[Math.floor(gateway.random() * addresses.length)];
		if (address === undefined) {
			continue;
		}

		// eslint-disable-next-line no-await-in-loop -- a tick after the other
		const beliefs = await askPeer(address, {
			configurationVersion: gateway.configuration?.configuration.version ?? -1,
			directoryNext: directory.read().directory.next,
		});
		if (beliefs !== undefined) {
			takeBeliefs(options, beliefs);
		}
	}
};
