/** A try of a request that was in flight at a death: apart from other suspects, once in all daemons. */
import {waitQuietly} from '@shallotpass/common/clock.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {addMilliseconds} from '@shallotpass/common/types.js';
import {isPastDeath} from '@shallotpass/core/retries/suspects.js';
import {type BackendView} from '@shallotpass/core/routing/types.js';
import {type ChatWork, type Progress, type Tried} from './chat-work.js';
import {chooseEngine} from './choose-engine.js';
import {acquireProbation, type Probation} from './probation.js';
import {type SecondRun} from './second-run.js';
import {tryEngine} from './try-engine.js';

type Place = {
	readonly engine: BackendView;
	readonly probation: Probation;
};

/** Suspects are cleared within a few tokens; then their engines are free. */
const askAgainMs = 100;

/**
 * Engines in the availability zones where the request's engines died. A zone may be
 * going, one engine after the other; a second death there would say nothing of the
 * request, and convict it.
 */
const listNearDeaths = (work: ChatWork): string[] => {
	const {registry, suspects} = work.services;
	const deaths = suspects.get(work.fingerprint)?.deaths ?? [];
	const zones = new Set(deaths.map(id => registry.getView(id)?.availabilityZone));
	return registry.list().filter(view => zones.has(view.availabilityZone)).map(view => view.id);
};

/** The engine, or undefined when none is left outside the given ones and those that were tried. */
const chooseOutside = (work: ChatWork, progress: Progress, avoided: ReadonlySet<string>): BackendView | undefined => {
	try {
		return chooseEngine(work, progress, avoided);
	} catch (error) {
		if (avoided.size > 0 && error instanceof ServingError && error.kind === 'no_backend') {
			return undefined;
		}

		throw error;
	}
};

const chooseFree = (work: ChatWork, progress: Progress, taken: ReadonlySet<string>): BackendView | undefined =>
	chooseOutside(work, progress, new Set([...taken, ...listNearDeaths(work)])) ?? chooseOutside(work, progress, taken);

const acquirePlace = async (work: ChatWork, progress: Progress): Promise<Place> => {
	const {suspects, environment} = work.services;
	const {clock} = environment;
	let lost = new Set<string>();
	for (;;) {
		const engine = chooseFree(work, progress, new Set([...suspects.listReserved(), ...lost]));
		if (engine === undefined) {
			if (clock.now() >= work.deadline || work.call.goneSignal.aborted) {
				throw new ServingError('no engine was free of other suspects before the deadline', {kind: 'deadline_unreachable', retryAt: addMilliseconds(clock.now(), askAgainMs)});
			}

			lost = new Set();
			await waitQuietly(clock, addMilliseconds(clock.now(), askAgainMs), work.call.goneSignal); // eslint-disable-line no-await-in-loop -- asked again until an engine is free
			continue;
		}

		suspects.reserve(engine.id);
		let probation: Probation | undefined;
		try {
			probation = await acquireProbation(work.services, engine.id, work.deadline, work.call.goneSignal); // eslint-disable-line no-await-in-loop -- the next engine only when this one is taken
		} finally {
			if (probation === undefined) {
				suspects.release(engine.id);
			}
		}

		if (probation !== undefined) {
			return {engine, probation};
		}

		lost.add(engine.id);
	}
};

export const trySuspect = async (work: ChatWork, progress: Progress, run: SecondRun): Promise<Tried> => {
	const {suspects} = work.services;
	let place: Place;
	try {
		place = await acquirePlace(work, progress);
	} catch (error) {
		await run.giveBack();
		throw error;
	}

	const {engine, probation} = place;
	let isCleared = false;
	const leave = (): void => {
		suspects.release(engine.id);
		probation.leave();
	};

	const suspect = suspects.get(work.fingerprint);
	const clear = (): void => {
		if (!isCleared && isPastDeath(suspect, progress.position.tokens)) {
			isCleared = true;
			leave();
			void run.clear();
		}
	};

	let failure: unknown;
	try {
		failure = await tryEngine(work, progress, engine, clear);
	} finally {
		if (!isCleared) {
			leave();
		}
	}

	if (!isCleared) {
		const isConvicted = suspects.get(work.fingerprint)?.isConvicted === true;
		void (failure === undefined ? run.clear() : (isConvicted ? run.convict() : run.giveBack()));
	}

	return {engine, failure};
};
