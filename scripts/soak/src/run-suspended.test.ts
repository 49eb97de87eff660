import assert from 'node:assert/strict';
import {mkdtempSync, rmSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import test from 'node:test';
import {describeStreams, listBrokenOrders, listMixedStreams} from '@shallotpass/platform/stand-ins/stream-callers.js';
import {runSuspended} from './run-suspended.js';

test('no stream is joined of two software versions at a daemon that was suspended while engines changed theirs', async t => {
	const folder = mkdtempSync(path.join(os.tmpdir(), 'suspended-test-'));
	const streams = await runSuspended({seed: 1, rounds: 3, folder});
	t.diagnostic(describeStreams(streams));
	assert.deepEqual(listMixedStreams(streams), []);
	assert.deepEqual(listBrokenOrders(streams), []);
	assert.ok(streams.some(({wasTakenUp}) => wasTakenUp));
	rmSync(folder, {recursive: true});
});
