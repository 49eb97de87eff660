import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {makeLineOpener, makeLineSealer, makeSessionKey} from './secure-lines.js';

const names = {
	clientId: 'a', clientNonce: 'nonce-of-the-client', serverId: 'b', serverNonce: 'nonce-of-the-server',
};
const sessionKey = makeSessionKey({key: 'a shared key of the peers', ...names});

test('lines in order are opened', () => {
	fc.assert(fc.property(fc.array(fc.string(), {maxLength: 10}), payloads => {
		const seal = makeLineSealer(sessionKey, 'client');
		const open = makeLineOpener(sessionKey, 'client');
		assert.deepEqual(payloads.map(payload => open(seal(payload).slice(0, -1))), payloads);
	}), {seed: 7});
});

test('a line out of order, of the other direction or of another connection is not opened', () => {
	const seal = makeLineSealer(sessionKey, 'client');
	const first = seal('first').slice(0, -1);
	const second = seal('second').slice(0, -1);
	assert.equal(makeLineOpener(sessionKey, 'client')(second), undefined);
	assert.equal(makeLineOpener(sessionKey, 'server')(first), undefined);
	const otherKey = makeSessionKey({key: 'a shared key of the peers', ...names, serverNonce: 'a different nonce'});
	assert.equal(makeLineOpener(otherKey, 'client')(first), undefined);
});
