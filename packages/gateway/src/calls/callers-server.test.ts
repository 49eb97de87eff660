import assert from 'node:assert/strict';
import {once} from 'node:events';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import test from 'node:test';
import {openCallersServer} from './callers-server.js';

const fetchStatus = async (port: number): Promise<number | undefined> => new Promise((resolve, reject) => {
	const request = http.get({host: '127.0.0.1', port, agent: false}, response => {
		response.resume();
		resolve(response.statusCode);
	});
	request.on('error', reject);
});

test('requests that arrive before a handler is attached are queued and served', async t => {
	const {server, serve} = await openCallersServer('127.0.0.1:0');
	t.after(() => {
		server.close();
		server.closeAllConnections();
	});
	const {port} = server.address() as AddressInfo;
	const firstRequest = new Promise(resolve => {
		server.once('request', resolve);
	});
	const earlyStatus = fetchStatus(port);
	await firstRequest;
	serve((_request, response) => {
		response.statusCode = 204;
		response.end();
	});
	assert.equal(await earlyStatus, 204);
	assert.equal(await fetchStatus(port), 204);
});

test('a request that is queued is served though input that cannot be read follows it', async t => {
	// Node.js closed the connection, as nothing handled the error before the program was loaded.
	const {server, answers, serve} = await openCallersServer('127.0.0.1:0');
	t.after(() => {
		server.close();
		server.closeAllConnections();
	});
	const caller = net.connect({port: (server.address() as AddressInfo).port, host: '127.0.0.1'});
	let received = '';
	caller.on('data', chunk => {
		received += chunk.toString();
	});
	const queued = once(server, 'request');
	caller.write('GET / HTTP/1.1\r\nHost: a\r\n\r\nNOT HTTP\r\n\r\n');
	await queued;
	serve((_request, response) => {
		response.statusCode = 204;
		response.end();
	});
	await once(caller, 'close');
	assert.deepEqual([...received.matchAll(/HTTP\/1\.1 (?<status>\d{3})/gv)].map(({groups}) => groups?.status), ['204', '400']);
	assert.equal(answers.count(), 0);
});

test('opening the server rejects if the address is not available', async () => {
	await assert.rejects(openCallersServer('192.0.2.1:1'), {code: 'EADDRNOTAVAIL'});
});
