import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {type Clock} from '@shallotpass/common/clock.js';
import {dispatchMarginMs, dispatchWindowMs} from '@shallotpass/common/constants.js';
import {type Claim} from '@shallotpass/common/log-records.js';
import {type LogService} from '@shallotpass/common/log-service.js';
import {type Deadline} from '@shallotpass/common/types.js';
import {makeKeyName} from '@shallotpass/core/claims/claim-state.js';
import {makeSettings} from '@shallotpass/measure/local-fleet.js';
import {type PeerClient} from '@shallotpass/peers/peer-client.js';
import {type ClaimAnswer} from '@shallotpass/peers/peer-methods.js';
import {makeMemoryLog} from '@shallotpass/provider/memory-log.js';
import {makeClaimService, type ClaimService} from '@shallotpass/tasks/claim-service.js';
import {type MembershipTask} from '@shallotpass/tasks/membership-task.js';
import {makeLogger} from '@shallotpass/telemetry/logger.js';
import {makeMetrics} from '@shallotpass/telemetry/metrics.js';

/** What happens to one message, taken in order from a generated list. */
type Fate = 'ok' | 'lost_before' | 'lost_after' | 'twice';

type Plan = {
	readonly calls: ReadonlyArray<{readonly daemon: number; readonly key: number; readonly body: number}>;
	readonly logFates: readonly Fate[];
	readonly peerFates: readonly Fate[];
	/** A daemon dies, or is paused for longer than its dispatch window, when it has taken so many steps. */
	readonly crashes: ReadonlyArray<{readonly daemon: number; readonly step: number}>;
	readonly pauses: ReadonlyArray<{readonly daemon: number; readonly step: number}>;
};

type Executed = 'yes' | 'no' | 'unknown';

type HistoryEntry =
	| {readonly kind: 'executed'; readonly key: number; readonly call: number}
	| {readonly kind: 'told'; readonly key: number; readonly call: number; readonly executed: Executed};

/** A rule that is broken on purpose, to show that the check notices. */
type PlantedFault = 'none' | 'waiter_sends' | 'unsent_after_sending' | 'told_no_after_sending' | 'sends_unrecorded';

const daemonCount = 3;

type Rig = {
	readonly scheduler: fc.Scheduler;
	readonly history: HistoryEntry[];
	readonly services: ClaimService[];
	readonly alive: boolean[];
	readonly paused: number[];
	readonly clock: Clock;
	readonly advance: (milliseconds: number) => void;
};

const makeRig = (scheduler: fc.Scheduler, plan: Plan): Rig => {
	let now = 1000;
	const clock: Clock = {
		now: () => now,
		async waitUntil(deadline) {
			await scheduler.schedule(Promise.resolve(), 'wait');
			now = Math.max(now, deadline);
		},
	};
	const log = makeMemoryLog(clock);
	const logFates = [...plan.logFates];
	const peerFates = [...plan.peerFates];
	const alive = Array.from({length: daemonCount}, () => true);

	const strike = async <Result>(fates: Fate[], what: string, act: () => Promise<Result>): Promise<Result> => {
		const fate = fates.shift() ?? 'ok';
		await scheduler.schedule(Promise.resolve(), what);
		if (fate === 'lost_before') {
			throw new Error('lost on its way');
		}

		const result = await act();
		if (fate === 'twice') {
			await act();
		}

		await scheduler.schedule(Promise.resolve(), `${what} reply`);
		if (fate === 'lost_after') {
			throw new Error('the reply was lost');
		}

		return result;
	};

	const faultyLog: LogService = {
		append: async options => strike(logFates, 'append', async () => log.append(options)),
		read: async options => strike(logFates, 'read', async () => log.read(options)),
	};

	const services: ClaimService[] = [];
	const ids = Array.from({length: daemonCount}, (_value, index) => `entry-${index}`);
	for (const id of ids) {
		const client = {
			ask: async (address: string, method: string, parameters: {claim: Claim; isNew: boolean; keyName: string; outcome: never}) => strike(peerFates, 'ask', async () => {
				const index = ids.indexOf(address);
				if (!alive[index]) {
					throw new Error('gone');
				}

				return method === 'claim'
					? services[index]!.answerPeer(parameters.claim, parameters.isNew)
					: {isRecorded: await services[index]!.recordForPeer(parameters.keyName, parameters.outcome)};
			}),
		} as unknown as PeerClient;
		const membership = {
			getSelf: () => ({id}),
			listSteady: () => ids.filter((_member, index) => alive[index]),
			listReachable: () => ids.filter((_member, index) => alive[index]),
			findAddress: (member: string) => member,
			isProcessGone: (owner: string) => !alive[ids.indexOf(owner)],
		} as unknown as MembershipTask;
		services.push(makeClaimService({
			environment: {
				settings: makeSettings({id, availabilityZone: 'zone-1', platform: undefined}),
				clock,
				random: () => 0.5,
				metrics: makeMetrics(),
				makeLogger: task => makeLogger(task, id),
				signal: new AbortController().signal,
			},
			log: faultyLog,
			client,
			membership,
		}));
	}

	return {
		scheduler, history: [], services, alive, paused: Array.from({length: daemonCount}, () => 0), clock, advance(milliseconds) {
			now += milliseconds;
		},
	};
};

const makeClaim = (call: number, {daemon, key, body}: Plan['calls'][number], now: number): Claim => ({
	id: `claim-${call}`,
	account: 'a',
	service: 's',
	key: `key-${key}`,
	digest: `body-${body}`,
	owner: `entry-${daemon}`,
	ownerEpoch: '1',
	dispatchBy: now + dispatchWindowMs,
	answerBy: now + 30_000,
});

/** Steps of a daemon: it may die or be paused at each. Resolves to whether it goes on. */
const takeStep = async (rig: Rig, plan: Plan, daemon: number): Promise<boolean> => {
	await rig.scheduler.schedule(Promise.resolve(), 'step');
	const step = rig.paused[daemon]!;
	rig.paused[daemon]!++;
	if (plan.crashes.some(crash => crash.daemon === daemon && crash.step === step)) {
		rig.alive[daemon] = false;
	}

	if (plan.pauses.some(pause => pause.daemon === daemon && pause.step === step)) {
		rig.advance(dispatchWindowMs);
	}

	return rig.alive[daemon]!;
};

/** A caller's call at one daemon, as the callers' listener does it. */
const runCall = async (rig: Rig, plan: Plan, call: number, planted: PlantedFault): Promise<void> => {
	const {daemon, key} = plan.calls[call]!;
	const service = rig.services[daemon]!;
	const tell = (executed: Executed): void => {
		rig.history.push({
			kind: 'told', key, call, executed,
		});
	};

	const claim = makeClaim(call, plan.calls[call]!, rig.clock.now());
	const keyName = makeKeyName(claim);
	let answer: ClaimAnswer = await service.claim(claim, claim.dispatchBy as Deadline);
	if (!await takeStep(rig, plan, daemon)) {
		return;
	}

	if (planted === 'waiter_sends' && answer.kind === 'running') {
		answer = {kind: 'won', fencing: 0};
	}

	if (planted === 'sends_unrecorded' && answer.kind === 'unavailable') {
		answer = {kind: 'won', fencing: 0};
	}

	if (answer.kind !== 'won') {
		if (answer.kind === 'unavailable') {
			void service.recordOutcome(claim, {kind: 'not_sent', claimId: claim.id, key: keyName});
		}

		tell(answer.kind === 'answered_not_kept' ? 'yes' : (answer.kind === 'unknown' || answer.kind === 'running' ? 'unknown' : 'no'));
		return;
	}

	if (rig.clock.now() >= claim.dispatchBy - dispatchMarginMs) {
		void service.recordOutcome(claim, {kind: 'not_sent', claimId: claim.id, key: keyName});
		tell('no');
		return;
	}

	// From here to the sending nothing waits, but the paused owner's clock may lie.
	rig.history.push({kind: 'executed', key, call});
	if (!await takeStep(rig, plan, daemon)) {
		return;
	}

	const kind = planted === 'unsent_after_sending' ? 'not_sent' : 'answered_not_kept';
	await service.recordOutcome(claim, {kind, claimId: claim.id, key: keyName});
	if (rig.alive[daemon]) {
		tell(planted === 'told_no_after_sending' ? 'no' : 'yes');
	}
};

/** The promises, over what callers were told and what ran. */
const findViolation = (history: readonly HistoryEntry[]): string | undefined => {
	const executions = history.filter(entry => entry.kind === 'executed');
	const keys = executions.map(entry => entry.key);
	if (new Set(keys).size < keys.length) {
		return 'a key ran more than once';
	}

	for (const entry of history) {
		if (entry.kind !== 'told') {
			continue;
		}

		if (entry.executed === 'no' && executions.some(execution => execution.call === entry.call)) {
			return 'a caller was told that its call was not run, and it ran';
		}

		if (entry.executed === 'yes' && !keys.includes(entry.key)) {
			return 'a caller was told that its call ran, and none with its key did';
		}
	}

	return undefined;
};

const fates = fc.array(fc.oneof({weight: 6, arbitrary: fc.constant<Fate>('ok')}, fc.constantFrom<Fate>('lost_before', 'lost_after', 'twice')), {maxLength: 30});
const moment = fc.record({daemon: fc.nat(daemonCount - 1), step: fc.nat(3)});
const plans: fc.Arbitrary<Plan> = fc.record({
	calls: fc.array(fc.record({daemon: fc.nat(daemonCount - 1), key: fc.nat(1), body: fc.constant(0)}), {minLength: 2, maxLength: 6}),
	logFates: fates,
	peerFates: fates,
	crashes: fc.array(moment, {maxLength: 2}),
	pauses: fc.array(moment, {maxLength: 2}),
});

const checkSchedules = async (planted: PlantedFault, runs: number): Promise<void> => {
	await fc.assert(fc.asyncProperty(fc.scheduler(), plans, async (scheduler, plan) => {
		const rig = makeRig(scheduler, plan);
		const calls = Promise.all(plan.calls.map(async (_call, index) => runCall(rig, plan, index, planted)));
		await scheduler.waitFor(calls);
		assert.equal(findViolation(rig.history), undefined);
	}), {seed: 7, numRuns: runs, endOnFailure: true});
};

test('over generated schedules no key runs twice and no caller is told an untruth', async () => {
	// Several instances get the same reservation while replies of the log and of peers are lost,
	// doubled and late, instances die or pause at any step and clocks jump. The collector must
	// never be charged twice, nor be told that nothing was reserved when something was.
	await checkSchedules('none', 400);
});

const plantedFaults: readonly PlantedFault[] = ['waiter_sends', 'unsent_after_sending', 'told_no_after_sending', 'sends_unrecorded'];

for (const planted of plantedFaults) {
	test(`the check notices a planted fault: ${planted}`, async () => {
		await assert.rejects(checkSchedules(planted, 2000), error => {
			assert.match(String((error as Error).cause), /ran more than once|not run, and it ran/v);
			return true;
		});
	});
}
