/**
 * Runs an attempt of a suspected request, one that was in flight when a backend server crashed. It runs on an
 * engine without other suspects, and only one daemon runs it.
 */
import {waitUntilOrAborted} from '@shallotpass/common/clock.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {addMilliseconds} from '@shallotpass/common/types.js';
import {hasPassedCrashPosition} from '@shallotpass/core/retries/suspects.js';
import {type BackendView} from '@shallotpass/core/routing/types.js';
import {type ChatContext, type ChatProgress, type AttemptResult} from './chat-context.js';
import {chooseEngine} from './choose-engine.js';
import {acquireProbation, type Probation} from './probation.js';
import {type SecondRun} from './second-run.js';
import {runEngineAttempt} from './run-engine-attempt.js';

type ReservedEngine = {
	readonly engine: BackendView;
	readonly probation: Probation;
};

/** How often to look for a free engine. Suspects are cleared within a few tokens, which frees their engines quickly. */
const pollIntervalMs = 100;

/**
 * Lists engines in the availability zones where engines crashed while running the request. If the whole zone is failing,
 * a second engine may crash there for reasons unrelated to the request, which would wrongly convict it.
 */
const listEnginesInCrashZones = (context: ChatContext): string[] => {
	const {registry, suspects} = context.services;
	const deaths = suspects.get(context.fingerprint)?.deaths ?? [];
	const zones = new Set(deaths.map(id => registry.getView(id)?.availabilityZone));
	return registry.list().filter(view => zones.has(view.availabilityZone)).map(view => view.id);
};

/** Selects an engine outside `avoided`; undefined if all others are in use or excluded after a failed attempt. */
const chooseEngineExcept = (context: ChatContext, progress: ChatProgress, avoided: ReadonlySet<string>): BackendView | undefined => {
	try {
		return chooseEngine(context, progress, avoided);
	} catch (error) {
		if (avoided.size > 0 && error instanceof ServingError && error.kind === 'no_backend') {
			return undefined;
		}

		throw error;
	}
};

const chooseUnreservedEngine = (context: ChatContext, progress: ChatProgress, reservedIds: ReadonlySet<string>): BackendView | undefined =>
	chooseEngineExcept(context, progress, new Set([...reservedIds, ...listEnginesInCrashZones(context)])) ?? chooseEngineExcept(context, progress, reservedIds);

const reserveEngine = async (context: ChatContext, progress: ChatProgress): Promise<ReservedEngine> => {
	const {suspects, environment} = context.services;
	const {clock} = environment;
	let unavailable = new Set<string>();
	for (;;) {
		const engine = chooseUnreservedEngine(context, progress, new Set([...suspects.listReserved(), ...unavailable]));
		if (engine === undefined) {
			if (clock.now() >= context.deadline || context.call.callerGoneSignal.aborted) {
				throw new ServingError('no engine was free of other suspects before the deadline', {
					kind: 'deadline_unreachable', retryAt: addMilliseconds(clock.now(), pollIntervalMs),
				});
			}

			unavailable = new Set();
			await waitUntilOrAborted(clock, addMilliseconds(clock.now(), pollIntervalMs), context.call.callerGoneSignal); // eslint-disable-line no-await-in-loop -- polls until an engine is free
			continue;
		}

		suspects.reserve(engine.id);
		let probation: Probation | undefined;
		try {
			probation = await acquireProbation(context.services, engine.id, context.deadline, context.call.callerGoneSignal); // eslint-disable-line no-await-in-loop -- the next engine is used only if another suspect runs on this one
		} finally {
			if (probation === undefined) {
				suspects.release(engine.id);
			}
		}

		if (probation !== undefined) {
			return {engine, probation};
		}

		unavailable.add(engine.id);
	}
};

export const runSuspectAttempt = async (context: ChatContext, progress: ChatProgress, secondRun: SecondRun): Promise<AttemptResult> => {
	const {suspects} = context.services;
	let reserved: ReservedEngine;
	try {
		reserved = await reserveEngine(context, progress);
	} catch (error) {
		await secondRun.release();
		throw error;
	}

	const {engine, probation} = reserved;
	let isCleared = false;
	const releaseEngine = (): void => {
		suspects.release(engine.id);
		probation.release();
	};

	const suspect = suspects.get(context.fingerprint);
	const clearIfPastCrash = (): void => {
		if (!isCleared && hasPassedCrashPosition(suspect, progress.position.tokens)) {
			isCleared = true;
			releaseEngine();
			void secondRun.clear();
		}
	};

	let failure: unknown;
	try {
		failure = await runEngineAttempt(context, progress, engine, clearIfPastCrash);
	} finally {
		if (!isCleared) {
			releaseEngine();
		}
	}

	if (!isCleared) {
		const isConvicted = suspects.get(context.fingerprint)?.isConvicted === true;
		void (failure === undefined ? secondRun.clear() : (isConvicted ? secondRun.convict() : secondRun.release()));
	}

	return {engine, failure};
};
