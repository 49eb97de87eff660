import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {makeLineVerifier, makeLineSigner, makeSessionKey} from './authenticated-lines.js';

const transcript = {
	clientId: 'a', clientNonce: 'nonce-of-the-client', serverId: 'b', serverNonce: 'nonce-of-the-server',
};
const sessionKey = makeSessionKey({key: 'a shared key of the peers', ...transcript});

test('lines in order are verified', () => {
	fc.assert(fc.property(fc.array(fc.string(), {maxLength: 10}), payloads => {
		const sign = makeLineSigner(sessionKey, 'client');
		const verify = makeLineVerifier(sessionKey, 'client');
		assert.deepEqual(payloads.map(payload => verify(sign(payload).slice(0, -1))), payloads);
	}), {seed: 7});
});

test('a line that is out of order, from the other direction or from another connection is rejected', () => {
	const sign = makeLineSigner(sessionKey, 'client');
	const first = sign('first').slice(0, -1);
	const second = sign('second').slice(0, -1);
	assert.equal(makeLineVerifier(sessionKey, 'client')(second), undefined);
	assert.equal(makeLineVerifier(sessionKey, 'server')(first), undefined);
	const otherKey = makeSessionKey({key: 'a shared key of the peers', ...transcript, serverNonce: 'a different nonce'});
	assert.equal(makeLineVerifier(otherKey, 'client')(first), undefined);
});
