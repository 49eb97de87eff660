/** Writes the status of rollouts to the store, for operators and the platform. A state is in the lease record before its status is written. */
import {Buffer} from 'node:buffer';
import {type Lease} from '@shallotpass/core/lease/lease.js';
import {type Rollout} from '@shallotpass/core/rollouts/types.js';
import {type GatewayState} from '../gateway-state.js';
import {type Platform, type ReportedRollout} from '../ports.js';
import {countRunningOld} from './plan-rollouts.js';

/** The store answers in 4 ms. After this timeout, the response counts as lost and the topic is read again. */
const storeTimeoutMs = 500;

/**
 * Time from the completion of a rollout until its status is written, after which the platform terminates the old backend servers. No
 * daemon sends calls there any more by then: reports that pass two relays take 900 ms.
 */
const completionSettleMs = 1000;

/** The status of a completion is written at the latest this long before the deadline, also while calls run at the old version. */
const deadlineMarginMs = 500;

export type StatusWriterOptions = {
	readonly gateway: GatewayState;
	readonly platform: Platform;
	/** Whether this daemon holds a lease that is valid now. */
	readonly canAct: () => boolean;
	readonly signal: AbortSignal;
};

export type StatusWriter = {
	/** Writes the status of the states in the lease record for which it is due. */
	readonly writePending: (stored: Lease['rollouts']) => Promise<void>;
	/** Forgets what was written, as another daemon may write once the lease is lost. */
	readonly reset: () => void;
};

const toReported = ({service, toVersion, stage}: Rollout): ReportedRollout => ({service, toVersion, outcome: stage === 'trial' || stage === 'shift' ? 'running' : stage});

const toStatusName = (rollout: Rollout): string => `${rollout.offset}/${toReported(rollout).outcome}`;

export const makeStatusWriter = ({gateway, platform, canAct, signal}: StatusWriterOptions): StatusWriter => {
	/** Last status that is known to be in the store, by service. */
	const written = new Map<string, string>();
	/** End offset of the status topic, and its newest values by key. Undefined if they must be read. */
	let topic: {end: number; readonly values: Map<string, Buffer>} | undefined;

	const readTopic = async (): Promise<void> => {
		const listing = await platform.store.readNewest('status', {timeoutMs: storeTimeoutMs, signal});
		topic = listing.kind === 'failed'
			? undefined
			: {end: listing.end, values: new Map(listing.records.flatMap(({key, value}) => value === undefined ? [] : [[key, Buffer.from(value)]]))};
	};

	const isDue = (rollout: Rollout): boolean => {
		const now = gateway.clocks.trueTime();
		const mayTerminateOld = rollout.stage !== 'completed' || now >= rollout.deadline - deadlineMarginMs
			|| (now >= rollout.stageAt + completionSettleMs && countRunningOld(gateway, rollout) === 0);
		return written.get(rollout.service) !== toStatusName(rollout) && mayTerminateOld;
	};

	const writeOne = async (rollout: Rollout): Promise<void> => {
		if (topic === undefined) {
			await readTopic();
		}

		if (topic === undefined || !canAct()) {
			return;
		}

		const reported = toReported(rollout);
		const {key, value} = platform.records.encodeRolloutStatus(reported);
		if (topic.values.get(key)?.equals(value) === true) {
			written.set(rollout.service, toStatusName(rollout));
			return;
		}

		// Without the condition, a record that is delayed on the way could follow one of a successor.
		const reply = await platform.store.append('status', [{key, value}], {expectedEnd: topic.end, timeoutMs: storeTimeoutMs, signal});
		if (reply.kind === 'appended') {
			topic.end = reply.offset + 1;
			topic.values.set(key, Buffer.from(value));
			written.set(rollout.service, toStatusName(rollout));
			gateway.log.write('state', 'rollout_status_written', {
				service: rollout.service, to: rollout.toVersion, offset: rollout.offset, outcome: reported.outcome, statusOffset: reply.offset,
				sinceStageMs: Math.round(gateway.clocks.trueTime() - rollout.stageAt), leftMs: Math.round(rollout.deadline - gateway.clocks.trueTime()),
			});
		} else if (reply.kind !== 'refused') {
			topic = undefined;
		}
	};

	return {
		async writePending(stored = {}) {
			for (const rollout of Object.values(stored)) {
				if (canAct() && isDue(rollout)) {
					await writeOne(rollout); // eslint-disable-line no-await-in-loop -- each condition depends on the record before
				}
			}
		},
		reset() {
			written.clear();
			topic = undefined;
		},
	};
};
