import assert from 'node:assert/strict';
import type http from 'node:http';
import net from 'node:net';
import test from 'node:test';
import {makeOwedAnswers, type OwedAnswers} from '../owed-answers.js';
import {chooseByBytes, chooseIdlest} from './choose-clients.js';
import {type ClientAccount, makeClientAccount} from './client-account.js';

const now = 10_000;

const makeAccount = (bodyBytes: number, progressAt: number, answers?: OwedAnswers): ClientAccount =>
	Object.assign(makeClientAccount(new net.Socket(), 'callers', answers), {bodyBytes, progressAt, hasSentRequest: true});

/** An account whose request was read whole and is being served. */
const makeServed = (bodyBytes: number): ClientAccount => {
	const answers = makeOwedAnswers();
	const account = makeAccount(bodyBytes, 0, answers);
	const response = {
		once() {/* It never ends. */},
	};
	answers.add({socket: account.socket, complete: true} as http.IncomingMessage, response as unknown as http.ServerResponse);
	return account;
};

test('those are given up that hold most for longest, and no more than are needed', () => {
	const large = makeAccount(1_000_000, 9000);
	const old = makeAccount(900_000, 0);
	const small = makeAccount(1000, 0);
	assert.deepEqual(chooseByBytes([small, large, old], 500_000, now), [old]);
	assert.deepEqual(chooseByBytes([small, large, old], 1_500_000, now), [old, large]);
});

test('a client whose call is being served is not given up, whatever it holds', () => {
	// Its backend server keeps it waiting, not the client the daemon.
	const served = makeServed(50_000_000);
	assert.deepEqual(chooseByBytes([served], 1_000_000, now), []);
	assert.equal(chooseIdlest([served]), undefined);
});

test('a connection that has sent no request goes before one that is kept open', () => {
	const kept = makeAccount(0, 0);
	const fresh = Object.assign(makeAccount(0, 9999), {hasSentRequest: false});
	assert.equal(chooseIdlest([kept, fresh]), fresh);
	assert.equal(chooseIdlest([kept, makeAccount(0, 5000)]), kept);
});
