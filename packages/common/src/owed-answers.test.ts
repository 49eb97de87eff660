import assert from 'node:assert/strict';
import {once} from 'node:events';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import test, {type TestContext} from 'node:test';
import {makeOwedAnswers, type OwedAnswers, type UnfinishedAnswer} from './owed-answers.js';

type Served = {
	readonly answers: OwedAnswers;
	readonly unfinished: UnfinishedAnswer[];
	readonly caller: net.Socket;
	/** Responses of requests that were read, in order. */
	readonly responses: http.ServerResponse[];
	readonly waitForRequests: (count: number) => Promise<void>;
};

const startServer = async (t: TestContext): Promise<Served> => {
	const answers = makeOwedAnswers();
	const unfinished: UnfinishedAnswer[] = [];
	answers.onUnfinished = answer => {
		unfinished.push(answer);
	};

	const responses: http.ServerResponse[] = [];
	const server = http.createServer((request, response) => {
		answers.add(request, response);
		responses.push(response);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const caller = net.connect((server.address() as AddressInfo).port, '127.0.0.1');
	caller.on('error', () => {/* it leaves */});
	t.after(() => {
		caller.destroy();
		server.close();
		server.closeAllConnections();
	});
	return {
		answers, unfinished, caller, responses,
		async waitForRequests(count) {
			while (responses.length < count) {
				await once(server, 'request'); // eslint-disable-line no-await-in-loop -- requests come one after another
			}
		},
	};
};

const request = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

test('an answer is owed from the head of its request until all of it has left the process', async t => {
	const {answers, unfinished, caller, responses, waitForRequests} = await startServer(t);
	caller.write(request);
	await waitForRequests(1);
	assert.equal(answers.count(), 1);
	const bytes = 32 * 1_048_576;
	responses[0]!.end(new Uint8Array(bytes));
	await new Promise(setImmediate);
	assert.equal(answers.count(), 1, 'the caller reads nothing yet');
	caller.resume();
	await once(responses[0]!, 'finish');
	assert.equal(answers.count(), 0);
	assert.deepEqual(unfinished, []);
});

test('an answer whose caller leaves is owed no more, and is reported', async t => {
	const {answers, unfinished, caller, responses, waitForRequests} = await startServer(t);
	caller.write(request + request);
	await waitForRequests(2);
	const {socket} = responses[0]!;
	assert.equal(answers.countOn(socket!), 2);
	let isSettled = false;
	answers.onSettled(socket!, () => {
		isSettled = true;
	});
	caller.destroy();
	await once(socket!, 'close');
	assert.equal(answers.count(), 0);
	assert.ok(isSettled);
	assert.deepEqual(unfinished.map(({reason, wasRead}) => ({reason, wasRead})), [{reason: 'caller_closed', wasRead: true}, {reason: 'caller_closed', wasRead: true}]);
});

test('an answer that is cut off is reported with the stated reason', async t => {
	const {answers, unfinished, caller, responses, waitForRequests} = await startServer(t);
	caller.write(request);
	await waitForRequests(1);
	const {socket} = responses[0]!;
	answers.stateReason(socket!, 'HPE_INVALID_METHOD');
	socket!.destroy();
	await once(socket!, 'close');
	assert.deepEqual(unfinished.map(({reason}) => reason), ['HPE_INVALID_METHOD']);
});

test('answers that are owed when the process ends are reported', async t => {
	const {answers, unfinished, caller, waitForRequests} = await startServer(t);
	caller.write(request);
	await waitForRequests(1);
	answers.reportAll();
	assert.deepEqual(unfinished.map(({reason}) => reason), ['process_ended']);
});

test('a connection ends only with an answer behind which no other is owed', async t => {
	const {answers, unfinished, caller, responses, waitForRequests} = await startServer(t);
	caller.write(request + request);
	await waitForRequests(2);
	const [first, second] = responses;
	assert.equal(answers.endWith(first!.req), false);
	first!.end();
	await once(first!, 'finish');
	assert.equal(answers.endWith(second!.req), true);
	caller.write(request);
	await waitForRequests(3);
	assert.equal(answers.count(), 1, 'a request behind the last answer is owed nothing');
	second!.end();
	await once(second!, 'finish');
	assert.equal(answers.count(), 0);
	assert.deepEqual(unfinished, []);
});

test('requests that are read after the end of their connection was announced are owed nothing', async t => {
	const {answers, unfinished, caller, responses, waitForRequests} = await startServer(t);
	caller.write(request);
	await waitForRequests(1);
	const {socket} = responses[0]!;
	answers.endOn(socket!);
	caller.write(request);
	await waitForRequests(2);
	assert.equal(answers.countOn(socket!), 1);
	caller.destroy();
	await once(socket!, 'close');
	assert.equal(unfinished.length, 1);
});

test('a request that is read after its connection has closed is owed nothing, and does not end the process', async t => {
	const {answers, unfinished, caller, responses, waitForRequests} = await startServer(t);
	caller.write(request);
	await waitForRequests(1);
	const [response] = responses;
	caller.destroy();
	await once(response!.req.socket, 'close');
	answers.add(response!.req, response!);
	assert.equal(answers.count(), 0);
	assert.deepEqual(unfinished.map(({reason}) => reason), ['caller_closed', 'caller_closed']);
});
