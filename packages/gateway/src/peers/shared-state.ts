/**
 * Serves the configuration, the backend servers and the members to other daemons by JSON-RPC. Daemons
 * that do not read the platform's store, or are refused by it, get them this way.
 */
import http from 'node:http';
import {listenAt} from '@shallotpass/common/listen.js';
import {JSONRPCServer} from 'json-rpc-2.0';
import {guardListener} from '@shallotpass/common/client-limits/guard-listener.js';
import {errorResponses} from '@shallotpass/common/error-kinds.js';
import {makeOwedAnswers} from '@shallotpass/common/owed-answers.js';
import {watchInput} from '@shallotpass/common/watch-input.js';
import {type ServingConfiguration} from '@shallotpass/core/calls/serving-configuration.js';
import {type PeerBackend, toPeerBackends} from '@shallotpass/core/directory/adopt-peer-directory.js';
import {ageVersions} from '@shallotpass/core/gossip/age-report.js';
import {type StoreVersions, storeVersionsSchema} from '@shallotpass/core/gossip/gossip-report.js';
import {type GossipMember} from '@shallotpass/core/gossip/pick-relays.js';
import {type StoreRole} from '@shallotpass/core/gossip/store-role.js';
import type * as z from 'zod';
import {formatBareError} from '../calls/format-bare-error.js';
import {peerCallPath} from '../calls/peer-call.js';
import {servePeerCall} from '../calls/serve-peer-call.js';
import {backendContactMethod, probeForPeer} from '../paths/ask-peer.js';
import {type DirectoryFollower} from '../store/follow-directory.js';
import {type GatewayState} from '../gateway-state.js';
import {parseHostAndPort} from '../host-and-port.js';
import {type MemberList} from './join-members.js';
import {readRequestMessage} from './read-message.js';

const {status: invalidRequestStatus} = errorResponses.invalid_request;

/** `members`: number of members known to the querying daemon. */
const sharedStateQuerySchema = storeVersionsSchema.pick({
	configurationVersion: true, directoryNext: true, directoryDigest: true, members: true,
});

export type SharedStateQuery = z.infer<typeof sharedStateQuerySchema>;

export type SharedState = Omit<StoreVersions, 'members'> & {
	/** Present if it is newer than the version in the query. */
	readonly configuration?: ServingConfiguration | undefined;
	/** Present if they are newer than those in the query and differ from them. */
	readonly backends?: readonly PeerBackend[];
	/** Present if this daemon knows more members than the querying one. */
	readonly members?: readonly GossipMember[];
};

export type SharedStateOptions = {
	readonly gateway: GatewayState;
	readonly directory: DirectoryFollower;
	readonly onConfiguration: () => void;
	readonly getStoreRole: () => StoreRole;
	readonly members: MemberList;
	readonly signal: AbortSignal;
};

/** Versions and ages of this daemon's copy of the store, for other daemons to compare. */
export const getStoreVersions = ({gateway, directory, members}: Pick<SharedStateOptions, 'gateway' | 'directory' | 'members'>): StoreVersions => {
	const {directory: {next}, digest, ageMs} = directory.read();
	return {
		configurationVersion: gateway.configuration?.configuration.version ?? -1,
		configurationAgeMs: Math.min(Number.MAX_SAFE_INTEGER, gateway.clocks.steady() - gateway.configurationCheckedAt),
		directoryNext: next,
		directoryDigest: digest,
		directoryAgeMs: Math.min(Number.MAX_SAFE_INTEGER, ageMs),
		storeAnswerAgeMs: Math.min(Number.MAX_SAFE_INTEGER, gateway.clocks.steady() - gateway.directoryStatus.storeAnsweredAt),
		members: members.list().length,
	};
};

const makeSharedState = (options: SharedStateOptions, query: SharedStateQuery): SharedState => {
	const {members: memberCount, ...known} = getStoreVersions(options);
	const configuration = options.gateway.configuration?.configuration;
	const hasOtherBackends = known.directoryNext > query.directoryNext && known.directoryDigest !== query.directoryDigest;
	return {
		...known,
		...(configuration !== undefined && configuration.version > query.configurationVersion && {configuration}),
		...(hasOtherBackends && {backends: toPeerBackends(options.directory.read().directory, options.gateway.clocks.steady())}),
		...(memberCount > query.members && {members: options.members.list()}),
	};
};

/** Returns the state of a peer as of now, if it was requested this long ago. A list that a slow link delays would otherwise confirm old data. */
export const ageSharedState = (state: SharedState, ms: number): SharedState => ({
	...ageVersions(state, ms),
	...(state.backends !== undefined && {
		backends: state.backends.map(backend => ({...backend, missingForMs: backend.missingForMs === undefined ? undefined : backend.missingForMs - ms})),
	}),
});

/** Serves JSON-RPC requests and calls of peers on this daemon's peer address. */
export const listenForPeers = async (options: SharedStateOptions): Promise<void> => {
	const {gateway, signal} = options;
	const rpc = new JSONRPCServer({
		errorListener(message, error) {
			gateway.log.write('failure', 'peer_request_failed', {error: `${message} ${String(error)}`});
		},
	});
	rpc.addMethod('shared_state', query => makeSharedState(options, sharedStateQuerySchema.parse(query)));
	rpc.addMethod(backendContactMethod, async query => probeForPeer(gateway, query));
	const handleRequest = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
		try {
			const reply = await rpc.receiveJSON(await readRequestMessage(request, gateway.heldBytes));
			response.setHeader('Content-Type', 'application/json');
			response.end(JSON.stringify(reply));
		} catch (error) {
			gateway.log.write('failure', 'peer_request_failed', {error: String(error)});
			response.writeHead(invalidRequestStatus, {'Content-Length': '0', Connection: 'close'}).end(); // eslint-disable-line @typescript-eslint/naming-convention -- names of fields
		}
	};

	// Unlike the gateway's, it counts messages too.
	const answers = makeOwedAnswers();

	const server = http.createServer({noDelay: true}, (request, response) => {
		if (!answers.add(request, response)) {
			request.resume();
			return;
		}

		if (request.url !== peerCallPath) {
			void handleRequest(request, response);
			return;
		}

		if (gateway.answers.add(request, response)) {
			void servePeerCall(gateway, request, response);
		}
	});
	watchInput({
		server, answers, formatError: formatBareError, refusesUpgrades: false,
		onUnreadable({reason}, socket) {
			gateway.log.write('failure', 'request_unreadable', {reason, owedAnswers: answers.countOn(socket)});
		},
	});
	guardListener({
		server, listener: 'peers', ledger: gateway.ledger, answers,
	});
	await listenAt(server, parseHostAndPort(gateway.settings.listen.peers));
	signal.addEventListener('abort', () => {
		server.close();
		server.closeAllConnections();
	}, {once: true});
};
