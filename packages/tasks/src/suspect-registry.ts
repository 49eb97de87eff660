/**
 * Tracks requests that are suspected of crashing backend servers. Changes are broadcast to peers immediately.
 * The log decides which daemon may run a suspected request a second time.
 */
import {createHash} from 'node:crypto';
import {isResponding} from '@shallotpass/backends/engine-load.js';
import {addMilliseconds} from '@shallotpass/common/types.js';
import {
	expireSuspects, removeSuspect, mergeSuspects, markSuspects, massReclaimWindowMs, type InFlight, type Suspect, type SuspectState,
} from '@shallotpass/core/retries/suspects.js';
import {type BackendRegistry} from './types.js';
import {type Environment} from './environment.js';

export type SuspectRegistry = {
	readonly get: (fingerprint: string) => Suspect | undefined;
	readonly list: () => Suspect[];
	/** Applies suspects and cleared fingerprints received from a peer. */
	readonly merge: (suspects: readonly Suspect[], lifted: readonly string[]) => void;
	/** Clears a request in this daemon's registry and at all peers. */
	readonly lift: (fingerprint: string) => void;
	/** Registers a request that runs at a backend server. Call the returned function when the run has ended. */
	readonly trackRun: (backendId: string, run: SuspectRun) => () => void;
	/** Checks whether the backend server crashed after a call to it was interrupted. Resolves when the outcome is known. */
	readonly investigate: (backendId: string) => Promise<void>;
	/** Lists the backend servers reserved for a suspected request; other suspects must use different ones. */
	readonly listReserved: () => ReadonlySet<string>;
	readonly reserve: (backendId: string) => void;
	readonly release: (backendId: string) => void;
};

export type SuspectRun = {
	readonly fingerprint: string;
	/** Returns the number of response tokens received so far. */
	readonly getTokens: () => number;
};

type SuspectRegistryOptions = {
	readonly environment: Environment;
	readonly registry: BackendRegistry;
	/** Sends changes to the peers without waiting for replies. */
	readonly broadcast: (suspects: readonly Suspect[], lifted: readonly string[]) => void;
};

/** Computes a digest of the request content. Resending the same request gives the same fingerprint. */
export const makeFingerprint = (parts: readonly string[]): string => {
	const hash = createHash('sha256');
	for (const part of parts) {
		hash.update(`${part.length}:`).update(part);
	}

	return hash.digest('hex').slice(0, 32);
};

/**
 * How long to wait for further crashes in the same availability zone. Several crashes within a short
 * time indicate a mass reclaim in the zone, not that a request caused them.
 */
const massReclaimDetectionMs = 150;

export const makeSuspectRegistry = ({environment, registry, broadcast}: SuspectRegistryOptions): SuspectRegistry => {
	const {clock, signal, metrics} = environment;
	const logger = environment.makeLogger('suspects');
	const runsByBackend = new Map<string, Set<SuspectRun>>();
	const investigations = new Map<string, Promise<void>>();
	const reservationCounts = new Map<string, number>();
	let crashes: Array<{availabilityZone: string; at: number}> = [];
	let state: SuspectState = new Map();

	const setState = (next: SuspectState): void => {
		state = next;
		metrics.suspects.set(state.size);
	};

	const countZoneCrashes = (availabilityZone: string): number => {
		const now = clock.now();
		crashes = crashes.filter(crash => now - crash.at < massReclaimWindowMs);
		return crashes.filter(crash => crash.availabilityZone === availabilityZone).length;
	};

	const recordCrashIfConfirmed = async (backendId: string, inFlight: readonly InFlight[]): Promise<void> => {
		const view = registry.getView(backendId);
		if (view === undefined || await isResponding(view.address, signal)) {
			return;
		}

		crashes.push({availabilityZone: view.availabilityZone, at: clock.now()});
		await clock.waitUntil(addMilliseconds(clock.now(), massReclaimDetectionMs), signal);
		const before = state;
		setState(markSuspects({
			state,
			backendId,
			inFlight,
			zoneCrashes: countZoneCrashes(view.availabilityZone),
			wasAnnounced: registry.isLeaving(backendId),
			now: clock.now(),
		}));
		const changed = [...state.values()].filter(suspect => before.get(suspect.fingerprint) !== suspect);
		logger.warn('backend_died', {backend: backendId, inFlight: inFlight.length, suspects: changed.length});
		if (changed.length > 0) {
			broadcast(changed, []);
		}
	};

	const runInvestigation = async (backendId: string): Promise<void> => {
		const inFlight = [...runsByBackend.get(backendId) ?? []].map(run => ({fingerprint: run.fingerprint, tokens: run.getTokens()}));
		registry.avoid(backendId);
		try {
			await recordCrashIfConfirmed(backendId, inFlight);
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
			setState(expireSuspects(state, clock.now()));
			return [...state.values()];
		},
		merge(suspects, lifted) {
			let next = mergeSuspects(state, suspects);
			for (const fingerprint of lifted) {
				next = removeSuspect(next, fingerprint);
			}

			setState(next);
		},
		lift(fingerprint) {
			setState(removeSuspect(state, fingerprint));
			broadcast([], [fingerprint]);
		},
		trackRun(backendId, run) {
			const runs = runsByBackend.get(backendId) ?? new Set<SuspectRun>();
			runs.add(run);
			runsByBackend.set(backendId, runs);
			return () => {
				runs.delete(run);
				if (runs.size === 0 && runsByBackend.get(backendId) === runs) {
					runsByBackend.delete(backendId);
				}
			};
		},
		async investigate(backendId) {
			const existing = investigations.get(backendId);
			if (existing !== undefined) {
				return existing;
			}

			const investigation = runInvestigation(backendId);
			investigations.set(backendId, investigation);
			return investigation;
		},
		listReserved: () => new Set(reservationCounts.keys()),
		reserve(backendId) {
			reservationCounts.set(backendId, (reservationCounts.get(backendId) ?? 0) + 1);
		},
		release(backendId) {
			const remaining = (reservationCounts.get(backendId) ?? 0) - 1;
			if (remaining > 0) {
				reservationCounts.set(backendId, remaining);
				return;
			}

			reservationCounts.delete(backendId);
		},
	};
};
