import assert from 'node:assert/strict';
import test from 'node:test';
import {type Claim} from '@shallotpass/common/log-records.js';
import {type Deadline} from '@shallotpass/common/types.js';
import {type ClaimAttemptResult, type ClaimResult} from '@shallotpass/peers/peer-methods.js';
import {claimKey, type SettledClaim} from './claim-key.js';

type Answers = {
	/** Results of the claims, in order. */
	readonly claims: ClaimAttemptResult[];
	/** Results of the lookups, in order. */
	readonly lookUps: ClaimResult[];
};

const running: ClaimAttemptResult = {kind: 'running', owner: 'other', answerBy: 30_000};

/** Claims a key on a clock of its own. Returns what settled it, and the ids of the claims that were recorded as not sent. */
const claimWith = async ({claims, lookUps}: Answers): Promise<SettledClaim & {notSent: string[]}> => {
	let now = 0;
	let made = 0;
	const notSent: string[] = [];
	const take = <Result extends ClaimResult>(results: Result[]): Result | typeof running => results.shift() ?? running;
	const settled = await claimKey({
		claims: {claim: async () => take(claims), lookUp: async () => take(lookUps)},
		clock: {
			now: () => now,
			async waitUntil(until) {
				now = until;
			},
		},
		makeClaim: (): Claim => ({
			id: `claim-${++made}`, account: 'a', service: 's', key: 'k', digest: 'd', owner: 'self', ownerEpoch: '1', dispatchBy: now + 2000, answerBy: now + 30_000,
		}),
		recordNotSent({id}) {
			notSent.push(id);
		},
		deadline: 30_000 as Deadline,
		callerGoneSignal: new AbortController().signal,
		span: undefined,
	});
	return {...settled, notSent};
};

test('a caller that waits for a call which turns out not to have been sent gets its own call run', async () => {
	const {claim, result, notSent} = await claimWith({claims: [running, {kind: 'won', fencing: 7}], lookUps: [running, {kind: 'absent'}]});
	assert.deepEqual([result.kind, claim.id, notSent], ['won', 'claim-2', ['claim-1']]);
});

test('a claim whose append takes effect late, when the key is free again, is used by its caller', async () => {
	// Its caller was told that another call is in progress, and the key stayed with a call that nobody sent.
	const {claim, result, notSent} = await claimWith({claims: [running], lookUps: [running, {kind: 'won', fencing: 7}]});
	assert.deepEqual([result.kind, claim.id, notSent], ['won', 'claim-1', []]);
});

test('a caller is told that a call is in progress only at its deadline', async () => {
	await assert.rejects(claimWith({claims: [running], lookUps: []}), {kind: 'call_in_progress'});
});
