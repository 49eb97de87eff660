import assert from 'node:assert/strict';
import {once} from 'node:events';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import test from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {maxQueuedRequests, openCallersServer} from './callers-server.js';

const fetchStatus = async (port: number): Promise<number | undefined> => new Promise((resolve, reject) => {
	const request = http.get({host: '127.0.0.1', port, agent: false}, response => {
		response.resume();
		resolve(response.statusCode);
	});
	request.on('error', reject);
});

const waitUntil = async (check: () => boolean): Promise<void> => {
	while (!check()) {
		await setImmediate(); // eslint-disable-line no-await-in-loop -- a poll
	}
};

test('requests that arrive before a handler is attached are queued and served', async t => {
	const {server, serve} = await openCallersServer({address: '127.0.0.1:0'});
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
	const {server, answers, serve} = await openCallersServer({address: '127.0.0.1:0'});
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
	await assert.rejects(openCallersServer({address: '192.0.2.1:1'}), {code: 'EADDRNOTAVAIL'});
});

test('requests beyond the bound of the queue are refused at once, and those in it are served', async t => {
	const {server, serve} = await openCallersServer({address: '127.0.0.1:0', getRequestId: headers => String(headers['x-request-id'])});
	t.after(() => {
		server.close();
		server.closeAllConnections();
	});
	const {port} = server.address() as AddressInfo;
	let readRequests = 0;
	server.on('request', () => {
		readRequests++;
	});
	const openCaller = (requests: number) => {
		let received = '';
		const socket = net.connect({host: '127.0.0.1', port}, () => {
			socket.write('GET / HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\n\r\n'.repeat(requests));
		});
		socket.on('data', (chunk: Uint8Array) => {
			received += new TextDecoder().decode(chunk);
		});
		t.after(() => socket.destroy());
		return {socket, countAnswers: (status: number) => received.split(`HTTP/1.1 ${status} `).length - 1, getReceived: () => received};
	};

	const queued = openCaller(maxQueuedRequests);
	await waitUntil(() => readRequests === maxQueuedRequests);

	const refused = openCaller(3);
	await once(refused.socket, 'data');
	await waitUntil(() => refused.countAnswers(503) === 3);

	assert.match(refused.getReceived(), /Retry-After: 0.50/v);
	assert.equal(queued.countAnswers(503), 0);
	serve((_request, response) => {
		response.statusCode = 204;
		response.end();
	});
	await waitUntil(() => queued.countAnswers(204) === maxQueuedRequests);
});

test('a server that refuses all answers what it has queued and what it reads meanwhile, and closes', async () => {
	const {server, answers, refuseAll} = await openCallersServer({address: '127.0.0.1:0'});
	const {port} = server.address() as AddressInfo;
	const firstRequest = once(server, 'request');
	const statuses = [fetchStatus(port)];
	await firstRequest;
	const refused = refuseAll({kind: 'draining', detail: 'It cannot start.', retryAfterS: 0});
	statuses.push(fetchStatus(port));
	assert.deepEqual(await Promise.all(statuses), [503, 503]);
	assert.equal(await refused, 0);
	assert.deepEqual([answers.count(), server.listening], [0, false]);
});

test('a request without a host is refused, and those that came with it are answered', async t => {
	const {server, serve, answers} = await openCallersServer({address: '127.0.0.1:0'});
	t.after(() => {
		server.close();
		server.closeAllConnections();
	});
	serve((_request, response) => {
		response.statusCode = 204;
		response.end();
	});
	const {port} = server.address() as AddressInfo;
	let received = '';
	const socket = net.connect({host: '127.0.0.1', port}, () => {
		socket.write('GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n');
	});
	socket.on('data', chunk => {
		received += chunk.toString();
	});
	await once(socket, 'end');
	socket.destroy();
	assert.deepEqual([...received.matchAll(/HTTP\/1\.1 (\d+)/gv)].map(match => match[1]), ['400', '204']);
	assert.equal(answers.count(), 0);
});

test('a request of HTTP/1.0 behind an answer under way is not passed on, as that answer may end with the connection', async t => {
	const {server, serve, answers} = await openCallersServer({address: '127.0.0.1:0'});
	t.after(() => {
		server.close();
		server.closeAllConnections();
	});
	const served: http.ServerResponse[] = [];
	let unfinished = 0;
	answers.onUnfinished = () => {
		unfinished++;
	};

	serve((_request, response) => {
		served.push(response);
	});
	const {port} = server.address() as AddressInfo;
	let received = '';
	const socket = net.connect({host: '127.0.0.1', port}, () => {
		socket.write('GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n'.repeat(2));
	});
	socket.on('data', chunk => {
		received += chunk.toString();
	});
	await waitUntil(() => served.length > 0);
	await setImmediate();
	for (const response of served) {
		response.write('a');
		response.end('b');
	}

	await once(socket, 'end');
	socket.destroy();
	assert.equal(received.split('\r\n\r\n')[1], 'ab');
	assert.deepEqual([served.length, unfinished, answers.count()], [1, 0, 0]);
});

for (const host of ['', 'Host: a\r\n']) {
	test(`a request ${host === '' ? 'without a host' : 'that is queued'} whose body cannot be read is refused`, async t => {
		// It waited for the end of the body, and its connection for the answer.
		const callersServer = await openCallersServer({address: '127.0.0.1:0'});
		const {server, refuseAll} = callersServer;
		const unreadable = new Promise<void>(resolve => {
			callersServer.onUnreadable = () => {
				resolve();
			};
		});
		let received = '';
		const socket = net.connect({host: '127.0.0.1', port: (server.address() as AddressInfo).port}, () => {
			socket.write(`POST / HTTP/1.1\r\n${host}Transfer-Encoding: chunked\r\n\r\n2\r\nxx\r\nzz\r\n`);
		});
		t.after(() => socket.destroy());
		socket.on('data', chunk => {
			received += chunk.toString();
		});
		await unreadable;
		assert.equal(await refuseAll({kind: 'draining', detail: 'It cannot start.', retryAfterS: 0}), 0);
		assert.match(received, host === '' ? /^HTTP\/1\.1 400 /v : /^HTTP\/1\.1 503 /v);
	});
}
