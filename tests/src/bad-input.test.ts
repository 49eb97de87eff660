import assert from 'node:assert/strict';
import {connect} from 'node:net';
import test from 'node:test';
import fc from 'fast-check';
import {configurationSchema} from '@shallotpass/common/configuration-schema.js';
import {settingsSchema} from '@shallotpass/common/settings-schema.js';
import {formatMistake, readToml} from '@shallotpass/common/toml-file.js';
import {applyThrough, callerKey, makeConfigurationText} from '@shallotpass/measure/local-fleet.js';
import {askStream} from '@shallotpass/measure/caller-client.js';
import {startFleet} from './fleet-fixture.js';

type RawAnswer = {readonly status: number; readonly kind: string; readonly executed: string};

const readWithinMs = 5000;

/** Sends bytes as they are and reads until the other end closes or an answer is whole. */
const sendRaw = async (address: string, bytes: Uint8Array | string, isEnd = false): Promise<string> => new Promise(resolve => {
	const [host, port] = address.split(':');
	const socket = connect(Number(port), host);
	let text = '';
	const timer = setTimeout(() => {
		socket.destroy();
	}, readWithinMs);
	socket.on('data', chunk => {
		text += chunk.toString('latin1');
		if (/\r\n\r\n.*\}$/sv.test(text)) {
			socket.destroy();
		}
	});
	socket.on('error', () => {/* the other end may close at once */});
	socket.on('close', () => {
		clearTimeout(timer);
		resolve(text);
	});
	socket.write(bytes);
	if (isEnd) {
		socket.end();
	}
});

const parseRaw = (text: string): RawAnswer => {
	const [head = '', body = ''] = text.split('\r\n\r\n');
	const problem = JSON.parse(body) as {kind: string; executed: string};
	return {status: Number(head.split(' ')[1]), kind: problem.kind, executed: problem.executed};
};

const authorization = `Authorization: Bearer ${callerKey}`;
const makePost = (path: string, body: string, fields: readonly string[] = [authorization]): string => [
	`POST ${path} HTTP/1.1`, 'Host: x', ...fields, `Content-Length: ${body.length}`, '', body,
].join('\r\n');

const chatPath = '/v1/chat/completions';

type BadRequest = {
	readonly name: string;
	readonly bytes: string;
	readonly status: number;
	readonly kind: string;
};

const badRequests: readonly BadRequest[] = [
	{
		name: 'no key', bytes: makePost(chatPath, '{}', []), status: 401, kind: 'unauthenticated',
	},
	{
		name: 'an unknown key', bytes: makePost(chatPath, '{}', ['Authorization: Bearer nobody']), status: 401, kind: 'unauthenticated',
	},
	{
		name: 'broken JSON', bytes: makePost(chatPath, '{"model":'), status: 400, kind: 'invalid_request',
	},
	{
		name: 'no messages', bytes: makePost(chatPath, '{"model":"assistant-7b"}'), status: 400, kind: 'invalid_request',
	},
	{
		name: 'an unknown model', bytes: makePost(chatPath, '{"model":"other","messages":[{"role":"user","content":"x"}]}'), status: 404, kind: 'not_found',
	},
	{
		name: 'an unknown service', bytes: makePost('/services/nothing/x', '{}'), status: 404, kind: 'not_found',
	},
	{
		name: 'an unknown path', bytes: makePost('/v2/else', '{}'), status: 404, kind: 'not_found',
	},
	{
		name: 'a wrong method', bytes: makePost('/v1/models', '{}'), status: 405, kind: 'method_not_allowed',
	},
	{
		name: 'a class that is not the account\'s', bytes: makePost(chatPath, '{"model":"assistant-7b","messages":[{"role":"user","content":"x"}]}', [authorization, 'X-Request-Class: gold']), status: 403, kind: 'forbidden',
	},
	{
		name: 'a deadline that is no number', bytes: makePost('/services/catalogue/x', '{}', [authorization, 'X-Request-Deadline: soon']), status: 400, kind: 'invalid_request',
	},
	{
		name: 'a deadline that has passed', bytes: makePost('/services/catalogue/x', '{}', [authorization, 'X-Request-Deadline: 1000']), status: 503, kind: 'deadline_unreachable',
	},
	{
		name: 'a broken escape in the path', bytes: makePost('/services/%zz/x', '{}'), status: 400, kind: 'invalid_request',
	},
	{
		name: 'a body that says it is too large', bytes: `POST ${chatPath} HTTP/1.1\r\nHost: x\r\n${authorization}\r\nContent-Length: 99999999\r\n\r\n`, status: 413, kind: 'payload_too_large',
	},
	{
		name: 'header fields that are too large', bytes: `GET /v1/models HTTP/1.1\r\nHost: x\r\nX-Long: ${'a'.repeat(40_000)}\r\n\r\n`, status: 431, kind: 'headers_too_large',
	},
	{
		name: 'what is not HTTP', bytes: 'HELO shallotpass\r\n\r\n', status: 400, kind: 'invalid_request',
	},
	{
		name: 'half a request that never goes on', bytes: `POST ${chatPath} HTTP/1.1\r\nHost: x\r\n${authorization}\r\nContent-Length: 100\r\n\r\n{"mod`, status: 408, kind: 'request_timeout',
	},
	{
		name: 'header fields that never end', bytes: 'GET /v1/models HTTP/1.1\r\nHost: x\r\nX-', status: 408, kind: 'request_timeout',
	},
	{
		name: 'a body that grows past the bound', bytes: `POST ${chatPath} HTTP/1.1\r\nHost: x\r\n${authorization}\r\nTransfer-Encoding: chunked\r\n\r\n4000\r\n${'x'.repeat(0x40_00)}\r\n4000\r\n${'x'.repeat(0x40_00)}\r\n`, status: 413, kind: 'payload_too_large',
	},
	{
		name: 'an upgrade', bytes: 'GET /v1/models HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n', status: 400, kind: 'invalid_request',
	},
];

test('bad requests get their answer from the table, and the daemon goes on', async t => {
	// Broken clients, scanners and slow phones send all of these. Each is told what is wrong
	// with its request and that nothing ran; nobody else notices anything.
	const fleet = await startFleet(t, {daemons: 1, limits: {maxBodyBytes: 20_000, headersWithinMs: 600, bodyWithinMs: 600}});
	const {callers} = fleet.daemons[0]!;
	const answers = await Promise.all(badRequests.map(async ({bytes}) => sendRaw(callers, bytes)));
	for (const [index, {name, status, kind}] of badRequests.entries()) {
		assert.deepEqual(parseRaw(answers[index]!), {status, kind, executed: 'no'}, name);
	}

	assert.equal(fleet.services[0]!.countSeen(), 0);
	assert.equal((await askStream({address: callers, marker: 'after', tokens: 3})).isWhole, true); // eslint-disable-line unicorn/no-await-expression-member -- one look
});

test('random bytes never end the daemon', async t => {
	const fleet = await startFleet(t, {daemons: 1, limits: {headersWithinMs: 300, bodyWithinMs: 300}});
	const {callers, peers, admin} = fleet.daemons[0]!;
	const bytes = fc.oneof(
		fc.uint8Array({maxLength: 400}),
		fc.uint8Array({maxLength: 100}).map(noise => new Uint8Array([...new TextEncoder().encode(`POST ${chatPath} HTTP/1.1\r\nHost: x\r\n${authorization}\r\nContent-Length: ${noise.length}\r\n\r\n`), ...noise])),
	);
	await fc.assert(fc.asyncProperty(bytes, fc.constantFrom(callers, peers, admin), async (noise, address) => {
		await sendRaw(address, noise, true);
	}), {seed: 7, numRuns: 150});
	const answer = await askStream({address: callers, marker: 'after', tokens: 3});
	assert.equal(answer.isWhole, true);
});

type BadFile = {
	readonly name: string;
	readonly text: string;
	readonly lines: readonly RegExp[];
};

const badConfigurations: readonly BadFile[] = [
	{name: 'not TOML', text: 'class = [', lines: [/^f\.toml: line \d+, column \d+: expected TOML/v]},
	{name: 'an unknown key with a near name', text: '[[service]]\nname = "a"\nkind = "plain"\nrepeatabel = true', lines: [/^f\.toml: service\[0\]\.repeatabel: expected a known key; did you mean repeatable\?, found repeatabel$/v]},
	{name: 'a wrong type', text: '[[class]]\nname = "a"\nrank = "high"', lines: [/^f\.toml: class\[0\]\.rank: expected .*number.*, found "high"$/v]},
	{name: 'an unknown service', text: '[[account]]\nname = "a"\nkey_sha256 = ["' + 'a'.repeat(64) + '"]\nservices = ["x"]', lines: [/^f\.toml: account\[0\]\.services\[0\]: expected the name of a service in this file/v]},
	{name: 'a key in capitals', text: '[[class]]\nname = "a"\nrank = 1\nfirstTokenMs = 3', lines: [/^f\.toml: class\[0\]\.firstTokenMs: expected lower case with underscores: first_token_ms/v]},
	{name: 'a repeated name', text: '[[class]]\nname = "a"\nrank = 1\n[[class]]\nname = "a"\nrank = 2', lines: [/^f\.toml: class\[1\]: expected one class only named a/v]},
	{name: 'a model service without models', text: '[[service]]\nname = "m"\nkind = "model"', lines: [/^f\.toml: service\[0\]\.models: expected at least one model name/v]},
];

test('mistakes in a configuration file name the file, the place, what was expected and what was found', () => {
	for (const {name, text, lines} of badConfigurations) {
		const reading = readToml(text, configurationSchema);
		assert.equal(reading.kind, 'mistakes', name);
		const found = reading.kind === 'mistakes' ? reading.mistakes.map(mistake => formatMistake('f.toml', mistake)) : [];
		for (const line of lines) {
			assert.ok(found.some(candidate => line.test(candidate)), `${name}: ${found.join(' | ')}`);
		}
	}
});

test('the settings suggest the near name of an unknown key', () => {
	const reading = readToml('[instance]\nid = "a"\navailability_zone = "z"\n[listen]\ncaller = "127.0.0.1:1"', settingsSchema);
	assert.deepEqual(reading.kind === 'mistakes' && reading.mistakes[0], {place: 'listen.caller', expected: 'a known key; did you mean callers?', found: 'caller'});
});

test('no text makes the file reader throw', () => {
	const piece = fc.constantFrom('[[class]]\n', 'name = "a"\n', 'rank = 1\n', '[[service]]\n', 'kind = "plain"\n', '= 3\n', '[[account]]\n', 'services = ["x", 1]\n', '"', '[', ' \t', '1979-05-27', '{a = 1}', 'x = {b = [1, {c = 2}]}\n');
	const text = fc.oneof(fc.string({maxLength: 200}), fc.array(piece, {maxLength: 20}).map(pieces => pieces.join('')));
	fc.assert(fc.property(text, value => {
		const reading = readToml(value, configurationSchema);
		assert.ok(reading.kind === 'read' || reading.mistakes.length > 0);
	}), {seed: 7, numRuns: 2000});
});

test('an apply of a bad file, of a stale base and by a viewer is refused and changes nothing', async t => {
	const fleet = await startFleet(t, {daemons: 1});
	const [daemon] = fleet.daemons;
	const before = daemon!.getVersion('default');
	const invalid = await applyThrough(daemon!, 'class = 3');
	assert.deepEqual([invalid.status, invalid.body.kind], [422, 'configuration_invalid']);
	const stale = await applyThrough(daemon!, makeConfigurationText('stale'), -1);
	assert.deepEqual([stale.status, stale.body.kind], [409, 'configuration_conflict']);
	const response = await fetch(`http://${daemon!.admin}/admin/v1/teams/default/configuration`, {method: 'PUT', headers: {authorization: 'Bearer nobody'}, body: makeConfigurationText()});
	assert.equal(response.status, 401);
	assert.equal(daemon!.getVersion('default'), before);
});
