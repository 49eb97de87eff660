import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import test from 'node:test';
import {fileURLToPath} from 'node:url';

/** Modules that open requests of their own: those that carry calls, and those by which daemons speak to each other. */
const opensRequests = new Set(['calls/open-call-request.ts', 'peers/call-peer.ts']);

test('no call leaves a daemon past the one place that asks whether its caller still waits', () => {
	// A new way to send calls would send them for callers that have left.
	const folder = fileURLToPath(new URL('../../src', import.meta.url));
	const files = readdirSync(folder, {recursive: true}).map(String).filter(name => name.endsWith('.ts') && !name.endsWith('.test.ts'));
	const found = files.filter(name => /\bhttps?\.(?:request|get)\(|\bfetch\(|\bundici\b/v.test(readFileSync(path.join(folder, name), 'utf8')));
	assert.deepEqual(new Set(found.map(name => name.replaceAll(path.sep, '/'))), opensRequests);
});
