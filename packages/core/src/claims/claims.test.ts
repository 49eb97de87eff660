import assert from 'node:assert/strict';
import test from 'node:test';
import {type Claim, type Outcome} from '@shallotpass/common/log-records.js';
import {type LogRecord} from '@shallotpass/common/log-service.js';
import {type LogOffset} from '@shallotpass/common/types.js';
import fc from 'fast-check';
import {
	applyClaimRecord, deleteExpiredKeys, makeClaimState, makeKeyName, applyClaimTrim,
} from './claim-state.js';
import {decideClaim} from './decide-claim.js';
import {pickClaimStream, pickClaimWriter} from './pick-claim-shard.js';
import {type ClaimState, type ClaimDecision} from './types.js';

const makeClaim = (id: string, key = 'k', digest = 'd'): Claim => ({
	id, account: 'a', service: 's', key, digest, owner: `owner-${id}`, ownerEpoch: '1', dispatchBy: 1000, answerBy: 10_000,
});

const makeRecord = (offset: number, claims: readonly Claim[], outcomes: readonly Outcome[] = []): LogRecord => ({
	offset: offset as LogOffset, appendedAt: offset, record: {kind: 'claims', claims, outcomes},
});

const makeOutcome = (kind: 'answered_not_kept' | 'not_sent' | 'unknown', claim: Claim): Outcome => ({kind, claimId: claim.id, key: makeKeyName(claim)});

const applyAll = (records: readonly LogRecord[]): ClaimState => {
	let state = makeClaimState();
	for (const record of records) {
		state = applyClaimRecord(state, record);
	}

	return state;
};

const decide = (state: ClaimState, claim: Claim, now = 0, gone: readonly string[] = []): ClaimDecision['kind'] =>
	decideClaim({
		state, claim, now, logTime: now, isOwnerGone: owner => gone.includes(owner),
	}).kind;

const first = makeClaim('1');
const second = makeClaim('2');

type Row = {
	readonly name: string;
	readonly records: readonly LogRecord[];
	readonly now?: number;
	readonly gone?: readonly string[];
	/** Decisions for the first claim's owner and for a second caller with the same key. */
	readonly first: ClaimDecision['kind'];
	readonly second: ClaimDecision['kind'];
};

/** The steps between accepting a call and answering it, and the decision for each caller when the owner ends at that step. */
const rows: readonly Row[] = [
	{
		name: 'before the claim is in the log', records: [], first: 'absent', second: 'absent',
	},
	{
		name: 'claimed, owner alive', records: [makeRecord(0, [first, second])], first: 'won', second: 'running',
	},
	{
		name: 'claimed, owner ended before or after sending', records: [makeRecord(0, [first, second])], gone: ['owner-1'], first: 'won', second: 'unknown',
	},
	{
		name: 'claimed, owner silent past its deadlines', records: [makeRecord(0, [first, second])], now: 20_000, first: 'won', second: 'unknown',
	},
	{
		name: 'declared unsent, then claimed again', records: [makeRecord(0, [first]), makeRecord(1, [], [makeOutcome('not_sent', first)]), makeRecord(2, [second])], first: 'running', second: 'won',
	},
	{
		name: 'declared unsent and claimed again in one append', records: [makeRecord(0, [first]), makeRecord(1, [second], [makeOutcome('not_sent', first)])], first: 'running', second: 'won',
	},
	{
		name: 'answered', records: [makeRecord(0, [first]), makeRecord(1, [], [makeOutcome('answered_not_kept', first)])], gone: ['owner-1'], first: 'answered_not_kept', second: 'answered_not_kept',
	},
	{
		name: 'sent, and no answer was received', records: [makeRecord(0, [first]), makeRecord(1, [], [makeOutcome('unknown', first)])], first: 'unknown', second: 'unknown',
	},
	{
		name: 'an outcome of a claim that did not win', records: [makeRecord(0, [first, second]), makeRecord(1, [], [makeOutcome('not_sent', second)])], first: 'won', second: 'running',
	},
	{
		name: 'an outcome that contradicts the first', records: [makeRecord(0, [first]), makeRecord(1, [], [makeOutcome('unknown', first)]), makeRecord(2, [second], [makeOutcome('not_sent', first)])], first: 'unknown', second: 'unknown',
	},
	{
		name: 'declared unsent before its append took effect', records: [makeRecord(0, [], [makeOutcome('not_sent', first)]), makeRecord(1, [first]), makeRecord(2, [second])], first: 'running', second: 'won',
	},
	{
		name: 'the claim was appended twice, as after a lost reply', records: [makeRecord(0, [first]), makeRecord(1, [first]), makeRecord(2, [second])], first: 'won', second: 'running',
	},
];

for (const row of rows) {
	test(`a claim and a second call with its key: ${row.name}`, () => {
		const state = applyAll(row.records);
		assert.deepEqual(
			{first: decide(state, first, row.now, row.gone), second: decide(state, second, row.now, row.gone)},
			{first: row.first, second: row.second},
		);
	});
}

test('a different body with a used key is detected before the first call has an outcome', () => {
	const state = applyAll([makeRecord(0, [first])]);
	assert.equal(decide(state, makeClaim('3', 'k', 'other')), 'reused');
});

test('equal keys of different client accounts or services have different names', () => {
	const names = fc.tuple(fc.string(), fc.string(), fc.string());
	fc.assert(fc.property(names, names, (left, right) => {
		const [one, other] = [left, right].map(([account, service, key]) => makeKeyName({account, service, key}));
		assert.equal(one === other, left.join('\u0000\u0000') === right.join('\u0000\u0000') && left.every((part, index) => part === right[index]));
	}), {seed: 7});
});

test('unknown keys are unsafe for the retention period after records were trimmed unread', () => {
	// The log trims records earlier than configured, and a new daemon starts. A key that it doesn't know
	// may have been used, so running the call could execute it a second time.
	const state = applyClaimTrim(makeClaimState(), 5 as LogOffset, 1000, 500);
	assert.equal(decide(state, first, 1400), 'unsafe');
	assert.equal(decide(state, first, 1500), 'absent');
	const withKnownKey = applyClaimTrim(applyAll([makeRecord(0, [first])]), 1 as LogOffset, 1000, 500);
	assert.equal(decide(withKnownKey, second, 1400), 'running');
});

test('keys are deleted after the retention period and not before', () => {
	const state = applyAll([makeRecord(0, [first]), makeRecord(1, [makeClaim('3', 'other')])]);
	deleteExpiredKeys(state, 500, 500);
	assert.equal(state.keys.size, 1);
	assert.equal(decide(state, second, 500), 'absent');
});

test('for any log at most one claim of a key may be sent', () => {
	// Claims, outcomes and repeated appends occur in any order. A claim may be sent while it is the
	// winner and was not declared unsent. Two such claims for one key could execute the call twice.
	const step = fc.record({id: fc.nat(5), kind: fc.constantFrom('claim', 'not_sent', 'unknown', 'answered_not_kept')});
	fc.assert(fc.property(fc.array(step, {maxLength: 25}), steps => {
		const claims = Array.from({length: 6}, (_value, index) => makeClaim(String(index)));
		const winners = new Set<string>();
		const declaredUnsent = new Set<string>();
		let state = makeClaimState();
		for (const [offset, {id, kind}] of steps.entries()) {
			const claim = claims[id]!;
			if (kind === 'not_sent') {
				// An owner declares a claim unsent only if it will never send the call.
				declaredUnsent.add(claim.id);
			}

			state = applyClaimRecord(state, kind === 'claim' ? makeRecord(offset, [claim]) : makeRecord(offset, [], [makeOutcome(kind, claim)]));
			for (const candidate of claims) {
				if (decide(state, candidate) === 'won' && !declaredUnsent.has(candidate.id)) {
					winners.add(candidate.id);
				}
			}
		}

		assert.ok([...winners].filter(id => !declaredUnsent.has(id)).length <= 1);
	}), {seed: 7, numRuns: 1000});
});

test('a key maps to one stream, and its writer does not depend on the order of the members', () => {
	fc.assert(fc.property(fc.string(), fc.uniqueArray(fc.string({minLength: 1}), {minLength: 1, maxLength: 10}), (key, members) => {
		const stream = pickClaimStream(key);
		assert.match(stream, /^claims-\d$/v);
		assert.equal(pickClaimWriter(stream, members), pickClaimWriter(stream, members.toReversed()));
	}), {seed: 7});
});
