import assert from 'node:assert/strict';
import {connect} from 'node:net';
import test from 'node:test';
import fc from 'fast-check';
import {configurationSchema} from '@shallotpass/common/configuration-schema.js';
import {settingsSchema} from '@shallotpass/common/settings-schema.js';
import {formatMistake, readToml} from '@shallotpass/common/toml-file.js';
import {applyConfiguration, callerKey, makeConfigurationText} from '@shallotpass/measure/local-fleet.js';
import {streamChat} from '@shallotpass/measure/caller-client.js';
import {startFleet} from './fleet-fixture.js';

type RawAnswer = {readonly status: number; readonly kind: string; readonly executed: string};

const readTimeoutMs = 5000;

/** Sends raw bytes and reads until the peer closes the connection, a complete answer was received or the read timeout expires. `shouldEnd` closes the sending side after the bytes. */
const sendRaw = async (address: string, bytes: Uint8Array | string, shouldEnd = false): Promise<string> => new Promise(resolve => {
	const [host, port] = address.split(':');
	const socket = connect(Number(port), host);
	let text = '';
	const timer = setTimeout(() => {
		socket.destroy();
	}, readTimeoutMs);
	socket.on('data', chunk => {
		text += chunk.toString('latin1');
		if (/\r\n\r\n.*\}$/sv.test(text)) {
			socket.destroy();
		}
	});
	socket.on('error', () => {/* the peer may close at once */});
	socket.on('close', () => {
		clearTimeout(timer);
		resolve(text);
	});
	socket.write(bytes);
	if (shouldEnd) {
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
		name: 'missing messages', bytes: makePost(chatPath, '{"model":"assistant-7b"}'), status: 400, kind: 'invalid_request',
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
		name: 'an unsupported method', bytes: makePost('/v1/models', '{}'), status: 405, kind: 'method_not_allowed',
	},
	{
		name: 'a request class that the account does not have', bytes: makePost(chatPath, '{"model":"assistant-7b","messages":[{"role":"user","content":"x"}]}', [authorization, 'X-Request-Class: gold']), status: 403, kind: 'forbidden',
	},
	{
		name: 'a deadline that is not a number', bytes: makePost('/services/catalogue/x', '{}', [authorization, 'X-Request-Deadline: soon']), status: 400, kind: 'invalid_request',
	},
	{
		name: 'a deadline that has passed', bytes: makePost('/services/catalogue/x', '{}', [authorization, 'X-Request-Deadline: 1000']), status: 503, kind: 'deadline_unreachable',
	},
	{
		name: 'an invalid percent-encoding in the path', bytes: makePost('/services/%zz/x', '{}'), status: 400, kind: 'invalid_request',
	},
	{
		name: 'a content length that is too large', bytes: `POST ${chatPath} HTTP/1.1\r\nHost: x\r\n${authorization}\r\nContent-Length: 99999999\r\n\r\n`, status: 413, kind: 'payload_too_large',
	},
	{
		name: 'headers that are too large', bytes: `GET /v1/models HTTP/1.1\r\nHost: x\r\nX-Long: ${'a'.repeat(40_000)}\r\n\r\n`, status: 431, kind: 'headers_too_large',
	},
	{
		name: 'bytes that are not HTTP', bytes: 'HELO shallotpass\r\n\r\n', status: 400, kind: 'invalid_request',
	},
	{
		name: 'a body that is never completed', bytes: `POST ${chatPath} HTTP/1.1\r\nHost: x\r\n${authorization}\r\nContent-Length: 100\r\n\r\n{"mod`, status: 408, kind: 'request_timeout',
	},
	{
		name: 'headers that are never completed', bytes: 'GET /v1/models HTTP/1.1\r\nHost: x\r\nX-', status: 408, kind: 'request_timeout',
	},
	{
		name: 'a chunked body that exceeds the limit', bytes: `POST ${chatPath} HTTP/1.1\r\nHost: x\r\n${authorization}\r\nTransfer-Encoding: chunked\r\n\r\n4000\r\n${'x'.repeat(0x40_00)}\r\n4000\r\n${'x'.repeat(0x40_00)}\r\n`, status: 413, kind: 'payload_too_large',
	},
	{
		name: 'a protocol upgrade', bytes: 'GET /v1/models HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n', status: 400, kind: 'invalid_request',
	},
];

test('bad requests get the specified errors, and the daemon keeps serving', async t => {
	// Faulty clients, scanners and slow connections send such requests. Each answer must state the
	// error and that nothing was executed, and other callers must not be affected.
	const fleet = await startFleet(t, {daemons: 1, limits: {maxBodyBytes: 20_000, headersWithinMs: 600, bodyWithinMs: 600}});
	const {callers} = fleet.daemons[0]!;
	const answers = await Promise.all(badRequests.map(async ({bytes}) => sendRaw(callers, bytes)));
	for (const [index, {name, status, kind}] of badRequests.entries()) {
		assert.deepEqual(parseRaw(answers[index]!), {status, kind, executed: 'no'}, name);
	}

	assert.equal(fleet.services[0]!.countReceived(), 0);
	assert.equal((await streamChat({address: callers, marker: 'after', tokens: 3})).isComplete, true); // eslint-disable-line unicorn/no-await-expression-member -- the value is used only once
});

test('random bytes do not crash the daemon', async t => {
	const fleet = await startFleet(t, {daemons: 1, limits: {headersWithinMs: 300, bodyWithinMs: 300}});
	const {callers, peers, admin} = fleet.daemons[0]!;
	const bytes = fc.oneof(
		fc.uint8Array({maxLength: 400}),
		fc.uint8Array({maxLength: 100}).map(randomBytes => new Uint8Array([...new TextEncoder().encode(`POST ${chatPath} HTTP/1.1\r\nHost: x\r\n${authorization}\r\nContent-Length: ${randomBytes.length}\r\n\r\n`), ...randomBytes])),
	);
	await fc.assert(fc.asyncProperty(bytes, fc.constantFrom(callers, peers, admin), async (randomBytes, address) => {
		await sendRaw(address, randomBytes, true);
	}), {seed: 7, numRuns: 150});
	const answer = await streamChat({address: callers, marker: 'after', tokens: 3});
	assert.equal(answer.isComplete, true);
});

type BadConfiguration = {
	readonly name: string;
	readonly text: string;
	readonly messages: readonly RegExp[];
};

const badConfigurations: readonly BadConfiguration[] = [
	{name: 'not TOML', text: 'class = [', messages: [/^f\.toml: line \d+, column \d+: expected TOML/v]},
	{name: 'a misspelled key', text: '[[service]]\nname = "a"\nkind = "plain"\nrepeatabel = true', messages: [/^f\.toml: service\[0\]\.repeatabel: expected a known key; did you mean repeatable\?, found repeatabel$/v]},
	{name: 'a wrong type', text: '[[class]]\nname = "a"\nrank = "high"', messages: [/^f\.toml: class\[0\]\.rank: expected .*number.*, found "high"$/v]},
	{name: 'an unknown service', text: '[[account]]\nname = "a"\nkey_sha256 = ["' + 'a'.repeat(64) + '"]\nservices = ["x"]', messages: [/^f\.toml: account\[0\]\.services\[0\]: expected the name of a service in this file/v]},
	{name: 'a key in camel case', text: '[[class]]\nname = "a"\nrank = 1\nfirstTokenMs = 3', messages: [/^f\.toml: class\[0\]\.firstTokenMs: expected lower case with underscores: first_token_ms/v]},
	{name: 'a duplicate name', text: '[[class]]\nname = "a"\nrank = 1\n[[class]]\nname = "a"\nrank = 2', messages: [/^f\.toml: class\[1\]: expected one class only named a/v]},
	{name: 'a model service without models', text: '[[service]]\nname = "m"\nkind = "model"', messages: [/^f\.toml: service\[0\]\.models: expected at least one model name/v]},
];

test('an error in a configuration file states the file, the location, the expected value and the actual value', () => {
	for (const {name, text, messages} of badConfigurations) {
		const result = readToml(text, configurationSchema);
		assert.equal(result.kind, 'mistakes', name);
		const actualMessages = result.kind === 'mistakes' ? result.mistakes.map(mistake => formatMistake('f.toml', mistake)) : [];
		for (const message of messages) {
			assert.ok(actualMessages.some(candidate => message.test(candidate)), `${name}: ${actualMessages.join(' | ')}`);
		}
	}
});

test('the error for an unknown settings key suggests a similar key', () => {
	const result = readToml('[instance]\nid = "a"\navailability_zone = "z"\n[listen]\ncaller = "127.0.0.1:1"', settingsSchema);
	assert.deepEqual(result.kind === 'mistakes' && result.mistakes[0], {place: 'listen.caller', expected: 'a known key; did you mean callers?', found: 'caller'});
});

test('the TOML reader does not throw on any text', () => {
	const fragment = fc.constantFrom('[[class]]\n', 'name = "a"\n', 'rank = 1\n', '[[service]]\n', 'kind = "plain"\n', '= 3\n', '[[account]]\n', 'services = ["x", 1]\n', '"', '[', ' \t', '1979-05-27', '{a = 1}', 'x = {b = [1, {c = 2}]}\n');
	const text = fc.oneof(fc.string({maxLength: 200}), fc.array(fragment, {maxLength: 20}).map(fragments => fragments.join('')));
	fc.assert(fc.property(text, value => {
		const result = readToml(value, configurationSchema);
		assert.ok(result.kind === 'read' || result.mistakes.length > 0);
	}), {seed: 7, numRuns: 2000});
});

test('an invalid file, a stale base version or an unknown key is refused and leaves the configuration unchanged', async t => {
	const fleet = await startFleet(t, {daemons: 1});
	const [daemon] = fleet.daemons;
	const versionBefore = daemon!.getVersion('default');
	const invalid = await applyConfiguration(daemon!, 'class = 3');
	assert.deepEqual([invalid.status, invalid.body.kind], [422, 'configuration_invalid']);
	const stale = await applyConfiguration(daemon!, makeConfigurationText('stale'), -1);
	assert.deepEqual([stale.status, stale.body.kind], [409, 'configuration_conflict']);
	const response = await fetch(`http://${daemon!.admin}/admin/v1/teams/default/configuration`, {method: 'PUT', headers: {authorization: 'Bearer nobody'}, body: makeConfigurationText()});
	assert.equal(response.status, 401);
	assert.equal(daemon!.getVersion('default'), versionBefore);
});
