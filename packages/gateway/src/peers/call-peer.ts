/** JSON-RPC requests to other daemons. */
import http from 'node:http';
import * as z from 'zod';
import {parseHostAndPort} from '../host-and-port.js';
import {peerResponseTimeoutMs} from '../hop-times.js';
import {limitInformationalHeads} from '../limit-informational-heads.js';
import {readMessage} from './read-message.js';

/** Timeout for the whole body. The list of thousands of backend servers takes several megabytes. */
const bodyTimeoutMs = 2500;

const peerAgent = new http.Agent({keepAlive: true, maxFreeSockets: 2});

export type PeerRequest = {
	readonly method: string;
	readonly params: unknown;
	/** Time until the response begins. */
	readonly responseTimeoutMs?: number;
};

const replySchema = z.object({result: z.unknown()});

/** Returns the result, of any form, or undefined if the peer does not answer, does not know the method, or its response is truncated or invalid. */
export const callPeer = async (address: string, {method, params, responseTimeoutMs = peerResponseTimeoutMs}: PeerRequest): Promise<unknown> => new Promise(resolve => {
	const {host, port} = parseHostAndPort(address);
	const request = http.request({
		host, port, method: 'POST', path: '/', agent: peerAgent, headers: {'Content-Type': 'application/json'},
	});
	const abortRequest = (): void => {
		request.destroy();
	};

	limitInformationalHeads(request, abortRequest);
	let timer = setTimeout(abortRequest, responseTimeoutMs);
	request.once('error', () => {
		resolve(undefined);
	});
	request.once('close', () => {
		clearTimeout(timer);
	});
	request.once('response', async response => {
		clearTimeout(timer);
		timer = setTimeout(abortRequest, bodyTimeoutMs);
		try {
			resolve(replySchema.parse(JSON.parse(await readMessage(response))).result);
		} catch {
			resolve(undefined);
		}
	});
	request.end(JSON.stringify({
		jsonrpc: '2.0', id: 1, method, params,
	}));
});
