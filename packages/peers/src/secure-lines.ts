/**
 * Authenticated lines over a socket. Both ends prove that they hold a shared key
 * over nonces of both, and each line then carries a code over its direction and
 * number; so a stranger, an altered line, a repeated line and one from another
 * connection are all refused. Lines are not encrypted: peers talk inside the
 * platform's network.
 */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';

/** 22 characters of base64url carry 132 bits of the code. */
const codeCharacters = 22;

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

const sign = (key: string | Uint8Array, text: string): string => createHmac('sha256', key).update(text).digest('base64url');

/** Proof of holding the key, bound to both ends and to this connection. */
export const makeProof = ({key, role, clientId, clientNonce, serverId, serverNonce}: ProofOptions): string =>
	sign(key, JSON.stringify(['proof', role, clientId, clientNonce, serverId, serverNonce]));

/** Key of one connection. */
export const makeSessionKey = ({key, clientId, clientNonce, serverId, serverNonce}: Omit<ProofOptions, 'role'>): Uint8Array =>
	createHmac('sha256', key).update(JSON.stringify(['session', clientId, clientNonce, serverId, serverNonce])).digest();

export const isSameText = (left: string, right: string): boolean => {
	const leftBytes = Buffer.from(left);
	const rightBytes = Buffer.from(right);
	return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
};

const makeCode = (sessionKey: Uint8Array, direction: LineDirection, sequence: number, payload: string): string =>
	sign(sessionKey, `${direction} ${sequence} ${payload}`).slice(0, codeCharacters);

export type LineSealer = (payload: string) => string;

/** Makes the function that turns a payload into the next line of its direction. */
export const makeLineSealer = (sessionKey: Uint8Array, direction: LineDirection): LineSealer => {
	let sequence = 0;
	return payload => {
		const line = `${makeCode(sessionKey, direction, sequence, payload)}${payload}\n`;
		sequence++;
		return line;
	};
};

export type LineOpener = (line: string) => string | undefined;

/** Makes the function that gives the payload of the next line, or undefined when the line is not the peer's next one. */
export const makeLineOpener = (sessionKey: Uint8Array, direction: LineDirection): LineOpener => {
	let sequence = 0;
	return line => {
		const payload = line.slice(codeCharacters);
		const isGenuine = isSameText(line.slice(0, codeCharacters), makeCode(sessionKey, direction, sequence, payload));
		sequence++;
		return isGenuine ? payload : undefined;
	};
};
