import assert from 'node:assert/strict';
import {createServer, connect, type Socket} from 'node:net';
import test, {type TestContext} from 'node:test';
import {type Deadline} from '@shallotpass/common/types.js';
import fc from 'fast-check';
import {makeClientHandshake, makeServerHandshake} from './handshake.js';
import {makeLineReader} from './line-reader.js';
import {makePeerClient, type PeerClient} from './peer-client.js';
import {type PeerHandlers} from './peer-methods.js';
import {startPeerServer, type PeerServer} from './peer-server.js';

const keyA = 'the first shared key';
const keyB = 'the second shared key';

const makeDeadline = (): Deadline => (Date.now() + 2000) as Deadline;

const handlers = {
	status: () => ({availabilityZone: 'zone-1', versions: {default: 3}}),
} as unknown as PeerHandlers;

const startServer = async (t: TestContext, keys: readonly string[]): Promise<PeerServer> => {
	const server = await startPeerServer({
		listen: '127.0.0.1:0', selfId: 'server', keys, handlers, onRefused() {/* the server counts refusals */},
	});
	t.after(async () => server.close());
	return server;
};

const startClient = (t: TestContext, keys: readonly string[]): PeerClient => {
	const stopping = new AbortController();
	t.after(() => {
		stopping.abort();
	});
	return makePeerClient({
		selfId: 'client', localAddress: '127.0.0.1', keys, now: Date.now, signal: stopping.signal,
	});
};

type KeyCase = {
	readonly name: string;
	readonly client: readonly string[];
	readonly server: readonly string[];
	readonly isAccepted: boolean;
};

const keyCases: readonly KeyCase[] = [
	{
		name: 'the same key', client: [keyA], server: [keyA], isAccepted: true,
	},
	{
		name: 'both keys in a different order', client: [keyA, keyB], server: [keyB, keyA], isAccepted: true,
	},
	{
		name: 'only the old key, which the server lists first,', client: [keyA], server: [keyA, keyB], isAccepted: true,
	},
	{
		name: 'a different key', client: [keyA], server: [keyB], isAccepted: false,
	},
	{
		name: 'a key, but a server without keys,', client: [keyA], server: [], isAccepted: false,
	},
];

for (const {name, client, server, isAccepted} of keyCases) {
	test(`a client with ${name} is ${isAccepted ? 'answered' : 'refused'}`, async t => {
		const {address} = await startServer(t, server);
		const pendingResult = startClient(t, client).call(address, 'status', {}, makeDeadline());
		if (isAccepted) {
			assert.equal((await pendingResult).versions.default, 3); // eslint-disable-line unicorn/no-await-expression-member -- a single read
		} else {
			await assert.rejects(pendingResult);
		}
	});
}

type TamperingProxy = {
	readonly address: string;
	/** Transforms the chunks that the client sends. */
	transform: (chunk: Uint8Array) => readonly Uint8Array[];
	/** Whether the chunks that the client sends on the first connection are dropped. */
	dropsFirstConnection: boolean;
	readonly connections: Socket[];
};

/** Starts a TCP proxy that can alter, repeat or drop the data that clients send. */
const startTamperingProxy = async (t: TestContext, target: string): Promise<TamperingProxy> => {
	const sockets: Socket[] = [];
	const server = createServer(clientSocket => {
		const [host, port] = target.split(':');
		const serverSocket = connect(Number(port), host);
		sockets.push(clientSocket, serverSocket);
		proxy.connections.push(clientSocket);
		const connectionNumber = proxy.connections.length;
		clientSocket.on('data', chunk => {
			if (proxy.dropsFirstConnection && connectionNumber === 1) {
				return;
			}

			for (const part of proxy.transform(chunk)) {
				serverSocket.write(part);
			}
		});
		serverSocket.on('data', chunk => clientSocket.write(chunk));
		for (const [source, destination] of [[clientSocket, serverSocket], [serverSocket, clientSocket]] as const) {
			source.on('error', () => {/* the test closes both */});
			source.on('close', () => {
				destination.destroy();
			});
		}
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as {port: number};
	const proxy: TamperingProxy = {
		address: `127.0.0.1:${port}`, transform: chunk => [chunk], dropsFirstConnection: false, connections: [],
	};
	t.after(() => {
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	});
	return proxy;
};

type TamperCase = {readonly name: string; readonly transform: (chunk: Uint8Array) => readonly Uint8Array[]};

const tamperCases: readonly TamperCase[] = [
	{name: 'altered', transform: chunk => [new TextEncoder().encode(new TextDecoder().decode(chunk).replace('status', 'Status'))]},
	{name: 'repeated', transform: chunk => [chunk, chunk]},
];

for (const {name, transform} of tamperCases) {
	test(`a message that is ${name} in transit is refused and its connection is closed`, async t => {
		// An attacker on the network alters or replays messages between daemons. Without this check,
		// a daemon would act on a repeated claim or an altered version.
		const server = await startServer(t, [keyA]);
		const proxy = await startTamperingProxy(t, server.address);
		const client = startClient(t, [keyA]);
		await client.call(proxy.address, 'status', {}, makeDeadline());
		assert.equal(server.countRefusals(), 0);
		proxy.transform = transform;
		const closed = new Promise(resolve => {
			proxy.connections[0]!.once('close', resolve);
		});
		await client.call(proxy.address, 'status', {}, (Date.now() + 400) as Deadline).catch(() => undefined); // eslint-disable-line promise/prefer-await-to-then -- the call may succeed or fail
		await closed;
		assert.ok(server.countRefusals() > 0);
	});
}

test('a connection that stops responding is replaced within the same request', async t => {
	// A firewall between two zones drops an open connection without notifying either end.
	// Without a second connection, the peer would appear to be down.
	const server = await startServer(t, [keyA]);
	const proxy = await startTamperingProxy(t, server.address);
	const client = startClient(t, [keyA]);
	await client.call(proxy.address, 'status', {}, makeDeadline());
	proxy.dropsFirstConnection = true;
	const answer = await client.call(proxy.address, 'status', {}, makeDeadline());
	assert.equal(answer.versions.default, 3);
	assert.equal(proxy.connections.length, 2);
});

test('a recorded connection that is replayed to the server is refused', async t => {
	const server = await startServer(t, [keyA]);
	const proxy = await startTamperingProxy(t, server.address);
	const recorded: Uint8Array[] = [];
	proxy.transform = chunk => {
		recorded.push(chunk);
		return [chunk];
	};

	await startClient(t, [keyA]).call(proxy.address, 'status', {}, makeDeadline());
	const [host, port] = server.address.split(':');
	const socket = connect(Number(port), host);
	const closed = new Promise(resolve => {
		socket.on('close', resolve);
	});
	socket.on('error', () => {/* the server closes the connection */});
	for (const chunk of recorded) {
		socket.write(chunk);
	}

	socket.resume();
	await closed;
	assert.equal(server.countRefusals(), 1);
});

test('lines are reassembled from chunks of any size, and a line that exceeds the maximum length throws', () => {
	const lines = fc.array(fc.string({unit: 'grapheme', maxLength: 30}).filter(line => !line.includes('\n')), {maxLength: 10});
	fc.assert(fc.property(lines, fc.array(fc.nat(200), {maxLength: 10}), (sent, cuts) => {
		const bytes = new TextEncoder().encode(sent.map(line => `${line}\n`).join(''));
		const received: string[] = [];
		const read = makeLineReader(line => {
			received.push(line);
		});
		let start = 0;
		for (const cut of [...cuts.toSorted((left, right) => left - right), bytes.length]) {
			const end = Math.min(bytes.length, cut);
			if (end > start) {
				read(Uint8Array.prototype.slice.call(bytes, start, end));
				start = end;
			}
		}

		assert.deepEqual(received, sent.map(line => line.toWellFormed()));
	}), {seed: 7});
	assert.throws(() => {
		makeLineReader(() => {/* no line is complete */}, 10)(new TextEncoder().encode('x'.repeat(11)));
	}, RangeError);
});

test('client and server refuse a handshake of random text', () => {
	fc.assert(fc.property(fc.string(), randomText => {
		assert.equal(makeServerHandshake('server', [keyA]).receive(randomText).kind, 'refused');
		assert.equal(makeClientHandshake('client', [keyA]).receive(randomText).kind, 'refused');
	}), {seed: 7});
});
