import assert from 'node:assert/strict';
import test from 'node:test';
import {type GatewayState} from '../gateway-state.js';
import {openDatagrams} from './datagrams.js';

test('a message to an address that no socket takes is logged and does not throw', async t => {
	// Messages are sent by timers, where an error has no handler.
	const controller = new AbortController();
	t.after(() => {
		controller.abort();
	});
	const errors: unknown[] = [];
	const gateway = {
		settings: {listen: {peers: '127.0.0.1:0'}},
		log: {
			write(_category: string, _event: string, {error}: {readonly error: unknown}) {
				errors.push(error);
			},
		},
	} as unknown as GatewayState;
	const datagrams = await openDatagrams(gateway, controller.signal);
	for (const address of ['127.0.0.1:99999', '127.0.0.1:0', 'nowhere', '']) {
		datagrams.notify(address, 'report', {});
	}

	assert.equal(errors.length, 4);
	assert.match(String(errors[0]), /127\.0\.0\.1:99999: RangeError/v);
});

test('opening the socket rejects if its address is taken', async t => {
	const controller = new AbortController();
	t.after(() => {
		controller.abort();
	});
	const gateway = {settings: {listen: {peers: '192.0.2.1:1'}}, log: {write() {/* not looked at */}}} as unknown as GatewayState;
	await assert.rejects(openDatagrams(gateway, controller.signal), {code: 'EADDRNOTAVAIL'});
});
