/** Asks another daemon whether it reaches a backend server that this one does not reach. */
import * as z from 'zod';
import {type BackendState} from '../calls/backend-registry.js';
import {type GatewayState} from '../gateway-state.js';
import {callPeer} from '../peers/call-peer.js';
import {pickPeer} from '../peers/pick-peer.js';
import {canConnect} from './can-connect.js';
import {recordPathFailure, recordPathSuccess} from './track-paths.js';

export const backendContactMethod = 'backend_contact';

const backendContactQuery = z.object({incarnation: z.string()});

const backendContactSchema = z.enum(['reached', 'unreached', 'unknown']);

export type BackendContact = z.infer<typeof backendContactSchema>;

/** The peer itself probes the backend server before it answers. */
const responseTimeoutMs = 600;

export const askPeerForBackend = async (gateway: GatewayState, {incarnation}: BackendState): Promise<BackendContact> => {
	const peer = pickPeer(gateway, {triedAddresses: new Set(), keepsOrigins: false});
	if (peer === undefined) {
		return 'unknown';
	}

	const result = await callPeer(peer.address, {method: backendContactMethod, params: {incarnation}, responseTimeoutMs});
	return backendContactSchema.safeParse(result).data ?? 'unknown';
};

/** Answers a peer's question. */
export const probeForPeer = async (gateway: GatewayState, query: unknown): Promise<BackendContact> => {
	const {incarnation} = backendContactQuery.parse(query);
	const state = [...gateway.registry.byId.values()].find(candidate => candidate.incarnation === incarnation);
	if (state === undefined) {
		return 'unknown';
	}

	const startedAt = gateway.clocks.steady();
	if (await canConnect(gateway.registry.openConnection, state.entry.address)) {
		recordPathSuccess(gateway, incarnation);
		return 'reached';
	}

	recordPathFailure(gateway, state, startedAt);
	return 'unreached';
};
