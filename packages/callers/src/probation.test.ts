import assert from 'node:assert/strict';
import test from 'node:test';
import {type Claim, type Outcome} from '@shallotpass/common/log-records.js';
import {type LogRecord} from '@shallotpass/common/log-service.js';
import {type Deadline, type LogOffset} from '@shallotpass/common/types.js';
import {applyClaimRecord, makeClaimState} from '@shallotpass/core/claims/claim-state.js';
import {decideClaim} from '@shallotpass/core/claims/decide-claim.js';
import {type ClaimState} from '@shallotpass/core/claims/types.js';
import {acquireProbation} from './probation.js';
import {type CallerServices} from './services.js';

type FakeLog = {
	isDown: boolean;
	/** When the outage ends. The clock only advances when something waits. */
	recoversAt: number;
	now: number;
	readonly goneOwners: Set<string>;
	readonly join: (id: string) => CallerServices;
};

/** Simulates the claims of several daemons against one shared claim state, without network. */
const makeFakeLog = (): FakeLog => {
	let state: ClaimState = makeClaimState();
	let offset = 0;
	const append = (claims: readonly Claim[], outcomes: readonly Outcome[]): void => {
		const record: LogRecord = {offset: offset as LogOffset, appendedAt: fake.now, record: {kind: 'claims', claims, outcomes}};
		state = applyClaimRecord(state, record);
		offset++;
	};

	const clock = {
		now: () => fake.now,
		async waitUntil(until: number) {
			fake.now = until;
			fake.isDown &&= fake.now < fake.recoversAt;
		},
	};
	const fake: FakeLog = {
		isDown: false,
		recoversAt: Number.POSITIVE_INFINITY,
		now: 0,
		goneOwners: new Set(),
		join: id => ({
			epoch: 1,
			environment: {clock, settings: {instance: {id}}},
			claims: {
				async claim(claim: Claim) {
					if (fake.isDown) {
						return {kind: 'unavailable', detail: 'down'};
					}

					append([claim], []);
					return decideClaim({
						state, claim, now: fake.now, logTime: fake.now, isOwnerGone: owner => fake.goneOwners.has(owner),
					});
				},
				async recordOutcome(_claim: Claim, outcome: Outcome) {
					append([], [outcome]);
					return true;
				},
			},
		} as unknown as CallerServices),
	};
	return fake;
};

const deadline = 60_000 as Deadline;
const {signal} = new AbortController();

test('two instances that run suspects at the same time never get the same engine', async () => {
	// A harmless request was in flight on an engine that a bad request crashed. Both are run once more by different
	// instances, which would both choose the least loaded engine. If they shared it when it crashed again, the harmless
	// request would be convicted too and its caller refused for an hour.
	const log = makeFakeLog();
	const [left, right] = [log.join('left'), log.join('right')];
	const probation = await acquireProbation(left, 'engine-1', deadline, signal);
	assert.notEqual(probation, undefined);
	assert.equal(await acquireProbation(right, 'engine-1', deadline, signal), undefined);
	assert.notEqual(await acquireProbation(right, 'engine-2', deadline, signal), undefined);
	probation!.release();
	assert.notEqual(await acquireProbation(right, 'engine-1', deadline, signal), undefined);
	assert.equal(await acquireProbation(left, 'engine-1', deadline, signal), undefined);
});

test('an engine whose holder crashed becomes available to exactly one other daemon', async () => {
	const log = makeFakeLog();
	const [dead, left, right] = [log.join('dead'), log.join('left'), log.join('right')];
	await acquireProbation(dead, 'engine-1', deadline, signal);
	log.goneOwners.add('dead');
	log.now = 120_000;
	const results = await Promise.all([left, right].map(async services => acquireProbation(services, 'engine-1', deadline, signal)));
	assert.deepEqual(results.map(result => result !== undefined), [true, false]);
});

test('a suspect waits for a log that recovers soon', async () => {
	// An engine crashes while the log is unavailable for a few seconds. The responses that ran there must pause.
	// Without retries, each of them was ended with an error about reservations.
	const log = makeFakeLog();
	log.isDown = true;
	log.recoversAt = 5000;
	assert.notEqual(await acquireProbation(log.join('left'), 'engine-1', deadline, signal), undefined);
	assert.ok(log.now >= 5000);
});

test('a suspect is not run while the log stays unavailable', async () => {
	const log = makeFakeLog();
	log.isDown = true;
	await assert.rejects(acquireProbation(log.join('left'), 'engine-1', deadline, signal), {kind: 'claims_unavailable'});
});
