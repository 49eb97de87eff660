import assert from 'node:assert/strict';
import test from 'node:test';
import {type BackendEntry} from '@shallotpass/core/directory/types.js';
import {ageSharedState, type SharedState} from './shared-state.js';

const entry: BackendEntry = {
	id: 'x', service: 'llm', address: '10.0.0.9:80', availabilityZone: 'a', places: 8, isLeaving: false, leavesInMs: undefined, isReclaimable: false, startedAt: 1000, softwareVersion: 'v1', sequence: 1,
};

const state: SharedState = {
	configurationVersion: 1, configurationAgeMs: 100, directoryNext: 5, directoryDigest: 'd', directoryAgeMs: 50, storeAnswerAgeMs: 50,
	backends: [{entry, offset: 1, missingForMs: 900}, {entry, offset: 2, missingForMs: undefined}],
};

test('a list that a slow link delays does not confirm old data, nor keep a missing backend server longer', () => {
	const {configurationAgeMs, directoryAgeMs, storeAnswerAgeMs, backends} = ageSharedState(state, 2000);
	assert.deepEqual([configurationAgeMs, directoryAgeMs, storeAnswerAgeMs], [2100, 2050, 2050]);
	assert.deepEqual(backends?.map(({missingForMs}) => missingForMs), [-1100, undefined]);
});
