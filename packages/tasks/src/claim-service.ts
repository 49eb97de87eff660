/**
 * Records claims and outcomes for this daemon's calls. Each request goes first to the stream's preferred writer,
 * then directly to the log, and finally through other peers that may reach the log.
 */
import {waitUntilOrAborted} from '@shallotpass/common/clock.js';
import {type Claim, type Outcome} from '@shallotpass/common/log-records.js';
import {type LogService} from '@shallotpass/common/log-service.js';
import {addMilliseconds, type Deadline} from '@shallotpass/common/types.js';
import {makeKeyName} from '@shallotpass/core/claims/claim-state.js';
import {pickClaimStream, pickClaimWriter} from '@shallotpass/core/claims/pick-claim-shard.js';
import {type TraceSpan} from '@shallotpass/telemetry/tracing.js';
import {type PeerClient} from '@shallotpass/peers/peer-client.js';
import {type ClaimAttemptResult, type ClaimResult} from '@shallotpass/peers/peer-methods.js';
import {makeClaimShard, type ClaimShard} from './claim-shard.js';
import {type Environment} from './environment.js';
import {type MembershipTask} from './membership-task.js';

export type ClaimService = {
	/** Claims the key over the first route that reaches the log. After `unavailable`, the claim may or may not be in the log. */
	readonly claim: (claim: Claim, deadline: Deadline, span?: TraceSpan) => Promise<ClaimAttemptResult>;
	/** Returns the current state of the claim's key without claiming it. */
	readonly lookUp: (claim: Claim, deadline: Deadline, span?: TraceSpan) => Promise<ClaimResult>;
	/** Records the outcome, with retries until it is in the log or the retry window has passed. */
	readonly recordOutcome: (claim: Claim, outcome: Outcome) => Promise<boolean>;
	/** Resolves when no outcome is waiting to be recorded. */
	readonly waitForPendingOutcomes: () => Promise<void>;
	/** Handles a claim or lookup of a peer that regards this daemon as the writer or cannot reach the log. */
	readonly answerPeer: (claim: Claim, isNew: boolean) => Promise<ClaimResult>;
	/** Records an outcome for a peer. */
	readonly recordForPeer: (keyName: string, outcome: Outcome) => Promise<boolean>;
	readonly countKeys: () => number;
};

type ClaimServiceOptions = {
	readonly environment: Environment;
	readonly log: LogService;
	readonly client: PeerClient;
	readonly membership: MembershipTask;
};

type ClaimQuery = {
	readonly stream: string;
	readonly claim: Claim;
	/** True to claim the key, false to only look it up. */
	readonly isNew: boolean;
	readonly deadline: Deadline;
	/** Parent of the trace span of a request to a peer. */
	readonly span: TraceSpan | undefined;
};

/** How long to wait for one peer, such as the writer, before the next route is attempted. */
const peerTimeoutMs = 600;

/** Number of other peers to ask when neither the writer nor the log responds. */
const maxFallbackPeers = 2;

const initialRecordRetryMs = 50;
const maxRecordRetryMs = 2000;

/** How long after the claim's answer deadline recording its outcome is retried. */
const outcomeRetryWindowMs = 600_000;

export const makeClaimService = ({environment, log, client, membership}: ClaimServiceOptions): ClaimService => {
	const {clock, signal, metrics, random} = environment;
	const logger = environment.makeLogger('claims');
	const shards = new Map<string, ClaimShard>();
	const pendingOutcomes = new Set<Promise<boolean>>();

	const shuffle = (ids: readonly string[]): string[] => ids
		.map(id => ({id, order: random()}))
		.toSorted((left, right) => left.order - right.order)
		.map(({id}) => id);

	const getShard = (stream: string): ClaimShard => {
		const existing = shards.get(stream);
		if (existing !== undefined) {
			return existing;
		}

		const shard = makeClaimShard({
			environment,
			log,
			stream,
			isOwnerGone: (owner, ownerEpoch) => membership.isProcessGone(owner, Number(ownerEpoch)),
		});
		shards.set(stream, shard);
		return shard;
	};

	/** Lists the daemons through which a claim is attempted, in order: the writer, this daemon, then a few random peers, suspected ones last. */
	const listRoutes = (stream: string): string[] => {
		const self = membership.getSelf().id;
		// Only assignable members are considered, because a leaving writer would soon stop responding.
		const writer = pickClaimWriter(stream, membership.listAssignable()) ?? self;
		const isOther = (id: string): boolean => id !== writer && id !== self;
		const others = shuffle(membership.listReachable().filter(id => isOther(id)));
		const suspected = shuffle(membership.listSuspected().filter(id => isOther(id)));
		return [...new Set([writer, self, ...[...others, ...suspected].slice(0, maxFallbackPeers)])];
	};

	const claimThrough = async (id: string, {stream, claim, isNew, deadline, span}: ClaimQuery): Promise<ClaimResult> => {
		if (id === membership.getSelf().id) {
			const shard = getShard(stream);
			return isNew ? shard.claim(claim) : shard.lookUp(claim);
		}

		const address = membership.findAddress(id);
		if (address === undefined) {
			return {kind: 'unavailable', detail: `${id} has no address`};
		}

		const peerSpan = span?.startChild('peer', {peer: id});
		let failure: unknown;
		try {
			const timeoutAt = Math.min(deadline, clock.now() + peerTimeoutMs) as Deadline;
			return await client.call(address, 'claim', {claim, isNew, traceparent: peerSpan?.getTraceparent()}, timeoutAt);
		} catch (error) {
			failure = error;
			return {kind: 'unavailable', detail: error instanceof Error ? error.message : `${id} does not answer`};
		} finally {
			peerSpan?.end(failure);
		}
	};

	const claimThroughAnyRoute = async (query: Omit<ClaimQuery, 'stream'>): Promise<ClaimResult> => {
		const {claim, deadline} = query;
		const stream = pickClaimStream(makeKeyName(claim));
		let lastAnswer: ClaimResult = {kind: 'unavailable', detail: 'no daemon reaches the log'};
		for (const id of listRoutes(stream)) {
			if (clock.now() >= deadline) {
				break;
			}

			lastAnswer = await claimThrough(id, {...query, stream}); // eslint-disable-line no-await-in-loop -- the next route is attempted only if this one is unavailable
			if (lastAnswer.kind !== 'unavailable') {
				return lastAnswer;
			}

			logger.debug('claim_route_failed', {stream, through: id, detail: lastAnswer.detail});
		}

		return lastAnswer;
	};

	const recordThrough = async (id: string, stream: string, claim: Claim, outcome: Outcome): Promise<boolean> => {
		if (id === membership.getSelf().id) {
			return getShard(stream).recordOutcome(outcome);
		}

		const address = membership.findAddress(id);
		if (address === undefined) {
			return false;
		}

		try {
			const {isRecorded} = await client.call(address, 'recordOutcome', {keyName: makeKeyName(claim), outcome}, addMilliseconds(clock.now(), peerTimeoutMs));
			return isRecorded;
		} catch {
			return false;
		}
	};

	const recordWithRetries = async (claim: Claim, outcome: Outcome): Promise<boolean> => {
		const stream = pickClaimStream(makeKeyName(claim));
		const giveUpAt = claim.answerBy + outcomeRetryWindowMs;
		for (let attempts = 0; clock.now() < giveUpAt && !signal.aborted; attempts++) {
			/* eslint-disable no-await-in-loop -- routes are attempted one at a time */
			for (const id of listRoutes(stream)) {
				if (await recordThrough(id, stream, claim, outcome)) {
					return true;
				}
			}

			const delay = Math.min(maxRecordRetryMs, initialRecordRetryMs * (2 ** attempts));
			await waitUntilOrAborted(clock, addMilliseconds(clock.now(), delay * (0.5 + (random() / 2))), signal);
			/* eslint-enable no-await-in-loop */
		}

		logger.error('outcome_not_recorded', {claim: claim.id, outcome: outcome.kind});
		return false;
	};

	return {
		async claim(claim, deadline, span) {
			const startedAt = clock.now();
			const answer = await claimThroughAnyRoute({
				claim, isNew: true, deadline, span,
			});
			metrics.claims.inc({verdict: answer.kind});
			metrics.claimSeconds.observe((clock.now() - startedAt) / 1000);
			return answer.kind === 'absent' ? {kind: 'unavailable', detail: 'the claim is not in the log'} : answer;
		},
		lookUp: async (claim, deadline, span) => claimThroughAnyRoute({
			claim, isNew: false, deadline, span,
		}),
		async recordOutcome(claim, outcome) {
			const running = recordWithRetries(claim, outcome);
			pendingOutcomes.add(running);
			try {
				return await running;
			} finally {
				pendingOutcomes.delete(running);
			}
		},
		async waitForPendingOutcomes() {
			await Promise.allSettled(pendingOutcomes);
		},
		async answerPeer(claim, isNew) {
			const shard = getShard(pickClaimStream(makeKeyName(claim)));
			return isNew ? shard.claim(claim) : shard.lookUp(claim);
		},
		recordForPeer: async (keyName, outcome) => getShard(pickClaimStream(keyName)).recordOutcome(outcome),
		countKeys: () => [...shards.values()].reduce((sum, shard) => sum + shard.countKeys(), 0),
	};
};
