/** Claims and outcomes of this daemon's calls: through the stream's writer, or directly, or through any peer that reaches the log. */
import {waitQuietly} from '@shallotpass/common/clock.js';
import {type Claim, type Outcome} from '@shallotpass/common/log-records.js';
import {type LogService} from '@shallotpass/common/log-service.js';
import {addMilliseconds, type Deadline} from '@shallotpass/common/types.js';
import {makeKeyName} from '@shallotpass/core/claims/fold-claims.js';
import {pickClaimStream, pickClaimWriter} from '@shallotpass/core/claims/pick-claim-shard.js';
import {type Hop} from '@shallotpass/telemetry/tracing.js';
import {type PeerClient} from '@shallotpass/peers/peer-client.js';
import {type ClaimAnswer} from '@shallotpass/peers/peer-methods.js';
import {makeClaimShard, type ClaimShard} from './claim-shard.js';
import {type Environment} from './environment.js';
import {type MembershipTask} from './membership-task.js';

export type ClaimService = {
	/** Claims through whoever can reach the log; `unavailable` proves nothing about the log. */
	readonly claim: (claim: Claim, deadline: Deadline, hop?: Hop) => Promise<ClaimAnswer>;
	/** Where the key of a claim stands, without claiming. */
	readonly lookUp: (claim: Claim, deadline: Deadline, hop?: Hop) => Promise<ClaimAnswer>;
	/** Records the outcome; tries again until it is in the log or the claim is long over. */
	readonly recordOutcome: (claim: Claim, outcome: Outcome) => Promise<boolean>;
	/** Resolves when nothing is left to record. */
	readonly settle: () => Promise<void>;
	/** What this daemon does for a peer that took it for the writer or cannot reach the log. */
	readonly answerPeer: (claim: Claim, isNew: boolean) => Promise<ClaimAnswer>;
	readonly recordForPeer: (keyName: string, outcome: Outcome) => Promise<boolean>;
	readonly countKeys: () => number;
};

type ClaimServiceOptions = {
	readonly environment: Environment;
	readonly log: LogService;
	readonly client: PeerClient;
	readonly membership: MembershipTask;
};

type Question = {
	readonly stream: string;
	readonly claim: Claim;
	/** Whether the key is claimed, or only looked up. */
	readonly isNew: boolean;
	readonly deadline: Deadline;
	/** The hop that a peer's is a part of. */
	readonly hop: Hop | undefined;
};

/** Time for the writer to answer before this daemon goes to the log itself. */
const writerWithinMs = 600;

/** Peers that are asked when neither the writer nor the log answers. */
const mostOtherPeers = 2;

const firstRecordRetryMs = 50;
const longestRecordRetryMs = 2000;

/** An outcome is offered to the log for so long after the claim's answer deadline. */
const recordForMs = 600_000;

export const makeClaimService = ({environment, log, client, membership}: ClaimServiceOptions): ClaimService => {
	const {clock, signal, metrics, random} = environment;
	const logger = environment.makeLogger('claims');
	const shards = new Map<string, ClaimShard>();
	const recording = new Set<Promise<boolean>>();

	const getShard = (stream: string): ClaimShard => {
		const known = shards.get(stream);
		if (known !== undefined) {
			return known;
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

	/** Daemons to go through, in order: the writer, this one, some others. */
	const listRoutes = (stream: string): string[] => {
		const self = membership.getSelf().id;
		const reachable = membership.listReachable();
		// A writer that is about to stop would be asked in vain a moment later.
		const writer = pickClaimWriter(stream, membership.listSteady()) ?? self;
		const others = reachable
			.filter(id => id !== writer && id !== self)
			.map(id => ({id, order: random()}))
			.toSorted((left, right) => left.order - right.order)
			.slice(0, mostOtherPeers)
			.map(entry => entry.id);
		return [...new Set([writer, self, ...others])];
	};

	const askOne = async (id: string, {stream, claim, isNew, deadline, hop}: Question): Promise<ClaimAnswer> => {
		if (id === membership.getSelf().id) {
			const shard = getShard(stream);
			return isNew ? shard.claim(claim) : shard.lookUp(claim);
		}

		const address = membership.findAddress(id);
		if (address === undefined) {
			return {kind: 'unavailable', detail: `${id} has no address`};
		}

		const peerHop = hop?.makeChild('peer', {peer: id});
		let failure: unknown;
		try {
			const within = Math.min(deadline, clock.now() + writerWithinMs) as Deadline;
			return await client.ask(address, 'claim', {claim, isNew, traceparent: peerHop?.getTraceparent()}, within);
		} catch (error) {
			failure = error;
			return {kind: 'unavailable', detail: error instanceof Error ? error.message : `${id} does not answer`};
		} finally {
			peerHop?.end(failure);
		}
	};

	const ask = async (question: Omit<Question, 'stream'>): Promise<ClaimAnswer> => {
		const {claim, deadline} = question;
		const stream = pickClaimStream(makeKeyName(claim));
		let last: ClaimAnswer = {kind: 'unavailable', detail: 'no daemon reaches the log'};
		for (const id of listRoutes(stream)) {
			if (clock.now() >= deadline) {
				break;
			}

			last = await askOne(id, {...question, stream}); // eslint-disable-line no-await-in-loop -- the next is asked only when this one cannot tell
			if (last.kind !== 'unavailable') {
				return last;
			}

			logger.debug('claim_route_failed', {stream, through: id, detail: last.detail});
		}

		return last;
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
			const {isRecorded} = await client.ask(address, 'recordOutcome', {keyName: makeKeyName(claim), outcome}, addMilliseconds(clock.now(), writerWithinMs));
			return isRecorded;
		} catch {
			return false;
		}
	};

	const record = async (claim: Claim, outcome: Outcome): Promise<boolean> => {
		const stream = pickClaimStream(makeKeyName(claim));
		const giveUpAt = claim.answerBy + recordForMs;
		for (let tries = 0; clock.now() < giveUpAt && !signal.aborted; tries++) {
			/* eslint-disable no-await-in-loop -- one route after the other */
			for (const id of listRoutes(stream)) {
				if (await recordThrough(id, stream, claim, outcome)) {
					return true;
				}
			}

			const delay = Math.min(longestRecordRetryMs, firstRecordRetryMs * (2 ** tries));
			await waitQuietly(clock, addMilliseconds(clock.now(), delay * (0.5 + (random() / 2))), signal);
			/* eslint-enable no-await-in-loop */
		}

		logger.error('outcome_not_recorded', {claim: claim.id, outcome: outcome.kind});
		return false;
	};

	return {
		async claim(claim, deadline, hop) {
			const startedAt = clock.now();
			const answer = await ask({
				claim, isNew: true, deadline, hop,
			});
			metrics.claims.inc({verdict: answer.kind});
			metrics.claimSeconds.observe((clock.now() - startedAt) / 1000);
			return answer;
		},
		lookUp: async (claim, deadline, hop) => ask({
			claim, isNew: false, deadline, hop,
		}),
		async recordOutcome(claim, outcome) {
			const running = record(claim, outcome);
			recording.add(running);
			try {
				return await running;
			} finally {
				recording.delete(running);
			}
		},
		async settle() {
			await Promise.allSettled(recording);
		},
		async answerPeer(claim, isNew) {
			const shard = getShard(pickClaimStream(makeKeyName(claim)));
			return isNew ? shard.claim(claim) : shard.lookUp(claim);
		},
		recordForPeer: async (keyName, outcome) => getShard(pickClaimStream(keyName)).recordOutcome(outcome),
		countKeys: () => [...shards.values()].reduce((sum, shard) => sum + shard.countKeys(), 0),
	};
};
