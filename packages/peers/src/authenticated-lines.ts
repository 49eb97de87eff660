/**
 * Authenticated lines over a socket. Both ends prove that they hold a shared key by an HMAC over
 * the nonces of both. Each line then carries a message authentication code (MAC) over its direction,
 * sequence number and payload. This detects peers without the key and lines that were altered,
 * replayed or taken from another connection. Lines are not encrypted, because peers communicate
 * inside the platform's network.
 */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';

/** The MAC is truncated to 22 base64url characters, which hold 132 bits. */
const macCharacters = 22;

export const nonceBytes = 16;

export type LineDirection = 'client' | 'server';

type ProofOptions = {
	readonly key: string;
	readonly role: LineDirection;
	readonly clientId: string;
	readonly clientNonce: string;
	readonly serverId: string;
	readonly serverNonce: string;
};

const computeHmac = (key: string | Uint8Array, text: string): string => createHmac('sha256', key).update(text).digest('base64url');

/** Computes the proof of possession of a shared key, bound to both peers and to this connection. */
export const makeProof = ({key, role, clientId, clientNonce, serverId, serverNonce}: ProofOptions): string =>
	computeHmac(key, JSON.stringify(['proof', role, clientId, clientNonce, serverId, serverNonce]));

/** Derives the session key of a connection from the shared key. */
export const makeSessionKey = ({key, clientId, clientNonce, serverId, serverNonce}: Omit<ProofOptions, 'role'>): Uint8Array =>
	createHmac('sha256', key).update(JSON.stringify(['session', clientId, clientNonce, serverId, serverNonce])).digest();

export const isTimingSafeEqual = (left: string, right: string): boolean => {
	const leftBytes = Buffer.from(left);
	const rightBytes = Buffer.from(right);
	return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
};

const computeMac = (sessionKey: Uint8Array, direction: LineDirection, sequence: number, payload: string): string =>
	computeHmac(sessionKey, `${direction} ${sequence} ${payload}`).slice(0, macCharacters);

export type LineSigner = (payload: string) => string;

/** Makes a function that prefixes a payload with its MAC and returns it as the next line in the direction. */
export const makeLineSigner = (sessionKey: Uint8Array, direction: LineDirection): LineSigner => {
	let sequence = 0;
	return payload => {
		const line = `${computeMac(sessionKey, direction, sequence, payload)}${payload}\n`;
		sequence++;
		return line;
	};
};

export type LineVerifier = (line: string) => string | undefined;

/** Makes a function that returns the payload of the next line, or undefined if the MAC does not match the next sequence number. */
export const makeLineVerifier = (sessionKey: Uint8Array, direction: LineDirection): LineVerifier => {
	let sequence = 0;
	return line => {
		const payload = line.slice(macCharacters);
		const isValid = isTimingSafeEqual(line.slice(0, macCharacters), computeMac(sessionKey, direction, sequence, payload));
		sequence++;
		return isValid ? payload : undefined;
	};
};
