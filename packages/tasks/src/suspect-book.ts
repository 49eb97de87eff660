/**
 * Owns the requests suspected of ending backend servers. The book is shared with
 * peers at once; who may run a suspect a second time is decided by the log.
 */
import {createHash} from 'node:crypto';
import {isAnswering} from '@shallotpass/backends/engine-load.js';
import {addMilliseconds} from '@shallotpass/common/types.js';
import {
	forgetSuspects, liftSuspect, mergeSuspects, recordDeath, zoneWaveWindowMs, type InFlight, type Suspect, type SuspectState,
} from '@shallotpass/core/retries/suspects.js';
import {type BackendRegistry} from './backend-registry.js';
import {type Environment} from './environment.js';

export type SuspectBook = {
	readonly get: (fingerprint: string) => Suspect | undefined;
	readonly list: () => Suspect[];
	readonly merge: (suspects: readonly Suspect[], lifted: readonly string[]) => void;
	readonly lift: (fingerprint: string) => void;
	/** A request runs at a backend server; call the result when it no longer does. */
	readonly begin: (backendId: string, run: SuspectRun) => () => void;
	/** A stream broke off at the backend server; resolves when it is clear whether that was a death. */
	readonly investigate: (backendId: string) => Promise<void>;
	/** Backend servers that run a suspect now; another suspect goes elsewhere. */
	readonly listOccupied: () => ReadonlySet<string>;
	readonly occupy: (backendId: string) => void;
	readonly vacate: (backendId: string) => void;
};

export type SuspectRun = {
	readonly fingerprint: string;
	/** Tokens of its answer that have come. */
	readonly getTokens: () => number;
};

type SuspectBookOptions = {
	readonly environment: Environment;
	readonly registry: BackendRegistry;
	/** Tells the peers; they need not answer. */
	readonly spread: (suspects: readonly Suspect[], lifted: readonly string[]) => void;
};

/** Digest of what a backend server is given to run; a resend has the same. */
export const makeFingerprint = (parts: readonly string[]): string => {
	const hash = createHash('sha256');
	for (const part of parts) {
		hash.update(`${part.length}:`).update(part);
	}

	return hash.digest('hex').slice(0, 32);
};

/** Time in which further deaths of the zone show that it is a wave. */
const waveShowsMs = 150;

export const makeSuspectBook = ({environment, registry, spread}: SuspectBookOptions): SuspectBook => {
	const {clock, signal, metrics} = environment;
	const logger = environment.makeLogger('suspects');
	const running = new Map<string, Set<SuspectRun>>();
	const investigations = new Map<string, Promise<void>>();
	const occupied = new Map<string, number>();
	let deaths: Array<{availabilityZone: string; at: number}> = [];
	let state: SuspectState = new Map();

	const replace = (next: SuspectState): void => {
		state = next;
		metrics.suspects.set(state.size);
	};

	const countZoneDeaths = (availabilityZone: string): number => {
		const now = clock.now();
		deaths = deaths.filter(death => now - death.at < zoneWaveWindowMs);
		return deaths.filter(death => death.availabilityZone === availabilityZone).length;
	};

	const judgeDeath = async (backendId: string, inFlight: readonly InFlight[]): Promise<void> => {
		const view = registry.getView(backendId);
		if (view === undefined || await isAnswering(view.address, signal)) {
			return;
		}

		deaths.push({availabilityZone: view.availabilityZone, at: clock.now()});
		await clock.waitUntil(addMilliseconds(clock.now(), waveShowsMs), signal);
		const before = state;
		replace(recordDeath({
			state,
			backendId,
			inFlight,
			zoneDeaths: countZoneDeaths(view.availabilityZone),
			wasAnnounced: registry.isLeaving(backendId),
			now: clock.now(),
		}));
		const news = [...state.values()].filter(suspect => before.get(suspect.fingerprint) !== suspect);
		logger.warn('backend_died', {backend: backendId, inFlight: inFlight.length, suspects: news.length});
		if (news.length > 0) {
			spread(news, []);
		}
	};

	const investigateOnce = async (backendId: string): Promise<void> => {
		const inFlight = [...running.get(backendId) ?? []].map(run => ({fingerprint: run.fingerprint, tokens: run.getTokens()}));
		registry.avoid(backendId);
		try {
			await judgeDeath(backendId, inFlight);
		} catch (error) {
			if (!signal.aborted) {
				logger.error('investigation_failed', {backend: backendId, error});
			}
		} finally {
			investigations.delete(backendId);
		}
	};

	return {
		get(fingerprint) {
			const suspect = state.get(fingerprint);
			return suspect !== undefined && suspect.forgetAt > clock.now() ? suspect : undefined;
		},
		list() {
			replace(forgetSuspects(state, clock.now()));
			return [...state.values()];
		},
		merge(suspects, lifted) {
			let next = mergeSuspects(state, suspects);
			for (const fingerprint of lifted) {
				next = liftSuspect(next, fingerprint);
			}

			replace(next);
		},
		lift(fingerprint) {
			replace(liftSuspect(state, fingerprint));
			spread([], [fingerprint]);
		},
		begin(backendId, run) {
			const runs = running.get(backendId) ?? new Set<SuspectRun>();
			runs.add(run);
			running.set(backendId, runs);
			return () => {
				runs.delete(run);
				if (runs.size === 0 && running.get(backendId) === runs) {
					running.delete(backendId);
				}
			};
		},
		async investigate(backendId) {
			const known = investigations.get(backendId);
			if (known !== undefined) {
				return known;
			}

			const started = investigateOnce(backendId);
			investigations.set(backendId, started);
			return started;
		},
		listOccupied: () => new Set(occupied.keys()),
		occupy(backendId) {
			occupied.set(backendId, (occupied.get(backendId) ?? 0) + 1);
		},
		vacate(backendId) {
			const left = (occupied.get(backendId) ?? 0) - 1;
			if (left > 0) {
				occupied.set(backendId, left);
				return;
			}

			occupied.delete(backendId);
		},
	};
};
