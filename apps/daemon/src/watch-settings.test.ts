import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import test from 'node:test';
import {readToml} from '@shallotpass/common/toml-file.js';
import * as z from 'zod';
import {watchSettings} from './watch-settings.js';

test('an invalid change to the settings file is reported with the invalid key, and the previous settings stay in force', t => {
	// A daemon that applied an invalid file, or exited because of it, would abort all its calls.
	const folder = mkdtempSync(path.join(os.tmpdir(), 'shallotpass-'));
	t.after(() => {
		rmSync(folder, {recursive: true});
	});
	const file = path.join(folder, 'settings.toml');
	writeFileSync(file, 'waits_ms = 2000\n');
	const appliedValues: number[] = [];
	const invalidPlaces: string[] = [];
	const watcher = watchSettings({
		path: file,
		read: text => readToml(text, z.object({waitsMs: z.number()})),
		onChange(settings) {
			appliedValues.push(settings.waitsMs);
		},
		onInvalid(mistakes) {
			invalidPlaces.push(...mistakes.map(mistake => mistake.place));
		},
	});
	watcher.checkNow();
	writeFileSync(file, 'waits_ms = "soon"\n');
	watcher.checkNow();
	writeFileSync(file, 'waits_ms = 3000\n');
	watcher.checkNow();
	watcher.checkNow();
	watcher.stop();
	assert.deepEqual([appliedValues, invalidPlaces], [[3000], ['waits_ms']]);
});
