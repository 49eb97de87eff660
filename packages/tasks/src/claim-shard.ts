/**
 * Reads and writes one claim stream. Claims and outcomes are batched into appends,
 * and the result of each claim is determined only from the records in the log.
 */
import {idempotencyKeyRetentionMs} from '@shallotpass/common/constants.js';
import {waitUntilOrAborted} from '@shallotpass/common/clock.js';
import {
	type Claim, type Outcome, type RecordedResponse, claimStreamRecordSchema,
} from '@shallotpass/common/log-records.js';
import {type LogRecord, type LogService} from '@shallotpass/common/log-service.js';
import {addMilliseconds, type LogOffset} from '@shallotpass/common/types.js';
import {
	applyClaimRecord, applyClaimTrim, deleteExpiredKeys, makeClaimState, makeKeyName, markUnreadableClaims,
} from '@shallotpass/core/claims/claim-state.js';
import {decideClaim} from '@shallotpass/core/claims/decide-claim.js';
import {type ClaimState, type ClaimDecision} from '@shallotpass/core/claims/types.js';
import {type ClaimResult} from '@shallotpass/peers/peer-methods.js';
import {type Environment} from './environment.js';

type Pending<Item> = {
	readonly item: Item;
	readonly resolve: (isInLog: boolean) => void;
};

export type ClaimShard = {
	/** Claims the key and returns the result. */
	readonly claim: (claim: Claim) => Promise<ClaimResult>;
	/** Reads the log to its end and returns the state of the key, without claiming it. */
	readonly lookUp: (claim: Claim) => Promise<ClaimResult>;
	/** Resolves to true when the outcome is in the log or need not be recorded. */
	readonly recordOutcome: (outcome: Outcome) => Promise<boolean>;
	readonly countKeys: () => number;
};

type ClaimShardOptions = {
	readonly environment: Environment;
	readonly log: LogService;
	readonly stream: string;
	readonly isOwnerGone: (owner: string, ownerEpoch: string) => boolean;
};

const readBatchSize = 1000;

/** Maximum number of claims, and of outcomes, in one append. It keeps a record well below one megabyte. */
const maxItemsPerAppend = 500;

/**
 * Applies a record with its read time on the steady clock, which decides when its keys expire.
 * With the time of day, a clock set forward would expire keys that were just used, and resending
 * such a call would run it again. A daemon that reads a record late keeps its keys longer than the
 * retention period, which only costs memory.
 */
const applyWithReadTime = (state: ClaimState, record: Pick<LogRecord, 'offset' | 'record'>, onUnreadable?: () => void): ClaimState =>
	applyClaimRecord(state, {...record, appendedAt: performance.now()}, onUnreadable);

const makeUnavailable = (detail: string): ClaimResult => ({kind: 'unavailable', detail});

export const makeClaimShard = ({environment, log, stream, isOwnerGone}: ClaimShardOptions): ClaimShard => {
	const {clock, settings, signal, metrics} = environment;
	const logger = environment.makeLogger('claims');
	let state: ClaimState = makeClaimState();
	const pendingClaims: Array<Pending<Claim>> = [];
	const pendingOutcomes: Array<Pending<Outcome>> = [];
	let isFlushing = false;
	let lastRead: Promise<void> = Promise.resolve();
	/** Latest known log time, with the time on the steady clock at which it was read. Starts from the local time of day until a record has been read. */
	let logTime = {at: clock.now(), readAt: performance.now(), isFromLog: false};

	/**
	 * Estimates the current time of the log; the estimate may lag but does not run ahead. It decides how long
	 * keys are unsafe after a trim. With the local time of day, a clock set forward would end that period immediately.
	 */
	const getLogTime = (): number => logTime.at + (performance.now() - logTime.readAt);

	const updateLogTime = (appendedAt: number): void => {
		if (!logTime.isFromLog || appendedAt > getLogTime()) {
			logTime = {at: appendedAt, readAt: performance.now(), isFromLog: true};
		}
	};

	const handleTrim = async (earliest: LogOffset): Promise<void> => {
		const first = await log.read({
			stream, from: earliest, limit: 1, signal,
		});
		const oldest = first.kind === 'records' ? first.records[0] : undefined;
		if (oldest !== undefined) {
			updateLogTime(oldest.appendedAt);
		}

		const oldestLeftAt = oldest?.appendedAt ?? getLogTime();
		state = applyClaimTrim(state, earliest, oldestLeftAt, idempotencyKeyRetentionMs);
		logger.warn('claims_trimmed_before_reading', {stream, earliest, unsafeUntil: state.unsafeUntil});
	};

	const applyReadRecord = (record: LogRecord): void => {
		let isUnreadable = false;
		state = applyWithReadTime(state, record, () => {
			isUnreadable = true;
		});
		if (isUnreadable) {
			state = markUnreadableClaims(state, record.appendedAt, idempotencyKeyRetentionMs);
			logger.warn('claims_unreadable', {stream, offset: record.offset, unsafeUntil: state.unsafeUntil});
		}
	};

	const readToEnd = async (): Promise<void> => {
		for (;;) {
			/* eslint-disable no-await-in-loop -- each read starts where the previous one ended */
			const result = await log.read({
				stream, from: state.foldedTo, limit: readBatchSize, signal,
			});
			if (result.kind === 'trimmed') {
				await handleTrim(result.earliest);
				continue;
			}

			/* eslint-enable no-await-in-loop */
			for (const record of result.records) {
				updateLogTime(record.appendedAt);
				applyReadRecord(record);
			}

			if (result.records.length === 0) {
				deleteExpiredKeys(state, performance.now(), idempotencyKeyRetentionMs);
				return;
			}
		}
	};

	const readAfter = async (previous: Promise<void>): Promise<void> => {
		try {
			await previous;
		} catch {
			// The caller that started the previous read handles its failure.
		}

		await readToEnd();
	};

	/** Runs reads one at a time. Each caller gets a read that starts after its call, so it sees all earlier appends. */
	const catchUp = async (): Promise<void> => {
		const nextRead = readAfter(lastRead);
		lastRead = nextRead;
		await nextRead;
	};

	const evaluateClaim = (claim: Claim): ClaimDecision => decideClaim({
		state, claim, now: clock.now(), logTime: getLogTime(), isOwnerGone,
	});

	const readAnswer = async (offset: LogOffset, claim: Claim): Promise<RecordedResponse | undefined> => {
		const result = await log.read({
			stream, from: offset, limit: 1, signal,
		});
		const record = result.kind === 'records' ? claimStreamRecordSchema.safeParse(result.records[0]?.record) : undefined;
		const keyName = makeKeyName(claim);
		const outcome = record?.data?.outcomes.find(item => item.kind === 'answered' && item.key === keyName);
		return outcome?.kind === 'answered' ? outcome.answer : undefined;
	};

	const toAnswer = async (decision: ClaimDecision, claim: Claim): Promise<ClaimResult> => {
		switch (decision.kind) {
			case 'answered': {
				const answer = await readAnswer(decision.outcomeOffset, claim);
				return answer === undefined ? {kind: 'answered_not_kept'} : {kind: 'answered', answer};
			}

			case 'running': {
				return {kind: 'running', owner: decision.claim.owner, answerBy: decision.claim.answerBy};
			}

			case 'won':
			case 'reused':
			case 'answered_not_kept':
			case 'unknown':
			case 'absent':
			case 'unsafe': {
				return decision;
			}
		}
	};

	/**
	 * Whether the outcome needs no further recording. An outcome of a claim that did not win its key has no effect
	 * and counts as settled. When it was treated as missing, it was recorded again for ten minutes, which delayed
	 * the shutdown of the daemon.
	 */
	const isOutcomeSettled = (outcome: Outcome): boolean => {
		const known = state.keys.get(outcome.key);
		if (known?.claim.id === outcome.claimId) {
			return known.outcome !== undefined;
		}

		return outcome.kind !== 'not_sent' || state.voided.has(outcome.claimId);
	};

	const isClaimInLog = (claim: Claim): boolean => {
		const decision = evaluateClaim(claim);
		return decision.kind !== 'absent' && decision.kind !== 'unsafe';
	};

	/**
	 * Appends a record and brings the local state up to date with it. If the record directly follows the
	 * last applied offset, no other writer has appended and the read is skipped. A failed append may still
	 * have been stored, so the log is read to determine whether it was.
	 */
	const appendAndRead = async (record: unknown): Promise<boolean> => {
		try {
			const offset = await log.append({stream, record, signal});
			metrics.logAppends.inc({stream, result: 'done'});
			if (offset === state.foldedTo) {
				state = applyWithReadTime(state, {offset, record});
			}

			if (offset < state.foldedTo) {
				deleteExpiredKeys(state, performance.now(), idempotencyKeyRetentionMs);
				return true;
			}
		} catch (error) {
			metrics.logAppends.inc({stream, result: 'failed'});
			logger.warn('append_unclear', {stream, error});
		}

		try {
			await catchUp();
			return true;
		} catch (error) {
			logger.warn('log_unreachable', {stream, error});
			return false;
		}
	};

	/** Appends one batch of pending items and resolves their promises. */
	const flushOnce = async (): Promise<void> => {
		const claimBatch = pendingClaims.splice(0, maxItemsPerAppend);
		const outcomeBatch = pendingOutcomes.splice(0, maxItemsPerAppend);
		const record = {
			kind: 'claims',
			outcomes: outcomeBatch.map(({item}) => item),
			claims: claimBatch.map(({item}) => item),
		};
		const isRead = await appendAndRead(record);
		for (const {item, resolve} of outcomeBatch) {
			resolve(isRead && isOutcomeSettled(item));
		}

		for (const {item, resolve} of claimBatch) {
			resolve(isRead && isClaimInLog(item));
		}
	};

	const flush = async (): Promise<void> => {
		if (isFlushing) {
			return;
		}

		isFlushing = true;
		while (pendingClaims.length + pendingOutcomes.length > 0) {
			/* eslint-disable no-await-in-loop -- one append at a time; items that arrive meanwhile go into the next batch */
			await waitUntilOrAborted(clock, addMilliseconds(clock.now(), settings.limits.claimWindowMs), signal);
			await flushOnce();
			/* eslint-enable no-await-in-loop */
		}

		isFlushing = false;
	};

	const enqueueClaim = async (claim: Claim): Promise<boolean> => new Promise(resolve => {
		pendingClaims.push({item: claim, resolve});
		void flush();
	});

	const isUnsafe = (): boolean => getLogTime() < state.unsafeUntil;

	return {
		async claim(claim) {
			try {
				// The log must have been read from its start before the first claim, because the key may already be in it.
				if (state.foldedTo === 0) {
					await catchUp();
				}

				const initialDecision = evaluateClaim(claim);
				const isSettled = initialDecision.kind === 'answered' || initialDecision.kind === 'answered_not_kept' || initialDecision.kind === 'reused';
				if (isSettled || (initialDecision.kind === 'unsafe' && isUnsafe())) {
					return await toAnswer(initialDecision, claim);
				}

				const isInLog = await enqueueClaim(claim);
				const answer = isInLog ? await toAnswer(evaluateClaim(claim), claim) : makeUnavailable('the log does not answer');
				return answer.kind === 'absent' ? makeUnavailable('the claim is not in the log') : answer;
			} catch (error) {
				return makeUnavailable(error instanceof Error ? error.message : 'the log does not answer');
			}
		},
		async lookUp(claim) {
			try {
				await catchUp();
				return await toAnswer(evaluateClaim(claim), claim);
			} catch (error) {
				return makeUnavailable(error instanceof Error ? error.message : 'the log does not answer');
			}
		},
		async recordOutcome(outcome) {
			return new Promise(resolve => {
				pendingOutcomes.push({item: outcome, resolve});
				void flush();
			});
		},
		countKeys: () => state.keys.size,
	};
};
