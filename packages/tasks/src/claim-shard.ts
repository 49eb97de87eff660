/**
 * One claim stream as a writer sees it: gathers claims and outcomes into appends
 * and tells from the log alone what each has come to.
 */
import {keyMemoryMs} from '@shallotpass/common/constants.js';
import {waitQuietly} from '@shallotpass/common/clock.js';
import {
	type Claim, type Outcome, type RecordedAnswer, claimStreamRecordSchema,
} from '@shallotpass/common/log-records.js';
import {type LogRecord, type LogService} from '@shallotpass/common/log-service.js';
import {addMilliseconds, type LogOffset} from '@shallotpass/common/types.js';
import {
	foldClaimRecord, forgetOldKeys, makeClaimState, makeKeyName, noteClaimTrim,
} from '@shallotpass/core/claims/fold-claims.js';
import {judgeClaim} from '@shallotpass/core/claims/judge-claim.js';
import {type ClaimState, type ClaimVerdict} from '@shallotpass/core/claims/types.js';
import {type ClaimAnswer} from '@shallotpass/peers/peer-methods.js';
import {type Environment} from './environment.js';

type Waiting<Item> = {
	readonly item: Item;
	readonly resolve: (isInLog: boolean) => void;
};

export type ClaimShard = {
	/** Claims the key and tells what came of it. */
	readonly claim: (claim: Claim) => Promise<ClaimAnswer>;
	/** Reads the log to its end and tells where the key stands, without claiming. */
	readonly lookUp: (claim: Claim) => Promise<ClaimAnswer>;
	/** Resolves to whether the outcome is in the log. */
	readonly recordOutcome: (outcome: Outcome) => Promise<boolean>;
	readonly countKeys: () => number;
};

type ClaimShardOptions = {
	readonly environment: Environment;
	readonly log: LogService;
	readonly stream: string;
	readonly isOwnerGone: (owner: string, ownerEpoch: string) => boolean;
};

const readLimit = 1000;

/** Most claims in one append; a record stays well under a megabyte. */
const mostClaimsInAppend = 500;

/**
 * Keys are forgotten by the time that has run since they were read, not by the time
 * of day: a clock that is set ahead would forget keys that were just used, and the
 * next sending of such a call would run it again. A reader that starts late keeps
 * them longer than promised, which costs memory only.
 */
const foldNow = (state: ClaimState, record: Pick<LogRecord, 'offset' | 'record'>): ClaimState =>
	foldClaimRecord(state, {...record, appendedAt: performance.now()});

const unavailable = (detail: string): ClaimAnswer => ({kind: 'unavailable', detail});

export const makeClaimShard = ({environment, log, stream, isOwnerGone}: ClaimShardOptions): ClaimShard => {
	const {clock, settings, signal, metrics} = environment;
	const logger = environment.makeLogger('claims');
	let state: ClaimState = makeClaimState();
	const claims: Array<Waiting<Claim>> = [];
	const outcomes: Array<Waiting<Outcome>> = [];
	let isFlushing = false;
	let reading: Promise<void> = Promise.resolve();
	/** The log's time as its newest record told it, and when that was read by a clock that nobody sets. */
	let logTime = {at: clock.now(), seenAt: performance.now(), isTold: false};

	/**
	 * The log's time now, late rather than early. How long keys are unsafe after a trim goes by
	 * it: by this instance's time of day, a clock set ahead would end that time at once.
	 */
	const getLogTime = (): number => logTime.at + (performance.now() - logTime.seenAt);

	const noteLogTime = (appendedAt: number): void => {
		if (!logTime.isTold || appendedAt > getLogTime()) {
			logTime = {at: appendedAt, seenAt: performance.now(), isTold: true};
		}
	};

	const noteTrim = async (earliest: LogOffset): Promise<void> => {
		const first = await log.read({
			stream, from: earliest, limit: 1, signal,
		});
		const oldest = first.kind === 'records' ? first.records[0] : undefined;
		if (oldest !== undefined) {
			noteLogTime(oldest.appendedAt);
		}

		const oldestLeftAt = oldest?.appendedAt ?? getLogTime();
		state = noteClaimTrim(state, earliest, oldestLeftAt, keyMemoryMs);
		logger.warn('claims_trimmed_before_reading', {stream, earliest, unsafeUntil: state.unsafeUntil});
	};

	const readToEnd = async (): Promise<void> => {
		for (;;) {
			/* eslint-disable no-await-in-loop -- each reading starts where the last ended */
			const result = await log.read({
				stream, from: state.foldedTo, limit: readLimit, signal,
			});
			if (result.kind === 'trimmed') {
				await noteTrim(result.earliest);
				continue;
			}

			/* eslint-enable no-await-in-loop */
			for (const record of result.records) {
				noteLogTime(record.appendedAt);
				state = foldNow(state, record);
			}

			if (result.records.length === 0) {
				forgetOldKeys(state, performance.now(), keyMemoryMs);
				return;
			}
		}
	};

	const readAfter = async (before: Promise<void>): Promise<void> => {
		try {
			await before;
		} catch {
			// Whoever started that reading sees its failure.
		}

		await readToEnd();
	};

	/** One reading at a time; a caller that comes later needs one that starts later. */
	const catchUp = async (): Promise<void> => {
		const own = readAfter(reading);
		reading = own;
		await own;
	};

	const judge = (claim: Claim): ClaimVerdict => judgeClaim({
		state, claim, now: clock.now(), logTime: getLogTime(), isOwnerGone,
	});

	const readAnswer = async (offset: LogOffset, claim: Claim): Promise<RecordedAnswer | undefined> => {
		const result = await log.read({
			stream, from: offset, limit: 1, signal,
		});
		const record = result.kind === 'records' ? claimStreamRecordSchema.safeParse(result.records[0]?.record) : undefined;
		const keyName = makeKeyName(claim);
		const outcome = record?.data?.outcomes.find(item => item.kind === 'answered' && item.key === keyName);
		return outcome?.kind === 'answered' ? outcome.answer : undefined;
	};

	const toAnswer = async (verdict: ClaimVerdict, claim: Claim): Promise<ClaimAnswer> => {
		switch (verdict.kind) {
			case 'answered': {
				const answer = await readAnswer(verdict.outcomeOffset, claim);
				return answer === undefined ? {kind: 'answered_not_kept'} : {kind: 'answered', answer};
			}

			case 'running': {
				return {kind: 'running', owner: verdict.claim.owner, answerBy: verdict.claim.answerBy};
			}

			case 'absent': {
				return unavailable('the claim is not in the log');
			}

			case 'won':
			case 'reused':
			case 'answered_not_kept':
			case 'unknown':
			case 'unsafe': {
				return verdict;
			}
		}
	};

	/**
	 * Whether nothing is left to record. The outcome of a claim that did not win its key
	 * tells nothing; taken for missing, it was recorded again for ten minutes, and a
	 * daemon that was told to stop waited for that.
	 */
	const isKnown = (outcome: Outcome): boolean => {
		const known = state.keys.get(outcome.key);
		if (known?.claim.id === outcome.claimId) {
			return known.outcome !== undefined;
		}

		return outcome.kind !== 'not_sent' || state.voided.has(outcome.claimId);
	};

	const isClaimInLog = (claim: Claim): boolean => {
		const verdict = judge(claim);
		return verdict.kind !== 'absent' && verdict.kind !== 'unsafe';
	};

	/**
	 * Appends and brings the fold past the append. When the record lies right behind
	 * what was read, nobody else has written and there is nothing to read. A failed
	 * append may have taken effect; only reading tells.
	 */
	const appendAndRead = async (record: unknown): Promise<boolean> => {
		try {
			const offset = await log.append({stream, record, signal});
			metrics.logAppends.inc({stream, result: 'done'});
			if (offset === state.foldedTo) {
				state = foldNow(state, {offset, record});
			}

			if (offset < state.foldedTo) {
				forgetOldKeys(state, performance.now(), keyMemoryMs);
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

	/** Appends what has gathered and tells each who waits what came of it. */
	const flushOnce = async (): Promise<void> => {
		const claimBatch = claims.splice(0, mostClaimsInAppend);
		const outcomeBatch = outcomes.splice(0, mostClaimsInAppend);
		const record = {
			kind: 'claims',
			outcomes: outcomeBatch.map(({item}) => item),
			claims: claimBatch.map(({item}) => item),
		};
		const isRead = await appendAndRead(record);
		for (const {item, resolve} of outcomeBatch) {
			resolve(isRead && isKnown(item));
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
		while (claims.length + outcomes.length > 0) {
			/* eslint-disable no-await-in-loop -- one append at a time; what comes meanwhile shares the next */
			await waitQuietly(clock, addMilliseconds(clock.now(), settings.limits.claimWindowMs), signal);
			await flushOnce();
			/* eslint-enable no-await-in-loop */
		}

		isFlushing = false;
	};

	const enqueueClaim = async (claim: Claim): Promise<boolean> => new Promise(resolve => {
		claims.push({item: claim, resolve});
		void flush();
	});

	const isUnsafe = (): boolean => getLogTime() < state.unsafeUntil;

	return {
		async claim(claim) {
			try {
				// The log's beginning must have been read before the first claim: a key may stand there.
				if (state.foldedTo === 0) {
					await catchUp();
				}

				const before = judge(claim);
				const isSettled = before.kind === 'answered' || before.kind === 'answered_not_kept' || before.kind === 'reused';
				if (isSettled || (before.kind === 'unsafe' && isUnsafe())) {
					return await toAnswer(before, claim);
				}

				const isInLog = await enqueueClaim(claim);
				return isInLog ? await toAnswer(judge(claim), claim) : unavailable('the log does not answer');
			} catch (error) {
				return unavailable(error instanceof Error ? error.message : 'the log does not answer');
			}
		},
		async lookUp(claim) {
			try {
				await catchUp();
				return await toAnswer(judge(claim), claim);
			} catch (error) {
				return unavailable(error instanceof Error ? error.message : 'the log does not answer');
			}
		},
		async recordOutcome(outcome) {
			return new Promise(resolve => {
				outcomes.push({item: outcome, resolve});
				void flush();
			});
		},
		countKeys: () => state.keys.size,
	};
};
