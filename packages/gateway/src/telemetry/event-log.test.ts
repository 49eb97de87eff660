import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import path from 'node:path';
import process from 'node:process';
import test from 'node:test';

const moduleUrl = new URL('event-log.js', `file://${path.resolve(import.meta.dirname)}/`).href;

/** Starts a child process that runs `body` with an event log on its standard output. */
const startWriter = (body: string) => spawn(process.execPath, ['--input-type=module', '--eval', `import {openEventLog} from ${JSON.stringify(moduleUrl)}; const log = openEventLog('writer'); ${body}`], {stdio: ['ignore', 'pipe', 'pipe']});

const readAll = async (stream: AsyncIterable<Uint8Array>): Promise<string> => {
	let text = '';
	for await (const chunk of stream) {
		text += new TextDecoder().decode(chunk);
	}

	return text;
};

const readLines = (text: string): Array<Record<string, unknown>> => text.trim().split('\n').map(line => JSON.parse(line) as Record<string, unknown>);

test('a reader that does not consume the log does not block the process', async t => {
	// Guards against blocking writes: if the log collector hangs, the pipe fills up, and a write that
	// waits for space would block all calls of the daemon.
	const writer = startWriter(`
		const error = 'x'.repeat(100_000);
		for (let count = 0; count < 150; count++) {
			log.write('failure', 'call_crashed', {request: String(count), error});
		}

		setTimeout(() => {
			process.stderr.write('alive');
		}, 50);
	`);
	t.after(() => writer.kill('SIGKILL'));
	const [output] = await once(writer.stderr, 'data') as [Uint8Array];
	assert.equal(new TextDecoder().decode(output), 'alive');
});

test('lines of one event are rate limited and counted, with a higher limit for failures', async () => {
	// Guards against losing the lines of failed calls: a burst writes thousands of lines per second, and
	// with a single limit the lines of served calls would displace them.
	const writer = startWriter(`
		// The limit applies to each second, so all lines must be written within the same one.
		while (performance.now() % 1000 > 300) { /* wait for the start of a second */ }
		for (let count = 0; count < 1000; count++) {
			log.write('routine', 'call_ended', {request: 's-' + count});
		}

		for (let count = 0; count < 100; count++) {
			log.write('failure', 'call_ended', {request: 'f-' + count});
		}

		setTimeout(() => {
			log.write('failure', 'call_ended', {request: 'later'});
			log.flush();
			process.exit(0);
		}, 1100);
	`);
	const lines = readLines(await readAll(writer.stdout));
	const served = lines.filter(({request}) => String(request).startsWith('s-'));
	const failed = lines.filter(({request}) => String(request).startsWith('f-'));
	const leftOut = lines.find(({event}) => event === 'lines_left_out');
	assert.deepEqual([served.length, failed.length], [40, 100]);
	assert.deepEqual([leftOut?.of, leftOut?.count, leftOut?.dropped], ['call_ended', 960, 0]);
});
