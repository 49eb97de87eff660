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

const soon = (): Deadline => (Date.now() + 2000) as Deadline;

const handlers = {
	status: () => ({availabilityZone: 'zone-1', versions: {default: 3}}),
} as unknown as PeerHandlers;

const startServer = async (t: TestContext, keys: readonly string[]): Promise<PeerServer> => {
	const server = await startPeerServer({
		listen: '127.0.0.1:0', selfId: 'server', keys, handlers, onRefused() {/* counted by the server */},
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
		name: 'both keys, listed in another order', client: [keyA, keyB], server: [keyB, keyA], isAccepted: true,
	},
	{
		name: 'a client that still knows only the old key, which the server lists first', client: [keyA], server: [keyA, keyB], isAccepted: true,
	},
	{
		name: 'different keys', client: [keyA], server: [keyB], isAccepted: false,
	},
	{
		name: 'no key at the server', client: [keyA], server: [], isAccepted: false,
	},
];

for (const {name, client, server, isAccepted} of keyCases) {
	test(`a peer with ${name} is ${isAccepted ? 'answered' : 'refused'}`, async t => {
		const {address} = await startServer(t, server);
		const asking = startClient(t, client).ask(address, 'status', {}, soon());
		if (isAccepted) {
			assert.equal((await asking).versions.default, 3); // eslint-disable-line unicorn/no-await-expression-member -- one look
		} else {
			await assert.rejects(asking);
		}
	});
}

type Middle = {
	readonly address: string;
	/** Changes what flows from the client from now on. */
	change: (chunk: Uint8Array) => readonly Uint8Array[];
	isSilent: boolean;
	readonly connections: Socket[];
};

/** Something between the ends that can alter, repeat or swallow what flows through it. */
const startMiddle = async (t: TestContext, target: string): Promise<Middle> => {
	const sockets: Socket[] = [];
	const server = createServer(near => {
		const [host, port] = target.split(':');
		const far = connect(Number(port), host);
		sockets.push(near, far);
		middle.connections.push(near);
		const own = middle.connections.length;
		near.on('data', chunk => {
			if (middle.isSilent && own === 1) {
				return;
			}

			for (const piece of middle.change(chunk)) {
				far.write(piece);
			}
		});
		far.on('data', chunk => near.write(chunk));
		for (const [one, other] of [[near, far], [far, near]] as const) {
			one.on('error', () => {/* the test closes both */});
			one.on('close', () => {
				other.destroy();
			});
		}
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as {port: number};
	const middle: Middle = {
		address: `127.0.0.1:${port}`, change: chunk => [chunk], isSilent: false, connections: [],
	};
	t.after(() => {
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	});
	return middle;
};

type TamperCase = {readonly name: string; readonly change: (chunk: Uint8Array) => readonly Uint8Array[]};

const tamperCases: readonly TamperCase[] = [
	{name: 'altered', change: chunk => [new TextEncoder().encode(new TextDecoder().decode(chunk).replace('status', 'Status'))]},
	{name: 'repeated', change: chunk => [chunk, chunk]},
];

for (const {name, change} of tamperCases) {
	test(`a message that is ${name} on its way is refused and its connection closed`, async t => {
		// Someone on the network changes or records and resends what daemons tell each other. A
		// repeated claim or an altered version would be acted upon if it were not noticed.
		const server = await startServer(t, [keyA]);
		const middle = await startMiddle(t, server.address);
		const client = startClient(t, [keyA]);
		await client.ask(middle.address, 'status', {}, soon());
		assert.equal(server.countRefusals(), 0);
		middle.change = change;
		const closed = new Promise(resolve => {
			middle.connections[0]!.once('close', resolve);
		});
		await client.ask(middle.address, 'status', {}, (Date.now() + 400) as Deadline).catch(() => undefined); // eslint-disable-line promise/prefer-await-to-then -- either outcome is right
		await closed;
		assert.ok(server.countRefusals() > 0);
	});
}

test('a connection that has gone silent is replaced by a new one within the same question', async t => {
	// A firewall between two zones forgets an open connection: nothing comes back on it any
	// more, and neither end is told. Without a second connection the peer would look dead.
	const server = await startServer(t, [keyA]);
	const middle = await startMiddle(t, server.address);
	const client = startClient(t, [keyA]);
	await client.ask(middle.address, 'status', {}, soon());
	middle.isSilent = true;
	const answer = await client.ask(middle.address, 'status', {}, soon());
	assert.equal(answer.versions.default, 3);
	assert.equal(middle.connections.length, 2);
});

test('a recorded connection played again to the server is refused', async t => {
	const server = await startServer(t, [keyA]);
	const middle = await startMiddle(t, server.address);
	const recorded: Uint8Array[] = [];
	middle.change = chunk => {
		recorded.push(chunk);
		return [chunk];
	};

	await startClient(t, [keyA]).ask(middle.address, 'status', {}, soon());
	const [host, port] = server.address.split(':');
	const socket = connect(Number(port), host);
	const closed = new Promise(resolve => {
		socket.on('close', resolve);
	});
	socket.on('error', () => {/* it is cut off */});
	for (const chunk of recorded) {
		socket.write(chunk);
	}

	socket.resume();
	await closed;
	assert.equal(server.countRefusals(), 1);
});

test('lines come out whole however the bytes are cut', () => {
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
		makeLineReader(() => {/* none comes */}, 10)(new TextEncoder().encode('x'.repeat(11)));
	}, RangeError);
});

test('each end refuses a handshake of noise', () => {
	fc.assert(fc.property(fc.string(), noise => {
		assert.equal(makeServerHandshake('server', [keyA]).receive(noise).kind, 'refused');
		assert.equal(makeClientHandshake('client', [keyA]).receive(noise).kind, 'refused');
	}), {seed: 7});
});
