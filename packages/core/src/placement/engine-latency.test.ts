import assert from 'node:assert/strict';
import test from 'node:test';
import {makeRandom} from '../testing/make-random.js';
import {
	computeEngineSpeed, computeServiceSpeed, emptyPrefillRecord, defaultLatencyModel, updateFixedLatency, recordPrefill, decayPrefillRecord, type PrefillRecord, toPrefillSample,
} from './engine-latency.js';

test('estimates the speed and fixed latency of services that are many times faster or slower than the default', () => {
	for (const [tokensPerMs, fixedMs] of [[10, 20], [30, 120], [60, 50], [190, 30], [600, 12]] as const) {
		const random = makeRandom(1);
		let model = defaultLatencyModel;
		let record = emptyPrefillRecord;
		for (let now = 0; now < 20_000; now += 50) {
			const workTokens = random() < 0.5 ? random() * 300 : random() * 30_000;
			const event = {workTokens, tookMs: ((workTokens / tokensPerMs) + fixedMs) * (0.8 + (0.4 * random()))};
			const sample = toPrefillSample(event, model);
			record = sample === undefined ? record : recordPrefill(record, sample, now);
			model = {...updateFixedLatency(model, event), tokensPerMs: computeServiceSpeed([decayPrefillRecord(record, now)])};
		}

		assert.ok(Math.abs((model.tokensPerMs / tokensPerMs) - 1) < 0.25, `${tokensPerMs}: ${model.tokensPerMs}`);
		assert.ok(Math.abs((model.fixedMs / fixedMs) - 1) < 0.4, `${fixedMs}: ${model.fixedMs}`);
	}
});

test('detects a slow engine from the combined records of many daemons that each see few of its answers', () => {
	const model = {tokensPerMs: 120, fixedMs: 50};
	const records: PrefillRecord[] = [];
	for (let daemon = 0; daemon < 9; daemon++) {
		// One answer of 8,000 tokens in 0.2 s.
		records.push(recordPrefill(emptyPrefillRecord, toPrefillSample({workTokens: 8000, tookMs: 200}, model)!, 1000));
	}

	const alone = computeEngineSpeed([decayPrefillRecord(records[0]!, 1000)], model);
	const together = computeEngineSpeed(records.map(record => decayPrefillRecord(record, 1000)), model);
	assert.ok(alone > 75, String(alone));
	assert.ok(together < 58, String(together));
	assert.ok(Math.abs(computeEngineSpeed(records.map(record => decayPrefillRecord(record, 60_000)), model) - 120) < 1);
});
