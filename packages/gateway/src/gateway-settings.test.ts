import assert from 'node:assert/strict';
import test from 'node:test';
import {formatMistake, readToml} from '@shallotpass/common/toml-file.js';
import {gatewaySettingsSchema} from './gateway-settings.js';

for (const [line, place] of [['max_open_files = 10', 'instance.max_open_files'], ['max_open_files = "many"', 'instance.max_open_files'], ['memory_mb = -1', 'instance.memory_mb']] as const) {
	test(`settings with ${line} are refused, and the place is named`, () => {
		const result = readToml(`[instance]\nid = "a"\navailability_zone = "z"\nzones = ["z"]\nlink_mbps = 1\n${line}\n`, gatewaySettingsSchema);
		assert.ok(result.kind === 'mistakes');
		assert.ok(result.mistakes.some(mistake => formatMistake('settings.toml', mistake).includes(place)), JSON.stringify(result.mistakes));
	});
}
