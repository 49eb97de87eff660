/** Mutual authentication at the start of a peer connection, for the client and the server. */
import {randomBytes} from 'node:crypto';
import * as z from 'zod';
import {
	isTimingSafeEqual,
	makeLineVerifier,
	makeLineSigner,
	makeProof,
	makeSessionKey,
	nonceBytes,
	type LineVerifier,
	type LineSigner,
} from './authenticated-lines.js';

const helloSchema = z.object({id: z.string().min(1), nonce: z.string().min(16)});
const welcomeSchema = z.object({id: z.string().min(1), nonce: z.string().min(16), proof: z.string()});
const proofSchema = z.object({proof: z.string()});

export type PeerSession = {
	readonly peerId: string;
	readonly sign: LineSigner;
	readonly verify: LineVerifier;
};

export type HandshakeStep =
	| {readonly kind: 'reply'; readonly line: string; readonly session?: PeerSession}
	| {readonly kind: 'done'; readonly session: PeerSession}
	| {readonly kind: 'refused'; readonly reason: string};

export type Handshake = {
	/** First line to send. Only the client has one. */
	readonly firstLine?: string;
	readonly receive: (line: string) => HandshakeStep;
};

const parseLine = <Schema extends z.ZodType>(schema: Schema, line: string): z.output<Schema> | undefined => {
	try {
		return schema.safeParse(JSON.parse(line)).data;
	} catch {
		return undefined;
	}
};

const serializeLine = (value: unknown): string => `${JSON.stringify(value)}\n`;

const makeNonce = (): string => randomBytes(nonceBytes).toString('base64url');

/** Makes the client's side of the handshake. It uses the shared key that the server has proven to hold. */
export const makeClientHandshake = (clientId: string, keys: readonly string[]): Handshake => {
	const clientNonce = makeNonce();
	return {
		firstLine: serializeLine({id: clientId, nonce: clientNonce}),
		receive(line) {
			const welcome = parseLine(welcomeSchema, line);
			if (welcome === undefined) {
				return {kind: 'refused', reason: 'the peer does not speak this protocol'};
			}

			const transcript = {
				clientId, clientNonce, serverId: welcome.id, serverNonce: welcome.nonce,
			};
			const key = keys.find(candidate => isTimingSafeEqual(welcome.proof, makeProof({key: candidate, role: 'server', ...transcript})));
			if (key === undefined) {
				return {kind: 'refused', reason: 'the peer does not hold a shared key'};
			}

			const sessionKey = makeSessionKey({key, ...transcript});
			return {
				kind: 'reply',
				line: serializeLine({proof: makeProof({key, role: 'client', ...transcript})}),
				session: {peerId: welcome.id, sign: makeLineSigner(sessionKey, 'client'), verify: makeLineVerifier(sessionKey, 'server')},
			};
		},
	};
};

/**
 * Makes the server's side of the handshake. The server proves that it holds the first key of its list.
 * During a key rotation every daemon lists both keys, so that each one knows the other's first key.
 */
export const makeServerHandshake = (serverId: string, keys: readonly string[]): Handshake => {
	const serverNonce = makeNonce();
	let hello: z.output<typeof helloSchema> | undefined;
	const receiveHello = (line: string): HandshakeStep => {
		hello = parseLine(helloSchema, line);
		if (hello === undefined || keys[0] === undefined) {
			return {kind: 'refused', reason: hello === undefined ? 'the peer does not speak this protocol' : 'no shared key is configured'};
		}

		const transcript = {
			clientId: hello.id, clientNonce: hello.nonce, serverId, serverNonce,
		};
		return {kind: 'reply', line: serializeLine({id: serverId, nonce: serverNonce, proof: makeProof({key: keys[0], role: 'server', ...transcript})})};
	};

	return {
		receive(line) {
			if (hello === undefined) {
				return receiveHello(line);
			}

			const transcript = {
				clientId: hello.id, clientNonce: hello.nonce, serverId, serverNonce,
			};
			const clientProof = parseLine(proofSchema, line);
			const key = keys.find(candidate => clientProof !== undefined && isTimingSafeEqual(clientProof.proof, makeProof({key: candidate, role: 'client', ...transcript})));
			if (key === undefined) {
				return {kind: 'refused', reason: 'the peer does not hold a shared key'};
			}

			const sessionKey = makeSessionKey({key, ...transcript});
			return {
				kind: 'done',
				session: {peerId: hello.id, sign: makeLineSigner(sessionKey, 'server'), verify: makeLineVerifier(sessionKey, 'client')},
			};
		},
	};
};
